package stall

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestStalledSince simulates the ticks of a process that is stalled for a second, and then
// is late with the next tick.
func TestStalledSince(t *testing.T) {
	const ms = time.Millisecond
	var now time.Duration
	m := New(func() time.Duration { return now })
	for _, now = range []time.Duration{100 * ms, 200 * ms, 1300 * ms, 1400 * ms} {
		m.Tick()
	}
	for _, c := range []struct{ at, from, want time.Duration }{
		{1400 * ms, 0, 1000 * ms},
		{1400 * ms, 550 * ms, 750 * ms},
		{1400 * ms, 1300 * ms, 0},
		{1500 * ms, 1400 * ms, 0},
		{1750 * ms, 1400 * ms, 250 * ms},
		{1750 * ms, 1700 * ms, 50 * ms},
		{1750 * ms, 0, 1250 * ms},
	} {
		now = c.at
		if got := m.StalledSince(c.from); got != c.want {
			t.Errorf("at %v since %v: %v, want %v", c.at, c.from, got, c.want)
		}
	}
	if got := m.TotalStalled(); got != 1000*ms {
		t.Errorf("total duration of stalls is %v, want 1s", got)
	}
}

// TestOldStallsForgotten checks that stalls older than retention are dropped but stay in
// the total.
func TestOldStallsForgotten(t *testing.T) {
	var now time.Duration
	m := New(func() time.Duration { return now })
	now = 2 * time.Second
	m.Tick()
	for now < 2*time.Second+2*retention {
		now += Period
		m.Tick()
	}
	if len(m.stalls) != 0 || m.StalledSince(0) != 0 || m.TotalStalled() != 2*time.Second-Period {
		t.Errorf("%d stalls are kept, total %v, want none kept and the total unchanged", len(m.stalls), m.TotalStalled())
	}
}

// TestTimeoutExcludesStalls guards against calls that time out, so that the peer counts as
// unresponsive, because this process was stalled while the answer arrived.
func TestTimeoutExcludesStalls(t *testing.T) {
	const timeout = 50 * time.Millisecond
	began := time.Now()
	var stalled atomic.Int64
	m := New(func() time.Duration { return time.Since(began) + time.Duration(stalled.Load()) })
	unstalledCtx, cancel := m.WithTimeout(t.Context(), timeout)
	defer cancel()
	<-unstalledCtx.Done()
	if !errors.Is(context.Cause(unstalledCtx), context.DeadlineExceeded) {
		t.Errorf("cause of the time-out is %v, want DeadlineExceeded", context.Cause(unstalledCtx))
	}
	m.Tick()
	stalledCtx, cancelStalled := m.WithTimeout(t.Context(), timeout)
	defer cancelStalled()
	at := m.now()
	stalled.Add(int64(Period + timeout))
	<-stalledCtx.Done()
	if took := m.now() - at; took < 2*timeout {
		t.Errorf("timed out after %v, though the process was stalled for %v", took, Period+timeout)
	}
	var none *Monitor
	plainCtx, cancelPlain := none.WithTimeout(t.Context(), time.Millisecond)
	defer cancelPlain()
	<-plainCtx.Done()
}

// TestTimeoutWithoutTicks guards against calls that never time out, because the process runs but
// nothing ticks.
func TestTimeoutWithoutTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		m := New(func() time.Duration { return time.Since(began) })
		ctx, cancel := m.WithTimeout(t.Context(), 4*Period)
		defer cancel()
		select {
		case <-ctx.Done():
		case <-time.After(time.Minute):
			t.Fatal("the call hasn't timed out after a minute")
		}
		if took := time.Since(began); took > 10*Period {
			t.Errorf("a call of %v timed out after %v", 4*Period, took)
		}
	})
}

// TestLongTimeoutWithoutTicks is TestTimeoutWithoutTicks for calls as long as those of the feeds.
func TestLongTimeoutWithoutTicks(t *testing.T) {
	for _, timeout := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
		t.Run(timeout.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				m := New(func() time.Duration { return time.Since(began) })
				ctx, cancel := m.WithTimeout(t.Context(), timeout)
				defer cancel()
				select {
				case <-ctx.Done():
				case <-time.After(5 * time.Minute):
				}
				if took := time.Since(began); took > timeout*5/2 {
					t.Errorf("a call of %v timed out after %v", timeout, took)
				}
			})
		})
	}
}
