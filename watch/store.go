package watch

import (
	"context"
	"time"

	"citronbridge/repo"
)

// observedStore passes the answers of a store on to a Clock and a Health, either of which may
// be nil.
type observedStore struct {
	store  repo.Store
	clock  *Clock
	health *Health
}

var _ repo.Store = observedStore{}

// Observe returns a store that makes the calls of s and updates a Clock and a Health from the
// answers. Either may be nil.
func Observe(s repo.Store, c *Clock, h *Health) repo.Store { return observedStore{s, c, h} }

// Apply implements repo.Store.
func (o observedStore) Apply(ctx context.Context, c repo.Change) (repo.Result, error) {
	sent := o.sendTime()
	r, err := o.store.Apply(ctx, c)
	o.observe(ctx, sent, r.Now, err)
	return r, err
}

// List implements repo.Store.
func (o observedStore) List(ctx context.Context, table, partition, from string, limit int) (repo.Page, error) {
	sent := o.sendTime()
	p, err := o.store.List(ctx, table, partition, from, limit)
	o.observe(ctx, sent, p.Now, err)
	return p, err
}

// Feed implements repo.Store. Its answers don't update the clock: the call waits for a change,
// so the time between call and answer bounds the store's clock badly.
func (o observedStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (repo.Page, error) {
	p, err := o.store.Feed(ctx, table, after, wait)
	o.observe(ctx, 0, 0, err)
	return p, err
}

// sendTime returns the time at which a call is sent, for the clock; 0 without a clock.
func (o observedStore) sendTime() time.Duration {
	if o.clock == nil {
		return 0
	}
	return o.clock.now()
}

// observe updates the health with the outcome of a call, and the clock with the store's
// clock in the answer. store is 0 if the answer is not to be used for the clock.
func (o observedStore) observe(ctx context.Context, sent, store time.Duration, err error) {
	if o.health != nil {
		o.health.recordOutcome(ctx, err)
	}
	if o.clock != nil && err == nil {
		o.clock.observe(sent, store)
	}
}
