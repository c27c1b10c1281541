package watch

import (
	"context"
	"time"

	"citronbridge/repo"
)

// observed is a store whose answers a clock and a health observe, either of
// which may be nil.
type observed struct {
	store  repo.Store
	clock  *Clock
	health *Health
}

var _ repo.Store = observed{}

// Over returns the store, and lets a clock and a health observe its answers.
// Either may be nil.
func Over(s repo.Store, c *Clock, h *Health) repo.Store { return observed{s, c, h} }

// Apply implements repo.Store.
func (o observed) Apply(ctx context.Context, c repo.Change) (repo.Result, error) {
	sent := o.began()
	r, err := o.store.Apply(ctx, c)
	o.answered(ctx, sent, r.Now, err)
	return r, err
}

// List implements repo.Store.
func (o observed) List(ctx context.Context, table, part, from string, limit int) (repo.Page, error) {
	sent := o.began()
	p, err := o.store.List(ctx, table, part, from, limit)
	o.answered(ctx, sent, p.Now, err)
	return p, err
}

// Feed implements repo.Store. It waits for a change, and tells little of when
// the store answered: the clock leaves it alone.
func (o observed) Feed(ctx context.Context, table string, after int64, wait time.Duration) (repo.Page, error) {
	p, err := o.store.Feed(ctx, table, after, wait)
	o.answered(ctx, 0, 0, err)
	return p, err
}

// began returns when a call is sent, by the clock.
func (o observed) began() time.Duration {
	if o.clock == nil {
		return 0
	}
	return o.clock.now()
}

// answered takes in how a call came out, and the store's clock, 0 if it isn't
// to be read.
func (o observed) answered(ctx context.Context, sent, store time.Duration, err error) {
	if o.health != nil {
		o.health.note(ctx, err)
	}
	if o.clock != nil && err == nil {
		o.clock.observe(sent, store)
	}
}
