package logs

import (
	"sync"
	"time"
)

// sampleInterval is the least time between two lines of one reason.
const sampleInterval = time.Second

// Sampler limits the lines about events that clients can cause at any rate, to one a second for
// each reason. Reasons must be few, as they are kept.
type Sampler struct {
	// Now returns the time; time.Now if nil.
	Now func() time.Time

	mu      sync.Mutex
	reasons map[string]*sample
}

// sample holds the time of a reason's last line, and the number of events since.
type sample struct {
	last  time.Time
	count int64
}

// Sample counts an event. It reports whether a line is due, and the number of events since the
// last line, with this one.
func (s *Sampler) Sample(reason string) (int64, bool) {
	now := time.Now
	if s.Now != nil {
		now = s.Now
	}
	t := now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reasons == nil {
		s.reasons = map[string]*sample{}
	}
	r := s.reasons[reason]
	if r == nil {
		r = &sample{}
		s.reasons[reason] = r
	}
	r.count++
	if !r.last.IsZero() && t.Sub(r.last) < sampleInterval {
		return 0, false
	}
	n := r.count
	r.last, r.count = t, 0
	return n, true
}
