// Package stall measures how long the process was stalled: not scheduled on a processor,
// frozen, or so busy that its timers fired late. A call that timed out meanwhile says nothing
// about the peer that was called.
package stall

import (
	"context"
	"sync"
	"time"
)

// Period is the interval at which Monitor.Tick has to be called.
const Period = 100 * time.Millisecond

// retention is how long stalls are kept, which is longer than any call whose time-out
// depends on them.
const retention = 10 * time.Second

// Monitor records when its process was stalled.
type Monitor struct {
	now func() time.Duration

	mu       sync.Mutex
	lastTick time.Duration
	// stalls are the recent stalls in order of time, total is the duration of all.
	stalls []span
	total  time.Duration
}

type span struct{ from, to time.Duration }

// WithTimeout is context.WithTimeout for a call of a peer, except that the time for which
// this process is stalled doesn't count: an answer that arrived meanwhile has yet to be
// read. When the time is up the context is cancelled with the cause context.DeadlineExceeded,
// but its Err is context.Canceled. For a nil Monitor it is just context.WithTimeout.
func (m *Monitor) WithTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if m == nil {
		return context.WithTimeout(ctx, timeout)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	began := m.now()
	var t *time.Timer
	var mu sync.Mutex
	mu.Lock()
	defer mu.Unlock()
	t = time.AfterFunc(timeout, func() {
		mu.Lock()
		defer mu.Unlock()
		// The process runs, whether or not the regular ticks come.
		m.Tick()
		if left := timeout + m.StalledSince(began) - (m.now() - began); left > 0 {
			t.Reset(left)
			return
		}
		cancel(context.DeadlineExceeded)
	})
	return ctx, func() {
		t.Stop()
		cancel(nil)
	}
}

// New returns a Monitor. now returns a monotonic time.
func New(now func() time.Duration) *Monitor { return &Monitor{now: now, lastTick: now()} }

// Tick records that the process is running. It has to be called at least every Period; the time
// by which a call is late counts as a stall.
func (m *Monitor) Tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.now()
	if due := m.lastTick + Period; n > due {
		m.stalls = append(m.stalls, span{due, n})
		m.total += n - due
	}
	m.lastTick = n
	for len(m.stalls) > 0 && m.stalls[0].to < n-retention {
		m.stalls = m.stalls[1:]
	}
}

// StalledSince returns for how long in all the process was stalled since a time. Stalls that
// ended longer ago than retention don't count.
func (m *Monitor) StalledSince(from time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	// The current stall counts too: timers that fire at its end may run before the tick
	// that records it.
	sum := max(m.now()-max(m.lastTick+Period, from), 0)
	for _, s := range m.stalls {
		sum += max(s.to-max(s.from, from), 0)
	}
	return sum
}

// TotalStalled returns for how long the process was stalled since the Monitor was created.
func (m *Monitor) TotalStalled() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total
}
