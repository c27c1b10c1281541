// Package units holds the quantities whose text form carries a unit.
package units

import (
	"fmt"
	"time"

	"github.com/dustin/go-humanize"

	"citronbridge/fault"
)

// Duration is a time.Duration whose text form is that of time.ParseDuration,
// such as 1m30s.
type Duration time.Duration

// D returns d as the standard type.
func (d Duration) D() time.Duration { return time.Duration(d) }

// String returns the text form.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fault.List{{Field: "duration", Value: string(b), Allowed: "a duration such as 1m30s"}}
	}
	*d = Duration(v)
	return nil
}

// Bytes is an amount of memory whose text form carries a unit, such as 16 GiB.
type Bytes int64

// String returns the text form.
func (b Bytes) String() string {
	if b < 0 {
		return fmt.Sprintf("%d B", int64(b))
	}
	return humanize.IBytes(uint64(b))
}

// MarshalText implements encoding.TextMarshaler. The form is exact.
func (b Bytes) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%d B", int64(b)), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bytes) UnmarshalText(t []byte) error {
	v, err := humanize.ParseBytes(string(t))
	if err != nil || v > 1<<62 {
		return fault.List{{Field: "memory", Value: string(t), Allowed: "an amount of memory such as 16 GiB"}}
	}
	*b = Bytes(v)
	return nil
}
