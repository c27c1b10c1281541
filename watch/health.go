package watch

import (
	"context"
	"sync"
	"time"

	"citronbridge/repo"
)

// unavailableAfter is how long every call must have failed for the store to count as
// unavailable. A single failure doesn't suffice, as answers get lost and a partition may be
// unavailable alone.
const unavailableAfter = 400 * time.Millisecond

// Health tracks whether the store answers this host.
type Health struct {
	now func() time.Duration

	mu sync.Mutex
	// failing means that all calls that ended since failingSince have failed.
	failing      bool
	failingSince time.Duration
}

var _ repo.Health = (*Health)(nil)

// NewHealth returns a Health that counts the store as available. now returns a monotonic time
// that includes the time of suspension.
func NewHealth(now func() time.Duration) *Health { return &Health{now: now} }

// Unavailable reports whether every call has failed for more than unavailableAfter. Callers
// may hold back their calls meanwhile: the feeds keep calling, so that the store's return is
// noticed soon.
func (h *Health) Unavailable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing && h.now()-h.failingSince > unavailableAfter
}

// recordOutcome records whether a call was answered. A call that its caller has cancelled
// says nothing about the store and is ignored.
func (h *Health) recordOutcome(ctx context.Context, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil && !h.failing {
		h.failingSince = h.now()
	}
	h.failing = err != nil
}
