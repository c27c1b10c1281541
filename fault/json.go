package fault

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// DecodeJSON reads one JSON value from r into v and checks it.
func DecodeJSON(r io.Reader, v Checker) error {
	if err := ReadJSON(r, v); err != nil {
		return err
	}
	return v.Check().Err()
}

// ReadJSON reads one JSON value from r into v. Unknown fields and anything
// behind the value are faults.
func ReadJSON(r io.Reader, v any) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return faultFromJSONError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return List{{Field: "body", Value: "more than one value", Allowed: "one JSON value"}}
	}
	return nil
}

// faultFromJSONError names the field of a decoding error.
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

// FormatDescriber is a type with a text form of its own.
type FormatDescriber interface {
	// DescribeFormat says what the text form looks like.
	DescribeFormat() string
}

// describeType names a type by its text form, if it has one.
func describeType(t reflect.Type) string {
	if f, ok := reflect.Zero(t).Interface().(FormatDescriber); ok {
		return f.DescribeFormat()
	}
	return t.String()
}

// ReadText reads a JSON string by read. The error is one to which the decoder
// adds the field.
func ReadText(b []byte, v FormatDescriber, unmarshal func([]byte) error) error {
	var s string
	if json.Unmarshal(b, &s) != nil || unmarshal([]byte(s)) != nil {
		return &json.UnmarshalTypeError{Value: string(b), Type: reflect.TypeOf(v)}
	}
	return nil
}
