package retry

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"
)

var errDown = errors.New("down")

// TestBreakerAndBudget calls a service that is down from many goroutines. The
// breaker opens, and the calls that reach the service stay few; a permanent
// error is neither retried nor held against the service.
func TestBreakerAndBudget(t *testing.T) {
	var states atomic.Int64
	g := New(Config{Name: "s", CallsPerSecond: 100000, Base: time.Microsecond, Max: time.Millisecond, OpenFor: time.Hour, Changed: func(string, string) { states.Add(1) }})
	var reached atomic.Int64
	for range 1000 {
		err := g.Retry(t.Context(), func(context.Context) error {
			reached.Add(1)
			return errDown
		})
		if err == nil {
			t.Fatal("a call of a service that is down succeeded")
		}
	}
	if !g.Open() || states.Load() != 1 {
		t.Errorf("open %t after %d changes", g.Open(), states.Load())
	}
	if n := reached.Load(); n != defaultFailures {
		t.Errorf("%d calls reached the service, want %d", n, defaultFailures)
	}
	g = New(Config{Name: "p", CallsPerSecond: 100000, Base: time.Microsecond})
	tries := 0
	for range 20 {
		err := g.Retry(t.Context(), func(context.Context) error {
			tries++
			return Permanent(errDown)
		})
		if !errors.Is(err, errDown) {
			t.Fatal(err)
		}
	}
	if tries != 20 || g.Open() {
		t.Errorf("%d tries, open %t", tries, g.Open())
	}
}

// TestBudget spends the budget: retries end though tries are left.
func TestBudget(t *testing.T) {
	g := New(Config{Name: "s", CallsPerSecond: 100000, Base: time.Microsecond, Max: time.Microsecond, Failures: 1 << 30, Tries: 10})
	n := 0
	for range 100 {
		g.Retry(t.Context(), func(context.Context) error {
			n++
			return errDown
		})
	}
	// 100 first calls, the full budget, and what the calls themselves earn.
	if limit := 100 + maxBudget + n/4; n > limit {
		t.Errorf("%d calls, want at most %d", n, limit)
	}
}
