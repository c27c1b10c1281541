package launch

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/track"
	"citronbridge/work"
)

// newLauncher returns a Launcher with ready workers, each of which has two queued starts.
func newLauncher(workers, window int) *Launcher {
	l := New(track.NewPool(track.Config{Pool: "p", Epoch: 1, Window: window, Bounds: event.Bounds{Lease: 9 * time.Second}}, event.Clock{Steady: time.Second}, nil))
	l.OwnedAt = time.Second
	j := &track.Job{Spec: &work.Job{ID: "00000000000000aa", Steps: []work.Step{{Count: 2 * workers}}}, Record: &work.Record{State: work.Running}}
	j.OpenOccurrence(0, time.Second)
	for i, t := range j.Steps[0].Tasks {
		w := l.Worker(fmt.Sprintf("w%03d", i/2))
		w.Listed, w.Recorded, w.Synced, w.ClockMS = true, true, true, 1
		r := &track.Run{ID: t.ID(), N: 1, Task: t, Worker: w}
		t.Run, w.Runs[r.ID] = r, r
		l.Start(r)
	}
	return l
}

// takeCalls removes the pending effects and returns the calls among them.
func takeCalls(l *Launcher) (starts, stops []event.Call) {
	for _, e := range l.PendingEffects {
		switch e := e.(type) {
		case event.Start:
			starts = append(starts, e.Call)
		case event.Stop:
			stops = append(stops, e.Call)
		}
	}
	l.PendingEffects = nil
	return starts, stops
}

// TestInFlightOrdersAreBounded guards against more orders in flight than the window
// allows, more than one start at a time at a worker, and starts that are never sent.
func TestInFlightOrdersAreBounded(t *testing.T) {
	for _, c := range []struct{ workers, window, first int }{{10, 4, 4}, {3, 8, 3}, {20, 20, 20}} {
		l := newLauncher(c.workers, c.window)
		var inFlight []event.Call
		byWorker, total := map[string]int{}, 0
		for round := 0; total < 2*c.workers && round < 100; round++ {
			l.Dispatch()
			starts, _ := takeCalls(l)
			if round == 0 && len(starts) != c.first {
				t.Errorf("%+v: %d starts in the first round", c, len(starts))
			}
			for _, s := range starts {
				if byWorker[s.Worker]++; byWorker[s.Worker] > 1 {
					t.Errorf("%+v: two starts at %s at once", c, s.Worker)
				}
			}
			inFlight, total = append(inFlight, starts...), total+len(starts)
			if len(inFlight) > c.window {
				t.Fatalf("%+v: %d orders in flight", c, len(inFlight))
			}
			if len(inFlight) > 0 {
				byWorker[inFlight[0].Worker]--
				l.HandleAnswer(event.OrderAnswered{Call: inFlight[0], Outcome: event.Accepted, ClockMS: 1})
				inFlight = inFlight[1:]
			}
		}
		if total != 2*c.workers {
			t.Errorf("%+v: %d starts in all", c, total)
		}
	}
}

// TestUnansweredStartIsRetried checks that a start without an answer is sent again only
// after its timeout and a growing pause, and that stops are sent before starts.
func TestUnansweredStartIsRetried(t *testing.T) {
	l := newLauncher(1, 1)
	for try := range 4 {
		l.Dispatch()
		starts, _ := takeCalls(l)
		if len(starts) != 1 {
			t.Fatalf("try %d: %d starts sent, want 1", try, len(starts))
		}
		l.Now.Steady += time.Minute
		if l.RetryUnanswered(); len(l.starts) != 1 {
			t.Fatalf("try %d: queued again while in flight", try)
		}
		l.HandleAnswer(event.OrderAnswered{Call: starts[0], Outcome: event.NoAnswer})
		if pause := l.Worker("w000").NextStart - l.Now.Steady; pause != RetryPause<<try {
			t.Errorf("try %d: the worker's next start is delayed by %v", try, pause)
		}
		l.Now.Steady += RetryPause << try
		l.RetryUnanswered()
	}
	w := l.Worker("w000")
	for _, r := range w.SortedRuns() {
		l.Stop(r)
	}
	l.Dispatch()
	if starts, stops := takeCalls(l); len(starts) != 0 || len(stops) != 1 {
		t.Errorf("%d starts and %d stops sent, want only one stop", len(starts), len(stops))
	}
}

// TestNoStartOnDrainingWorker guards against starts that were decided before their worker
// began to drain and are sent later: one that wasn't sent is cancelled, one whose answer
// was lost is followed by a stop.
func TestNoStartOnDrainingWorker(t *testing.T) {
	l := newLauncher(1, 1)
	l.Dispatch()
	starts, _ := takeCalls(l)
	if len(starts) != 1 {
		t.Fatalf("%d starts sent, want 1", len(starts))
	}
	w := l.Worker("w000")
	w.Draining = true
	l.HandleAnswer(event.OrderAnswered{Call: starts[0], Outcome: event.NoAnswer})
	l.Now.Steady += time.Second
	l.RetryUnanswered()
	l.Dispatch()
	again, stops := takeCalls(l)
	if len(again) != 0 {
		t.Errorf("%d starts sent to a draining worker", len(again))
	}
	if len(stops) != 1 || stops[0].Task != starts[0].Task {
		t.Errorf("stops sent: %v, want one of %v", stops, starts[0].Task)
	}
	if len(w.Runs) != 1 {
		t.Errorf("%d runs are left, want only the one that is being stopped", len(w.Runs))
	}
}
