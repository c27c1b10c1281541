package limit

import (
	"fmt"
	"testing"
	"time"
)

// TestCancels guards against an account that uses up the cancels of others, and against buckets
// that are kept for accounts without end.
func TestCancels(t *testing.T) {
	c := NewCancels()
	now := time.Unix(0, 0)
	take := func(account string, n int) int {
		taken := 0
		for range n {
			if c.Take(account, now) {
				taken++
			}
		}
		return taken
	}
	if n := take("a", 2*CancelBurst); n != CancelBurst {
		t.Errorf("%d tokens at once, want %d", n, CancelBurst)
	}
	if n := take("", 1) + take("b", 1); n != 2 {
		t.Errorf("others got %d tokens, want 2", n)
	}
	now = now.Add(2 * time.Second)
	if n := take("a", 2*CancelBurst); n != 2*CancelsPerSecond {
		t.Errorf("%d tokens after 2 s, want %d", n, 2*CancelsPerSecond)
	}
	for i := range 3 * maxCancelBuckets {
		now = now.Add(time.Second)
		c.Take(fmt.Sprint(i), now)
	}
	if len(c.buckets) > maxCancelBuckets {
		t.Errorf("%d buckets, want at most %d", len(c.buckets), maxCancelBuckets)
	}
}
