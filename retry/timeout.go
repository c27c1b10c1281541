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
	mu      sync.Mutex
	current time.Duration
}

// Next returns the timeout of a call.
func (t *Timeout) Next() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(t.current, minTimeout), maxTimeout)
}

// RecordAnswer takes in how long an answer took.
func (t *Timeout) RecordAnswer(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// It shrinks slowly, as a service that was slow may be so again.
	t.current = max(timeoutFactor*d, t.current-t.current/8)
}

// RecordExpiry takes in that there was no answer in time.
func (t *Timeout) RecordExpiry() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current = min(2*max(t.current, minTimeout), maxTimeout)
}
