// Package stall measures how long a process stands still: without a processor,
// frozen, or so busy that its timers are late. What timed out meanwhile says
// nothing of the peer that was called.
package stall

import (
	"context"
	"sync"
	"time"
)

// Period is how often a Monitor expects to be called.
const Period = 100 * time.Millisecond

// retention is how far back standstills are remembered, longer than any call
// whose time-out depends on them.
const retention = 10 * time.Second

// Monitor remembers when its process stood still.
type Monitor struct {
	now func() time.Duration

	mu       sync.Mutex
	lastTick time.Duration
	// stalls are the standstills, in order.
	stalls []span
	total  time.Duration
}

type span struct{ from, to time.Duration }

// WithTimeout is context.WithTimeout for a call of a peer. The time for which
// this process stands still doesn't count, as an answer that came meanwhile is
// still to be read. The Monitor may be nil.
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

// New returns a Monitor by a steady clock.
func New(now func() time.Duration) *Monitor { return &Monitor{now: now, lastTick: now()} }

// Tick notes that the process runs. It is to be called each Period; what a call
// is late by counts as a standstill.
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

// StalledSince returns for how long the process has stood still since a time.
func (m *Monitor) StalledSince(from time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	// The tick that ends a standstill may come behind the timers that fire
	// with it.
	sum := max(m.now()-max(m.lastTick+Period, from), 0)
	for _, s := range m.stalls {
		sum += max(s.to-max(s.from, from), 0)
	}
	return sum
}

// TotalStalled returns for how long the process has stood still in all.
func (m *Monitor) TotalStalled() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total
}
