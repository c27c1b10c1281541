package watch

import (
	"context"
	"time"

	"citronbridge/repo"
)

// observedStore is a store whose answers a clock and a health observe, either of
// which may be nil.
type observedStore struct {
	store  repo.Store
	clock  *Clock
	health *Health
}

var _ repo.Store = observedStore{}

// Observe returns the store, and lets a clock and a health observe its answers.
// Either may be nil.
func Observe(s repo.Store, c *Clock, h *Health) repo.Store { return observedStore{s, c, h} }

// Apply implements repo.Store.
func (o observedStore) Apply(ctx context.Context, c repo.Change) (repo.Result, error) {
	sent := o.sendTime()
	r, err := o.store.Apply(ctx, c)
	o.observe(ctx, sent, r.Now, err)
	return r, err
}

// List implements repo.Store.
func (o observedStore) List(ctx context.Context, table, part, from string, limit int) (repo.Page, error) {
	sent := o.sendTime()
	p, err := o.store.List(ctx, table, part, from, limit)
	o.observe(ctx, sent, p.Now, err)
	return p, err
}

// Feed implements repo.Store. It waits for a change, and tells little of when
// the store answered: the clock leaves it alone.
func (o observedStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (repo.Page, error) {
	p, err := o.store.Feed(ctx, table, after, wait)
	o.observe(ctx, 0, 0, err)
	return p, err
}

// sendTime returns when a call is sent, by the clock.
func (o observedStore) sendTime() time.Duration {
	if o.clock == nil {
		return 0
	}
	return o.clock.now()
}

// observe takes in how a call came out, and the store's clock, 0 if it isn't
// to be read.
func (o observedStore) observe(ctx context.Context, sent, store time.Duration, err error) {
	if o.health != nil {
		o.health.recordOutcome(ctx, err)
	}
	if o.clock != nil && err == nil {
		o.clock.observe(sent, store)
	}
}
