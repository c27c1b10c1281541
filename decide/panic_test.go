package decide

import (
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
