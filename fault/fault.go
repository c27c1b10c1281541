// Package fault names what is wrong with an input, field by field.
//
// A check collects every fault of its input before it returns, so that one
// run tells all that has to be mended.
package fault

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with one field of an input.
type Fault struct {
	// File and Line tell where the field stands. Line is 0 if unknown.
	File string `json:",omitempty"`
	Line int    `json:",omitempty"`
	// Field is the path of the field, such as Accounts[1].Name.
	Field string
	// Value is what was found, shortened to a printable form.
	Value string
	// Allowed says what would be accepted.
	Allowed string
}

// maxValue bounds the bytes of a value that a fault repeats.
const maxValue = 80

// String renders the fault on one line.
func (f Fault) String() string {
	p := ""
	if f.File != "" {
		p = fmt.Sprintf("%s:%d: ", f.File, f.Line)
	}
	return fmt.Sprintf("%s%s is %q: allowed is %s", p, f.Field, f.Value, f.Allowed)
}

// List is the faults of one input. It is an error if it is not empty.
type List []Fault

var _ error = List(nil)

// Error joins the faults, one on each line.
func (l List) Error() string {
	s := make([]string, 0, len(l))
	for _, f := range l {
		s = append(s, f.String())
	}
	return strings.Join(s, "\n")
}

// Add appends a fault of field.
func (l *List) Add(field string, value any, allowed string) {
	v := fmt.Sprint(value)
	if len(v) > maxValue {
		v = v[:maxValue] + "..."
	}
	*l = append(*l, Fault{Field: field, Value: v, Allowed: allowed})
}

// Check adds a fault of field unless ok holds.
func (l *List) Check(ok bool, field string, value any, allowed string) {
	if !ok {
		l.Add(field, value, allowed)
	}
}

// CheckRange adds a fault of field unless low <= value <= high.
func (l *List) CheckRange(field string, value, low, high int64) {
	l.Check(low <= value && value <= high, field, value, fmt.Sprintf("a whole number from %d to %d", low, high))
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// WithPrefix returns the list with prefix put before each field.
func (l List) WithPrefix(prefix string) List {
	r := make(List, 0, len(l))
	for _, f := range l {
		f.Field = prefix + f.Field
		r = append(r, f)
	}
	return r
}
