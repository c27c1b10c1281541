package fault

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// DecodeJSON reads one JSON value from r into v as ReadJSON does, and returns the
// faults that v's Check finds.
func DecodeJSON(r io.Reader, v Checker) error {
	if err := ReadJSON(r, v); err != nil {
		return err
	}
	return v.Check().Err()
}

// ReadJSON reads one JSON value from r into v, without checking it. Unknown
// fields, values of a wrong type and anything after the value are faults, returned
// as a List; a syntax error or failed read is returned as another error.
func ReadJSON(r io.Reader, v any) error {
	b, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	return UnmarshalJSON(b, v)
}

// Limits of the elements of arrays in an input. A manifest has at most 1,000 accounts, 64 guarantees
// of each, and 32 kinds, in total 65,032 elements; a submission has 64 arguments. Decoding a long
// array allocates five times its size while the array grows.
const (
	maxElements = 70_000
	maxLength   = 1024
)

// UnmarshalJSON decodes the JSON value b into v as ReadJSON does. An input that
// CheckElements refuses isn't decoded, since an element of 3 bytes can take 100 bytes in memory.
func UnmarshalJSON(b []byte, v any) error {
	if err := CheckElements(b); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return faultFromJSONError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return List{{Field: "body", Value: "more than one value", Allowed: "one JSON value"}}
	}
	return nil
}

// CheckElements returns an error if the JSON value b has more than maxElements elements, or an array
// with more than maxLength.
func CheckElements(b []byte) error {
	if n, longest := countElements(b); n > maxElements || longest > maxLength {
		return List{{Field: "body", Value: "too many elements", Allowed: fmt.Sprintf("at most %d elements in an array and %d in all", maxLength, maxElements)}}
	}
	return nil
}

// countElements returns the number of elements of all arrays in b, and the length of the longest
// array. It may return more if an array is empty or b isn't valid JSON.
func countElements(b []byte) (total, longest int) {
	quoted := false
	// open holds the length of each open array, and -1 for an object.
	var open []int
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{':
			open = append(open, -1)
		case c == '[':
			open = append(open, 1)
			total++
			longest = max(longest, 1)
		case (c == ']' || c == '}') && len(open) > 0:
			open = open[:len(open)-1]
		case c == ',' && len(open) > 0 && open[len(open)-1] > 0:
			open[len(open)-1]++
			total++
			longest = max(longest, open[len(open)-1])
		}
		if len(open) > maxDepth {
			// The decoder refuses it, and counting it would take more memory than b.
			return total, longest
		}
	}
	return total, longest
}

// maxDepth is the nesting beyond which package json refuses an input.
const maxDepth = 10_000

// faultFromJSONError converts a decoding error that concerns a field into a List
// that names the field, and wraps any other error.
func faultFromJSONError(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		f := te.Field
		if f == "" {
			f = "body"
		}
		return List{{Field: f, Value: te.Value, Allowed: "a value of type " + describeType(te.Type)}}
	}
	if s, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return List{{Field: strings.Trim(s, `"`), Value: "present", Allowed: "a known field name"}}
	}
	return fmt.Errorf("decode body: %w", err)
}

// FormatDescriber is implemented by types with a text format of their own, such as
// durations.
type FormatDescriber interface {
	// DescribeFormat describes the text format for users, with an example.
	DescribeFormat() string
}

// describeType returns the description of a type's text format if it implements
// FormatDescriber, or else the type's name.
func describeType(t reflect.Type) string {
	if f, ok := reflect.Zero(t).Interface().(FormatDescriber); ok {
		return f.DescribeFormat()
	}
	return t.String()
}

// ReadText decodes the JSON string b and passes its content to unmarshal. It is
// meant for the UnmarshalJSON method of v's type. Its error is a
// *json.UnmarshalTypeError, in which the JSON decoder fills in the field.
func ReadText(b []byte, v FormatDescriber, unmarshal func([]byte) error) error {
	var s string
	if json.Unmarshal(b, &s) != nil || unmarshal([]byte(s)) != nil {
		return &json.UnmarshalTypeError{Value: string(b), Type: reflect.TypeOf(v)}
	}
	return nil
}
