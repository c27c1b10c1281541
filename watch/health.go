package watch

import (
	"context"
	"sync"
	"time"

	"citronbridge/repo"
)

// outAfter is how long every call must have failed for the store to count as
// out: single answers get lost, and parts may be away alone.
const outAfter = 400 * time.Millisecond

// Health knows whether the store answers this host at all.
type Health struct {
	now func() time.Duration

	mu sync.Mutex
	// failing says that no call was answered since failed.
	failing bool
	failed  time.Duration
}

var _ repo.Health = (*Health)(nil)

// NewHealth returns a Health of a store that counts as answering. Now tells a steady
// time, suspended time included.
func NewHealth(now func() time.Duration) *Health { return &Health{now: now} }

// Out reports whether every call has failed for a time. Feeds go on asking, so
// it is found out soon when the store is back.
func (h *Health) Out() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing && h.now()-h.failed > outAfter
}

// note takes in how a call came out that its caller did not give up.
func (h *Health) note(ctx context.Context, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil && !h.failing {
		h.failed = h.now()
	}
	h.failing = err != nil
}

// Watch returns the store, and takes in how its calls come out.
func (h *Health) Watch(s repo.Store) repo.Store { return tended{s, h} }

// tended takes in how the calls of a store come out.
type tended struct {
	store  repo.Store
	health *Health
}

var _ repo.Store = tended{}

// Apply implements Store.
func (t tended) Apply(ctx context.Context, c repo.Change) (repo.Result, error) {
	r, err := t.store.Apply(ctx, c)
	t.health.note(ctx, err)
	return r, err
}

// List implements Store.
func (t tended) List(ctx context.Context, table, part, from string, limit int) (repo.Page, error) {
	p, err := t.store.List(ctx, table, part, from, limit)
	t.health.note(ctx, err)
	return p, err
}

// Feed implements Store.
func (t tended) Feed(ctx context.Context, table string, after int64, wait time.Duration) (repo.Page, error) {
	p, err := t.store.Feed(ctx, table, after, wait)
	t.health.note(ctx, err)
	return p, err
}
