package decide

import (
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/fakes/rows"
	"citronbridge/guard"
	"citronbridge/meter"
	"citronbridge/repo"
	"citronbridge/stall"
	"citronbridge/timer"
	"citronbridge/watch"
	"citronbridge/work"
)

// TestPanicEndsOnlyTheDecider guards against an unexpected error in the decisions for a pool
// that takes the whole host down, clients' calls included.
func TestPanicEndsOnlyTheDecider(t *testing.T) {
	ended := make(chan string, 1)
	panics := make(chan string, 16)
	m := rows.New()
	d := Start(t.Context(), Config{
		Pool: "p", Owner: repo.Owner{Host: "h", Epoch: 1}, Ownership: &repo.Ownership{}, Store: m, Owners: repo.NewOwners(m),
		Clock: watch.NewClock(timer.SinceBoot), Stalls: stall.New(timer.SinceBoot), Meter: meter.NewHost(func() int64 { return 0 }), Log: zerolog.Nop(),
		Guard: guard.New(zerolog.Nop(), func(unit string) { panics <- unit }),
		Rules: func() *work.Rules { panic("unexpected configuration") },
		Ended: func(*Decider) { ended <- "p" },
	})
	for _, c := range []chan string{panics, ended} {
		select {
		case <-c:
		case <-time.After(10 * time.Second):
			t.Fatal("the decider hasn't ended")
		}
	}
	d.wg.Wait()
	if d.ctx.Err() == nil {
		t.Error("the decider goes on after a panic")
	}
}

// TestPanicWithFullQueue guards against a host that is blocked for good after a panic: it passes
// changes on under a lock that the end of the decider takes, and the queue of events is full.
func TestPanicWithFullQueue(t *testing.T) {
	var poolMu sync.Mutex
	full, ended := make(chan struct{}), make(chan struct{})
	m := rows.New()
	owners, self := repo.NewOwners(m), repo.Owner{Host: "h", Epoch: 1}
	o, err := owners.Acquire(t.Context(), "p", self, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	d := Start(t.Context(), Config{
		Pool: "p", Owner: self, Ownership: o, Store: m, Owners: owners,
		Clock: watch.NewClock(timer.SinceBoot), Stalls: stall.New(timer.SinceBoot), Meter: meter.NewHost(func() int64 { return 0 }), Log: zerolog.Nop(),
		Guard: guard.New(zerolog.Nop(), func(string) {}),
		Rules: func() *work.Rules {
			<-full
			panic("unexpected configuration")
		},
		Ended: func(*Decider) {
			poolMu.Lock()
			defer poolMu.Unlock()
			close(ended)
		},
	})
	go func() {
		poolMu.Lock()
		defer poolMu.Unlock()
		for range eventQueueSize {
			d.RulesChanged(nil)
		}
		close(full)
		d.RulesChanged(nil)
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the decider hasn't ended")
	}
	d.wg.Wait()
}
