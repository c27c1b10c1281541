package node

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/decide"
	"citronbridge/fakes/model"
	"citronbridge/fakes/plat"
	"citronbridge/repo"
)

// takeoverLog receives for how long a decider expects orders of former ones, from its log.
type takeoverLog chan time.Duration

// Write implements io.Writer.
func (l takeoverLog) Write(line []byte) (int, error) {
	// zerolog writes durations in milliseconds.
	var e struct{ FormerOrders *float64 }
	if err := json.Unmarshal(line, &e); err == nil && e.FormerOrders != nil {
		l <- time.Duration(*e.FormerOrders * float64(time.Millisecond))
	}
	return len(line), nil
}

// takeOver makes another host take the pool over for a reason. It returns the host's decider, and
// for how long that expects orders of former deciders.
func takeOver(t *testing.T, ctx context.Context, p *plat.Platform, name string, v takeoverReason) (*decide.Decider, time.Duration) {
	t.Helper()
	log := make(takeoverLog, 1)
	h := newHostOn(t, p, name, zerolog.New(log))
	page, err := h.store.List(ctx, repo.TableHeartbeats, "", "", 1)
	if err == nil {
		err = h.heartbeats.Record(page.Rows)
	}
	if err != nil {
		t.Fatal(err)
	}
	d, _ := h.acquire(ctx, &candidate{pool: "pool"}, v, h.heartbeats.Epoch("pool"))
	if d == nil {
		t.Fatal("the pool wasn't acquired")
	}
	select {
	case wait := <-log:
		return d, wait
	case <-time.After(eventTimeout):
		t.Fatal("the decider doesn't say what it waits for")
		return nil, 0
	}
}

// ordersAfterHeartbeat is how long after its last heartbeat a decider may send orders.
const ordersAfterHeartbeat = 4 * time.Second

// TestTakeoverChain guards against tasks that run twice after several takeovers: the first
// decider is only unresponsive and goes on renewing leases, and one further takeover, planned or
// not, makes the next decider forget that.
func TestTakeoverChain(t *testing.T) {
	unresponsive, weaker := takeoverReason{unresponsive: true}, takeoverReason{weaker: true}
	for _, c := range []struct {
		name string
		// first is why the second host takes over, restarts whether the third is the second one
		// after a restart.
		first              takeoverReason
		released, restarts bool
	}{
		{"planned stops", unresponsive, true, false},
		{"planned stop after a silent decider", unresponsive, false, false},
		{"restart after a silent decider", unresponsive, false, true},
		{"planned stop after a handover to a larger host", weaker, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := plat.New("pool", model.Bounds{})
			t.Cleanup(p.Close)
			began := time.Now()
			silent, stop := context.WithCancel(t.Context())
			defer stop()
			d, _ := takeOver(t, silent, p, "a", unresponsive)
			if c.released {
				d.Stop(t.Context())
			} else {
				stop()
			}
			ctx, stopSecond := context.WithCancel(t.Context())
			defer stopSecond()
			d, first := takeOver(t, ctx, p, "b", c.first)
			third := "c"
			if c.restarts {
				stopSecond()
				third = "b"
			} else {
				d.Stop(t.Context())
			}
			d, second := takeOver(t, t.Context(), p, third, unresponsive)
			d.Stop(t.Context())
			least := ordersAfterHeartbeat - time.Since(began)
			switch {
			case c.released && max(first, second) > ordersAfterHeartbeat/10:
				t.Errorf("the deciders wait %v and %v for orders of deciders that have stopped", first, second)
			case !c.released && (first < least || second < least):
				t.Errorf("the deciders wait %v and %v for orders of the first one, want %v at least", first, second, least)
			}
		})
	}
}
