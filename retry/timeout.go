package retry

import (
	"sync"
	"time"
)

// Bounds of an adaptive timeout.
const (
	// minTimeout is far above an answer of a store at its usual speed.
	minTimeout = 250 * time.Millisecond
	maxTimeout = 1500 * time.Millisecond
	// timeoutFactor times the last answer's time is the next timeout.
	timeoutFactor = 6
)

// Timeout adapts to how fast a service answers: a lost answer must not cost
// what a slow service needs. Several goroutines may use it; its zero value is
// ready.
type Timeout struct {
	mu  sync.Mutex
	now time.Duration
}

// Next returns the timeout of a call.
func (t *Timeout) Next() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(t.now, minTimeout), maxTimeout)
}

// Answered takes in how long an answer took.
func (t *Timeout) Answered(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// It shrinks slowly, as a service that was slow may be so again.
	t.now = max(timeoutFactor*d, t.now-t.now/8)
}

// Expired takes in that there was no answer in time.
func (t *Timeout) Expired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.now = min(2*max(t.now, minTimeout), maxTimeout)
}
