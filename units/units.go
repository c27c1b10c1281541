// Package units provides types for quantities whose text form has a unit.
package units

import (
	"fmt"
	"time"

	"github.com/dustin/go-humanize"
	"gopkg.in/yaml.v3"

	"citronbridge/fault"
)

// Duration is a time.Duration whose text form is that of time.ParseDuration,
// such as 1m30s.
type Duration time.Duration

var _ fault.FormatDescriber = Duration(0)

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// String returns the text form, such as 1m30s.
func (d Duration) String() string { return time.Duration(d).String() }

// DescribeFormat implements fault.FormatDescriber.
func (d Duration) DescribeFormat() string { return "duration, such as 1m30s" }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(b []byte) error { return fault.ReadText(b, *d, d.UnmarshalText) }

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error { return readYAML(n, *d, d.UnmarshalText) }

// Bytes is an amount of memory whose text form carries a unit, such as 16 GiB.
type Bytes int64

var _ fault.FormatDescriber = Bytes(0)

// maxBytes is far more memory than any host has, and keeps Bytes clear of an overflow.
const maxBytes = 1 << 62

// String returns the text form rounded to a binary unit.
func (b Bytes) String() string {
	if b < 0 {
		return fmt.Sprintf("%d B", int64(b))
	}
	return humanize.IBytes(uint64(b))
}

// DescribeFormat implements fault.FormatDescriber.
func (b Bytes) DescribeFormat() string { return "amount of memory, such as 16 GiB" }

// MarshalText implements encoding.TextMarshaler. The form is exact, in bytes.
func (b Bytes) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%d B", int64(b)), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bytes) UnmarshalText(t []byte) error {
	v, err := humanize.ParseBytes(string(t))
	if err != nil {
		return fmt.Errorf("parse memory size: %w", err)
	}
	if v > maxBytes {
		return fmt.Errorf("parse memory size: %s exceeds the limit of 4 EiB", t)
	}
	*b = Bytes(v)
	return nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (b *Bytes) UnmarshalJSON(t []byte) error { return fault.ReadText(t, *b, b.UnmarshalText) }

// UnmarshalYAML implements yaml.Unmarshaler.
func (b *Bytes) UnmarshalYAML(n *yaml.Node) error { return readYAML(n, *b, b.UnmarshalText) }

// Time is a time.Time whose text form is that of RFC 3339.
type Time struct{ time.Time }

var _ fault.FormatDescriber = Time{}

// DescribeFormat implements fault.FormatDescriber.
func (t Time) DescribeFormat() string { return "time, such as 2030-01-31T18:00:00Z" }

// UnmarshalJSON implements json.Unmarshaler.
func (t *Time) UnmarshalJSON(b []byte) error { return fault.ReadText(b, *t, t.UnmarshalText) }

// readYAML decodes a scalar with read. It returns a yaml.TypeError, after which the decoder
// continues with the next field.
func readYAML(n *yaml.Node, v fault.FormatDescriber, read func([]byte) error) error {
	if n.Kind != yaml.ScalarNode || read([]byte(n.Value)) != nil {
		return &yaml.TypeError{Errors: []string{fmt.Sprintf("line %d: cannot unmarshal %s `%s` into %s", n.Line, n.Tag, n.Value, v.DescribeFormat())}}
	}
	return nil
}
