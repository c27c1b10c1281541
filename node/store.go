package node

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"citronbridge/repo"
	"citronbridge/timer"
)

// meteredStore counts the calls to a store by their outcome and measures their duration.
type meteredStore struct {
	repo.Store
	calls *prometheus.CounterVec
	// durations are in seconds, without calls of feeds, which include the wait for a change.
	durations *prometheus.HistogramVec
}

var _ repo.Store = meteredStore{}

// Apply implements repo.Store.
func (m meteredStore) Apply(ctx context.Context, c repo.Change) (repo.Result, error) {
	began := timer.SinceBoot()
	r, err := m.Store.Apply(ctx, c)
	m.durations.WithLabelValues("apply").Observe((timer.SinceBoot() - began).Seconds())
	if err == nil && !r.Applied {
		m.calls.WithLabelValues("apply", "Conflict").Inc()
		return r, nil
	}
	m.countCall("apply", err)
	return r, err
}

// List implements repo.Store.
func (m meteredStore) List(ctx context.Context, table, partition, from string, limit int) (repo.Page, error) {
	began := timer.SinceBoot()
	p, err := m.Store.List(ctx, table, partition, from, limit)
	m.durations.WithLabelValues("list").Observe((timer.SinceBoot() - began).Seconds())
	m.countCall("list", err)
	return p, err
}

// Feed implements repo.Store.
func (m meteredStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (repo.Page, error) {
	p, err := m.Store.Feed(ctx, table, after, wait)
	m.countCall("feed "+table, err)
	return p, err
}

func (m meteredStore) countCall(call string, err error) {
	outcome := "Done"
	switch {
	case errors.Is(err, repo.ErrNotDone):
		outcome = "Refused"
	case errors.Is(err, repo.ErrHistoryGone):
		outcome = "HistoryGone"
	case err != nil:
		outcome = "NoAnswer"
	}
	m.calls.WithLabelValues(call, outcome).Inc()
}
