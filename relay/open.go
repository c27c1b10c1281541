package relay

import (
	"context"
	"time"

	"citronbridge/repo"
)

// inFlightCall is a call of the table service that is under way.
type inFlightCall struct {
	cancel context.CancelFunc
	began  time.Time
}

// track notes a call. Its context ends, too, when the call is given up
// as it was sent to a table service that didn't answer then and does now.
func (r *Relay) track(ctx context.Context) (context.Context, *inFlightCall) {
	inner, cancel := context.WithCancel(ctx)
	c := &inFlightCall{cancel, time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[c] = true
	return inner, c
}

// finishDirect takes in how a direct call came out.
func (r *Relay) finishDirect(ctx, inner context.Context, c *inFlightCall, err error) {
	stale := inner.Err() != nil && ctx.Err() == nil
	r.untrack(c)
	if err == nil || !stale {
		r.recordOutcome(ctx, err)
	}
}

// untrack forgets a call that is over.
func (r *Relay) untrack(c *inFlightCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, c)
	c.cancel()
}

// cancelStale gives up what was asked while the table service answered nothing:
// those who asked ask again, instead of waiting for answers that won't come.
// The lock is held.
func (r *Relay) cancelStale() {
	for c := range r.inFlight {
		if time.Since(c.began) >= failoverAfter {
			c.cancel()
		}
	}
}

func (r *Relay) applyDirect(ctx context.Context, c repo.Change) (repo.Result, error) {
	inner, d := r.track(ctx)
	a, err := r.c.Direct.Apply(inner, c)
	r.finishDirect(ctx, inner, d, err)
	return a, err
}

func (r *Relay) listDirect(ctx context.Context, table, part, from string, limit int) (repo.Page, error) {
	inner, d := r.track(ctx)
	p, err := r.c.Direct.List(inner, table, part, from, limit)
	r.finishDirect(ctx, inner, d, err)
	return p, err
}

func (r *Relay) feedDirect(ctx context.Context, table string, after int64, wait time.Duration) (repo.Page, error) {
	inner, d := r.track(ctx)
	p, err := r.c.Direct.Feed(inner, table, after, wait)
	r.finishDirect(ctx, inner, d, err)
	return p, err
}
