package retry

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"
)

var errDown = errors.New("down")

// TestBreakerAndBudget makes many calls to a service that is down: the breaker must open after
// defaultMaxFailures calls and let no further one through. A permanent error must neither be
// retried nor open the breaker.
func TestBreakerAndBudget(t *testing.T) {
	var states atomic.Int64
	g := New(Config{Name: "s", CallsPerSecond: 100000, BaseDelay: time.Microsecond, MaxDelay: time.Millisecond, OpenFor: time.Hour, OnStateChange: func(string, string) { states.Add(1) }})
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
	if !g.BreakerOpen() || states.Load() != 1 {
		t.Errorf("breaker open %t after %d changes of state, want true after 1", g.BreakerOpen(), states.Load())
	}
	if n := reached.Load(); n != defaultMaxFailures {
		t.Errorf("%d calls reached the service, want %d", n, defaultMaxFailures)
	}
	g = New(Config{Name: "p", CallsPerSecond: 100000, BaseDelay: time.Microsecond})
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
	if tries != 20 || g.BreakerOpen() {
		t.Errorf("%d tries of permanent errors, breaker open %t, want 20 and false", tries, g.BreakerOpen())
	}
}

// TestBudget checks that retries end once the budget is used up, though MaxTries isn't reached.
func TestBudget(t *testing.T) {
	g := New(Config{Name: "s", CallsPerSecond: 100000, BaseDelay: time.Microsecond, MaxDelay: time.Microsecond, MaxFailures: 1 << 30, MaxTries: 10})
	n := 0
	for range 100 {
		g.Retry(t.Context(), func(context.Context) error {
			n++
			return errDown
		})
	}
	// 100 first calls, the full budget, and what the calls themselves add to it.
	if limit := 100 + maxBudget + n/4; n > limit {
		t.Errorf("%d calls, want at most %d", n, limit)
	}
}
