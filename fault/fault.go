// Package fault reports validation errors of an input, field by field.
//
// A check collects all faults of its input before it returns, so that a user sees
// everything that has to be corrected in one run.
package fault

import (
	"fmt"
	"strings"
)

// Fault is a validation error of one field of an input.
type Fault struct {
	// File and Line are the position of the field. File is empty if the input
	// isn't a file, and Line is 0 if it is unknown.
	File string `json:",omitempty"`
	Line int    `json:",omitempty"`
	// Field is the path of the field, such as Accounts[1].Name.
	Field string
	// Value is the invalid value as text, cut after maxValue bytes.
	Value string
	// Allowed describes the values that are accepted.
	Allowed string
}

// maxValue is the number of bytes of a value that a Fault quotes at most.
const maxValue = 80

// String returns the fault on one line, with its position if the file is known.
func (f Fault) String() string {
	p := ""
	if f.File != "" {
		p = fmt.Sprintf("%s:%d: ", f.File, f.Line)
	}
	return fmt.Sprintf("%s%s is %q: allowed is %s", p, f.Field, f.Value, f.Allowed)
}

// List holds the faults of one input. Return it as an error by Err, so that an
// empty List is no error.
type List []Fault

var _ error = List(nil)

// Error returns the faults, one per line.
func (l List) Error() string {
	s := make([]string, 0, len(l))
	for _, f := range l {
		s = append(s, f.String())
	}
	return strings.Join(s, "\n")
}

// Add appends a fault of field that quotes value, cut after maxValue bytes.
func (l *List) Add(field string, value any, allowed string) {
	v := fmt.Sprint(value)
	if len(v) > maxValue {
		v = v[:maxValue] + "..."
	}
	*l = append(*l, Fault{Field: field, Value: v, Allowed: allowed})
}

// Check adds a fault of field unless ok is true.
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

// WithPrefix returns a copy of the list with prefix prepended to each field, such
// as "Shape." for the faults of a nested value.
func (l List) WithPrefix(prefix string) List {
	r := make(List, 0, len(l))
	for _, f := range l {
		f.Field = prefix + f.Field
		r = append(r, f)
	}
	return r
}
