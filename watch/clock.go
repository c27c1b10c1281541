// Package watch observes the answers of the table service: what its clock shows,
// and whether it answers at all.
package watch

import (
	"sync"
	"time"
)

// Clock reckons the store's steady clock from its answers, so that hosts can
// tell each other times that outlive them.
type Clock struct {
	now func() time.Duration

	mu sync.Mutex
	// storeTime is the clock in the newest answer, of a call that was sent and
	// answered at these times.
	storeTime, sent, answered time.Duration
}

// NewClock returns a Clock that knows nothing yet. Now tells a steady time,
// suspended time included.
func NewClock(now func() time.Duration) *Clock { return &Clock{now: now} }

// AtLeast returns the least that the store's clock may show now, and false if
// the store hasn't told.
func (c *Clock) AtLeast() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeTime + c.now() - c.answered, c.storeTime > 0
}

// AtMost returns the most that the store's clock may show now, and false if
// the store hasn't told.
func (c *Clock) AtMost() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeTime + c.now() - c.sent, c.storeTime > 0
}

// observe takes in the clock of an answer. Answers may overtake each other.
func (c *Clock) observe(sent, store time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if store > c.storeTime {
		c.storeTime, c.sent, c.answered = store, sent, c.now()
	}
}
