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

// maxElements is the most elements of all arrays of an input together. A manifest has at most
// 65,032: 1,000 accounts, 64 guarantees of each, and 32 kinds.
const maxElements = 70_000

// UnmarshalJSON decodes the JSON value b into v as ReadJSON does. An input with more than
// maxElements elements isn't decoded, since an element of 3 bytes can take 100 bytes in memory.
func UnmarshalJSON(b []byte, v any) error {
	if countElements(b) > maxElements {
		return List{{Field: "body", Value: "too many elements", Allowed: fmt.Sprintf("at most %d elements of arrays", maxElements)}}
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

// countElements returns the number of elements of all arrays in b, or more if b isn't valid JSON.
func countElements(b []byte) int {
	n, quoted := 0, false
	// arrays says for each open array or object whether it is an array.
	var arrays []bool
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			arrays = append(arrays, c == '[')
			if c == '[' {
				n++
			}
		case (c == ']' || c == '}') && len(arrays) > 0:
			arrays = arrays[:len(arrays)-1]
		case c == ',' && len(arrays) > 0 && arrays[len(arrays)-1]:
			n++
		}
	}
	return n
}

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
