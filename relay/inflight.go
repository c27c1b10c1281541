package relay

import (
	"context"
	"time"

	"citronbridge/repo"
)

// inFlightCall is a call to the table service that has no answer yet.
type inFlightCall struct {
	cancel context.CancelFunc
	began  time.Time
}

// track registers a call as in flight. The returned context ends with ctx, or earlier when
// cancelStale cancels the call.
func (r *Relay) track(ctx context.Context) (context.Context, *inFlightCall) {
	inner, cancel := context.WithCancel(ctx)
	c := &inFlightCall{cancel, time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[c] = true
	return inner, c
}

// finishDirect removes a direct call and records its outcome. The error of a call that
// cancelStale has cancelled is ignored, as it says nothing about the table service.
func (r *Relay) finishDirect(ctx, inner context.Context, c *inFlightCall, err error) {
	stale := inner.Err() != nil && ctx.Err() == nil
	r.untrack(c)
	if err == nil || !stale {
		r.recordOutcome(ctx, err)
	}
}

// untrack removes a call that has ended.
func (r *Relay) untrack(c *inFlightCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, c)
	c.cancel()
}

// cancelStale cancels the calls that have been in flight for failoverAfter or longer. The
// table service was unavailable meanwhile, so their answers may never come, and their
// callers can retry at once instead of waiting. The caller holds the lock.
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

func (r *Relay) listDirect(ctx context.Context, table, partition, from string, limit int) (repo.Page, error) {
	inner, d := r.track(ctx)
	p, err := r.c.Direct.List(inner, table, partition, from, limit)
	r.finishDirect(ctx, inner, d, err)
	return p, err
}

func (r *Relay) feedDirect(ctx context.Context, table string, after int64, wait time.Duration) (repo.Page, error) {
	inner, d := r.track(ctx)
	p, err := r.c.Direct.Feed(inner, table, after, wait)
	r.finishDirect(ctx, inner, d, err)
	return p, err
}
