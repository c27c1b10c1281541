package orders

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/track"
)

// TestFirstHoldsAreBounded takes over a large pool: its workers are asked some
// at a time, those first that a former decider has used, and all in the end.
func TestFirstHoldsAreBounded(t *testing.T) {
	const workers = 5 * maxFirst
	s := New(track.NewPool(track.Config{Pool: "p", Epoch: 2, InheritTime: 10 * time.Second}, event.Clock{}, nil))
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		if i >= workers-maxFirst {
			s.Known(event.WorkerInherited{ID: id, Address: "a"})
		}
		s.Listed(event.Worker{ID: id, Address: "a", StartedMS: 1})
	}
	asked := map[string]bool{}
	for round := 0; len(asked) < workers && round < 2*workers; round++ {
		s.Now.Steady += time.Millisecond
		s.PendingEffects = nil
		s.Holds()
		var open []event.Hold
		for _, e := range s.PendingEffects {
			if h, ok := e.(event.Hold); ok && !asked[h.Worker] {
				asked[h.Worker] = true
				open = append(open, h)
			}
		}
		if round == 0 {
			for _, h := range open {
				if !s.Workers[h.Worker].Inherited {
					t.Errorf("worker %s is asked before all that were used", h.Worker)
				}
			}
		}
		if len(open) > maxFirst {
			t.Fatalf("%d workers are asked at once", len(open))
		}
		for _, h := range open {
			s.Reported(event.HoldAnswered{Call: h.Call, Outcome: event.Accepted, ClockMS: 1, StartedMS: 1})
		}
	}
	if len(asked) != workers {
		t.Errorf("%d of %d workers were asked", len(asked), workers)
	}
}
