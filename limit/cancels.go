package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the cancellations that find no job, on each host. Each one stores rows that are kept
// for as long as the state of an ended job. The limits are far above what an account cancels by
// mistake, and bound the rows to some hundreds of bytes x 50 a second for each account.
const (
	CancelsPerSecond = 50
	CancelBurst      = 500
)

// maxCancelBuckets is the number of accounts above which full buckets are dropped. It bounds the
// memory for accounts that the configuration no longer has.
const maxCancelBuckets = 1024

// Cancels limits the cancellations that find no job, by a token bucket for each account. It is
// safe for concurrent use.
type Cancels struct {
	mu      sync.Mutex
	buckets map[string]*rate.Limiter
}

// NewCancels returns a Cancels with full buckets.
func NewCancels() *Cancels { return &Cancels{buckets: map[string]*rate.Limiter{}} }

// Take takes a token of an account, and reports whether there was one. Calls without an account
// share the bucket of the empty name.
func (c *Cancels) Take(account string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.buckets[account]
	if b == nil {
		if len(c.buckets) >= maxCancelBuckets {
			c.dropFull(now)
		}
		b = rate.NewLimiter(CancelsPerSecond, CancelBurst)
		c.buckets[account] = b
	}
	return b.AllowN(now, 1)
}

// dropFull drops the buckets that are full again, as a new bucket is full too.
func (c *Cancels) dropFull(now time.Time) {
	for k, b := range c.buckets {
		if b.TokensAt(now) >= CancelBurst {
			delete(c.buckets, k)
		}
	}
}
