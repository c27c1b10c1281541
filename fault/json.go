package fault

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// DecodeJSON reads one JSON value from r into v and checks it. Unknown fields
// and anything behind the value are faults.
func DecodeJSON(r io.Reader, v Checker) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return jsonFault(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return List{{Field: "body", Value: "more than one value", Allowed: "one JSON value"}}
	}
	return v.Check().Err()
}

// jsonFault names the field of a decoding error.
func jsonFault(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		f := te.Field
		if f == "" {
			f = "body"
		}
		return List{{Field: f, Value: te.Value, Allowed: fmt.Sprintf("a value of type %s", te.Type)}}
	}
	if s, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return List{{Field: strings.Trim(s, `"`), Value: "present", Allowed: "a known field name"}}
	}
	var l List
	if errors.As(err, &l) {
		return l
	}
	return fmt.Errorf("decode body: %w", err)
}
