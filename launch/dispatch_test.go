package launch

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/track"
	"citronbridge/work"
)

// pool returns a Launcher for workers that are known, each with two starts due.
func pool(workers, window int) *Launcher {
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

// sent returns the calls that were asked for since the last time.
func sent(l *Launcher) (starts, stops []event.Call) {
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

// TestWindow bounds the orders under way, by the window and to one start a worker,
// and sends all of them in the end.
func TestWindow(t *testing.T) {
	for _, c := range []struct{ workers, window, first int }{{10, 4, 4}, {3, 8, 3}, {20, 20, 20}} {
		l := pool(c.workers, c.window)
		var under []event.Call
		busy, total := map[string]int{}, 0
		for round := 0; total < 2*c.workers && round < 100; round++ {
			l.Dispatch()
			starts, _ := sent(l)
			if round == 0 && len(starts) != c.first {
				t.Errorf("%+v: %d starts at once", c, len(starts))
			}
			for _, s := range starts {
				if busy[s.Worker]++; busy[s.Worker] > 1 {
					t.Errorf("%+v: two starts at %s at once", c, s.Worker)
				}
			}
			under, total = append(under, starts...), total+len(starts)
			if len(under) > c.window {
				t.Fatalf("%+v: %d under way", c, len(under))
			}
			if len(under) > 0 {
				busy[under[0].Worker]--
				l.Answered(event.OrderAnswered{Call: under[0], Outcome: event.Accepted, ClockMS: 1})
				under = under[1:]
			}
		}
		if total != 2*c.workers {
			t.Errorf("%+v: %d starts in all", c, total)
		}
	}
}

// TestLostStart sends an order again only after its time-out and a pause that
// grows, and stops before starts.
func TestLostStart(t *testing.T) {
	l := pool(1, 1)
	for try := range 4 {
		l.Dispatch()
		starts, _ := sent(l)
		if len(starts) != 1 {
			t.Fatalf("try %d: %d starts", try, len(starts))
		}
		l.Now.Steady += time.Minute
		if l.Again(); len(l.starts) != 1 {
			t.Fatalf("try %d: due again while it is under way", try)
		}
		l.Answered(event.OrderAnswered{Call: starts[0], Outcome: event.NoAnswer})
		if pause := l.Worker("w000").NextStart - l.Now.Steady; pause != RetryPause<<try {
			t.Errorf("try %d: the worker gets its next start after %v", try, pause)
		}
		l.Now.Steady += RetryPause << try
		l.Again()
	}
	w := l.Worker("w000")
	for _, r := range w.SortedRuns() {
		l.Stop(r)
	}
	l.Dispatch()
	if starts, stops := sent(l); len(starts) != 0 || len(stops) != 1 {
		t.Errorf("%d starts and %d stops at once, the window is 1", len(starts), len(stops))
	}
}
