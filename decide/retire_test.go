package decide

import (
	"testing"
	"time"
)

// TestRetirement checks that a pool is retired only once it has been unused for retireDelay without
// a break.
func TestRetirement(t *testing.T) {
	var r retirement
	for _, c := range []struct {
		at        time.Duration
		used, due bool
	}{
		{time.Second, true, false},
		{2 * time.Second, false, false},
		{retireDelay, false, false},
		{retireDelay + time.Second, true, false},
		{retireDelay + 2*time.Second, false, false},
		{2*retireDelay + time.Second, false, false},
		{2*retireDelay + 2*time.Second, false, true},
	} {
		if due := r.due(c.at, c.used); due != c.due {
			t.Errorf("at %v, used %v: due %v, want %v", c.at, c.used, due, c.due)
		}
	}
}
