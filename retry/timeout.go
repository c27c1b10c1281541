package retry

import (
	"sync"
	"time"
)

// Bounds of an adaptive timeout.
const (
	// minTimeout is far above the usual time of a store call.
	minTimeout = 250 * time.Millisecond
	maxTimeout = 1500 * time.Millisecond
	// timeoutFactor is the least ratio of the next timeout to the duration of the last call,
	// within the bounds above.
	timeoutFactor = 6
)

// Timeout is a timeout that adapts to the speed of a service, so that a lost answer is noticed
// soon while the service is fast, and calls have enough time while it is slow. The zero value
// is ready for use. It is safe for concurrent use.
type Timeout struct {
	mu      sync.Mutex
	current time.Duration
}

// Next returns the timeout for the next call.
func (t *Timeout) Next() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(t.current, minTimeout), maxTimeout)
}

// RecordAnswer records the duration of a call that was answered.
func (t *Timeout) RecordAnswer(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The timeout shrinks slowly, as a service that was slow may become slow again.
	t.current = max(timeoutFactor*d, t.current-t.current/8)
}

// RecordExpiry records that a call got no answer within the timeout, which doubles.
func (t *Timeout) RecordExpiry() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current = min(2*max(t.current, minTimeout), maxTimeout)
}
