package sched

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/event"
)

// TestFirstHoldsAreBounded takes over a large pool: its workers are asked some
// at a time, those first that a former decider has used, and all in the end.
func TestFirstHoldsAreBounded(t *testing.T) {
	const workers = 5 * maxFirst
	s := New(Config{Pool: "p", Epoch: 2, Bounds: event.Bounds{Lease: lease}, Inherit: maxHold, PartOf: partOf}, event.Clock{}, nil)
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		if i >= workers-maxFirst {
			s.Step(event.Clock{}, event.WorkerKnown{ID: id, Address: "a"})
		}
		s.Step(event.Clock{}, event.WorkerListed{Worker: event.Worker{ID: id, Address: "a", Born: 1}})
	}
	asked := map[string]bool{}
	now := time.Duration(0)
	for round := 0; len(asked) < workers && round < 2*workers; round++ {
		now += time.Millisecond
		l, _ := s.Flush(event.Clock{Steady: now})
		var open []event.Hold
		for _, e := range l {
			if h, ok := e.(event.Hold); ok && !asked[h.Worker] {
				asked[h.Worker] = true
				open = append(open, h)
			}
		}
		if round == 0 {
			for _, h := range open {
				if !s.pool[h.Worker].inherited {
					t.Errorf("worker %s is asked before all that were used", h.Worker)
				}
			}
		}
		if len(open) > maxFirst {
			t.Fatalf("%d workers are asked at once", len(open))
		}
		for _, h := range open {
			s.Step(event.Clock{Steady: now}, event.Reported{Call: h.Call, Outcome: event.Accepted, ClockMS: 1, Born: 1})
		}
	}
	if len(asked) != workers {
		t.Errorf("%d of %d workers were asked", len(asked), workers)
	}
}
