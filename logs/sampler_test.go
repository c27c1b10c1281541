package logs

import (
	"testing"
	"time"
)

// TestSampler guards against a line for each event, and events that no line counts.
func TestSampler(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Sampler{Now: func() time.Time { return now }}
	for i, c := range []struct {
		reason string
		after  time.Duration
		count  int64
		due    bool
	}{
		{"a", 0, 1, true}, {"a", 0, 0, false}, {"b", 0, 1, true}, {"a", 999 * time.Millisecond, 0, false},
		{"a", time.Millisecond, 3, true}, {"a", time.Minute, 1, true},
	} {
		now = now.Add(c.after)
		if n, due := s.Sample(c.reason); n != c.count || due != c.due {
			t.Errorf("event %d: %d, %v", i, n, due)
		}
	}
}
