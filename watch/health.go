package watch

import (
	"context"
	"sync"
	"time"

	"citronbridge/repo"
)

// unavailableAfter is how long every call must have failed for the store to count as
// out: single answers get lost, and parts may be away alone.
const unavailableAfter = 400 * time.Millisecond

// Health knows whether the store answers this host at all.
type Health struct {
	now func() time.Duration

	mu sync.Mutex
	// failing says that no call was answered since failed.
	failing      bool
	failingSince time.Duration
}

var _ repo.Health = (*Health)(nil)

// NewHealth returns a Health of a store that counts as answering. Now tells a steady
// time, suspended time included.
func NewHealth(now func() time.Duration) *Health { return &Health{now: now} }

// Unavailable reports whether every call has failed for a time. Feeds go on asking, so
// it is found out soon when the store is back.
func (h *Health) Unavailable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing && h.now()-h.failingSince > unavailableAfter
}

// recordOutcome takes in how a call came out that its caller did not give up.
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
