// Package watch observes the answers of the table service, to bound the reading of its clock
// and to find out whether it is available.
package watch

import (
	"sync"
	"time"
)

// Clock bounds the current reading of the store's monotonic clock by its answers. The bounds widen
// with the age of the last answer, as the clocks of hosts and store drift apart. Hosts can
// thereby exchange times that stay valid after the host that wrote them has ended.
type Clock struct {
	now func() time.Duration

	mu sync.Mutex
	// storeTime is the store's clock in the newest answer. sent and answered are when
	// the call was sent and answered, by now.
	storeTime, sent, answered time.Duration
}

// maxDrift is the fraction by which this host's clock may run slow or fast against the store's. It
// is twice the greatest correction that an operating system applies to a clock.
const maxDrift = 0.001

// NewClock returns a Clock without a reading. now returns a monotonic time that includes the
// time of suspension.
func NewClock(now func() time.Duration) *Clock { return &Clock{now: now} }

// AtLeast returns a lower bound of the store's clock at this moment, and false if no answer
// has shown the clock yet.
func (c *Clock) AtLeast() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := c.now() - c.answered
	return c.storeTime + age - drift(age), c.storeTime > 0
}

// AtMost returns an upper bound of the store's clock at this moment, and false if no answer
// has shown the clock yet.
func (c *Clock) AtMost() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := c.now() - c.sent
	return c.storeTime + age + drift(age), c.storeTime > 0
}

// drift returns by how much the clocks may differ more after a time.
func drift(age time.Duration) time.Duration { return time.Duration(maxDrift * float64(age)) }

// observe records the store's clock in an answer to a call sent at the given time. As answers
// may arrive out of order, one that is older than the last is ignored.
func (c *Clock) observe(sent, store time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if store > c.storeTime {
		c.storeTime, c.sent, c.answered = store, sent, c.now()
	}
}
