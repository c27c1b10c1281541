package relay

import (
	"context"
	"time"

	"citronbridge/repo"
)

// openCall is a call of the table service that is under way.
type openCall struct {
	cancel context.CancelFunc
	began  time.Time
}

// begin notes a call. Its context ends, too, when the call is given up
// as it was sent to a table service that didn't answer then and does now.
func (r *Relay) begin(ctx context.Context) (context.Context, *openCall) {
	inner, cancel := context.WithCancel(ctx)
	c := &openCall{cancel, time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c] = true
	return inner, c
}

// end takes in how a direct call came out.
func (r *Relay) end(ctx, inner context.Context, c *openCall, err error) {
	stale := inner.Err() != nil && ctx.Err() == nil
	r.drop(c)
	if err == nil || !stale {
		r.noted(ctx, err)
	}
}

// drop forgets a call that is over.
func (r *Relay) drop(c *openCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, c)
	c.cancel()
}

// cancelStale gives up what was asked while the table service answered nothing:
// those who asked ask again, instead of waiting for answers that won't come.
// The lock is held.
func (r *Relay) cancelStale() {
	for c := range r.calls {
		if time.Since(c.began) >= lostFor {
			c.cancel()
		}
	}
}

func (r *Relay) apply(ctx context.Context, c repo.Change) (repo.Result, error) {
	inner, d := r.begin(ctx)
	a, err := r.c.Direct.Apply(inner, c)
	r.end(ctx, inner, d, err)
	return a, err
}

func (r *Relay) list(ctx context.Context, table, part, from string, limit int) (repo.Page, error) {
	inner, d := r.begin(ctx)
	p, err := r.c.Direct.List(inner, table, part, from, limit)
	r.end(ctx, inner, d, err)
	return p, err
}

func (r *Relay) feed(ctx context.Context, table string, after int64, wait time.Duration) (repo.Page, error) {
	inner, d := r.begin(ctx)
	p, err := r.c.Direct.Feed(inner, table, after, wait)
	r.end(ctx, inner, d, err)
	return p, err
}
