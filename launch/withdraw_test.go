package launch

import (
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/track"
)

// TestWithdrawStarts evacuates the data centre of a worker while a start there is in each
// state. None may be sent from then on, and none that has started may be stopped.
func TestWithdrawStarts(t *testing.T) {
	for _, c := range []struct {
		name string
		gang bool
		// sent are the numbers of the members whose start was sent; outcomes are their answers,
		// empty while in flight. Member i is on worker i, of which the first is evacuated.
		sent     []int
		outcomes []event.Outcome
		// runs is how many members still have a run, stops how many stops are sent.
		runs, stops int
		withdrawn   int
	}{
		{"not sent", false, nil, nil, 1, 0, 1},
		{"in flight", false, []int{0}, []event.Outcome{""}, 2, 0, 0},
		{"unanswered", false, []int{0}, []event.Outcome{event.NoAnswer}, 2, 1, 1},
		{"held back by its host", false, []int{0}, []event.Outcome{event.NotSent}, 2, 1, 1},
		{"started", false, []int{0}, []event.Outcome{event.Accepted}, 2, 0, 0},
		{"gang not sent", true, nil, nil, 0, 0, 2},
		{"gang of which the member there wasn't sent", true, []int{1}, []event.Outcome{event.Accepted}, 1, 1, 1},
		{"gang of which only the member there was sent", true, []int{0}, []event.Outcome{event.Accepted}, 1, 1, 1},
		{"gang in flight", true, []int{0, 1}, []event.Outcome{"", ""}, 2, 0, 0},
		{"gang with an unanswered member there", true, []int{0, 1}, []event.Outcome{event.NoAnswer, event.Accepted}, 2, 2, 1},
		{"gang with an unanswered member elsewhere", true, []int{0, 1}, []event.Outcome{event.Accepted, event.NoAnswer}, 2, 0, 0},
		{"gang started", true, []int{0, 1}, []event.Outcome{event.Accepted, event.Accepted}, 2, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLauncher(1, 4)
			w, other := l.Worker("w000"), l.Worker("w001")
			w.DataCentre, other.DataCentre = "a", "b"
			other.Listed, other.Recorded, other.Synced, other.ClockMS = true, true, true, 1
			// The second run moves to the other worker.
			runs := w.SortedRuns()
			runs[0].Task.Step.Spec.Gang = c.gang
			delete(w.Runs, runs[1].ID)
			runs[1].Worker, other.Runs[runs[1].ID] = other, runs[1]
			for _, r := range runs {
				r.Worker.NextStart = time.Hour
			}
			for i, n := range c.sent {
				runs[n].Worker.NextStart = 0
				l.Dispatch()
				starts, _ := takeCalls(l)
				if len(starts) != 1 {
					t.Fatalf("%d starts sent, want 1", len(starts))
				}
				if c.outcomes[i] != "" {
					l.HandleAnswer(event.OrderAnswered{Call: starts[0], Outcome: c.outcomes[i], ClockMS: 1})
				}
			}
			l.SetEvacuations([]string{"a"})
			l.WithdrawStarts()
			withdrawn := 0
			for _, e := range l.PendingEffects {
				if e == (event.StartWithdrawn{Reason: event.Evacuated}) {
					withdrawn++
				}
			}
			stops := 0
			for range 4 {
				l.Now.Steady += 100 * time.Millisecond
				l.WithdrawStarts()
				l.RetryUnanswered()
				l.Dispatch()
				a, o := takeCalls(l)
				stops += len(o)
				for _, s := range a {
					if s.Worker == "w000" {
						t.Errorf("a start is sent there after the request: %v", s)
					}
				}
				for _, s := range o {
					l.HandleAnswer(event.OrderAnswered{Call: s, Outcome: event.Accepted, ClockMS: 1})
				}
			}
			left := 0
			for _, r := range runs {
				if r.Worker.Runs[r.ID] == r {
					left++
				}
			}
			if left != c.runs || stops != c.stops || withdrawn != c.withdrawn {
				t.Errorf("%d runs, %d stops and %d starts withdrawn; want %d, %d and %d", left, stops, withdrawn, c.runs, c.stops, c.withdrawn)
			}
			if c.stops > 0 && c.sent[0] == 0 && runs[0].Phase != track.Stopping {
				t.Errorf("the run there is in phase %d", runs[0].Phase)
			}
		})
	}
}

// TestUnansweredStartIsStoppedOnce guards against a withdrawn start whose stop has no answer
// either: the stop is repeated, the task keeps its run until the stop is confirmed, and the
// evacuation isn't announced before.
func TestUnansweredStartIsStoppedOnce(t *testing.T) {
	l := newLauncher(1, 1)
	w := l.Worker("w000")
	w.DataCentre = "a"
	l.Dispatch()
	starts, _ := takeCalls(l)
	l.HandleAnswer(event.OrderAnswered{Call: starts[0], Outcome: event.NoAnswer})
	l.SetEvacuations([]string{"a"})
	for range 3 {
		l.WithdrawStarts()
		l.RetryUnanswered()
		l.Dispatch()
		again, stops := takeCalls(l)
		if len(again) != 0 || len(stops) != 1 || l.announced["a"] {
			t.Fatalf("%d starts and %d stops sent, announced %v", len(again), len(stops), l.announced)
		}
		l.HandleAnswer(event.OrderAnswered{Call: stops[0], Outcome: event.NoAnswer})
		l.Now.Steady += time.Second
	}
	l.RetryUnanswered()
	l.Dispatch()
	_, stops := takeCalls(l)
	l.HandleAnswer(event.OrderAnswered{Call: stops[0], Outcome: event.Accepted, ClockMS: 1})
	if l.WithdrawStarts(); !l.announced["a"] || len(w.Runs) != 1 {
		t.Errorf("announced %v with %d runs once the stop is confirmed", l.announced, len(w.Runs))
	}
}

// TestUnansweredLongRunningStart guards against a long-running task that is stopped although it
// may be serving while its step lacks too many others, and against its start being sent again:
// the worker is asked first. Once the request is withdrawn, the start is repeated.
func TestUnansweredLongRunningStart(t *testing.T) {
	for _, c := range []struct {
		name              string
		asked, withdrawn  bool
		wantStop, wantNew int
	}{
		{"not asked yet", false, false, 0, 0},
		{"not there when asked", true, false, 1, 0},
		{"request withdrawn", false, true, 0, 1},
	} {
		// The second start, which isn't sent, is withdrawn at once.
		l := newLauncher(1, 1)
		w := l.Worker("w000")
		w.DataCentre = "a"
		w.SortedRuns()[0].Task.Step.Spec.LongRunning = true
		l.Dispatch()
		starts, _ := takeCalls(l)
		l.HandleAnswer(event.OrderAnswered{Call: starts[0], Outcome: event.NoAnswer})
		l.Now.Steady += time.Second
		l.RetryUnanswered()
		l.SetEvacuations([]string{"a"})
		news, stops := 0, 0
		for range 4 {
			l.WithdrawStarts()
			l.RetryUnanswered()
			l.Dispatch()
			a, o := takeCalls(l)
			news, stops = news+len(a), stops+len(o)
			l.Now.Steady += time.Second
			if c.asked {
				w.ReportedAt = l.Now.Steady
			}
			if c.withdrawn {
				l.SetEvacuations(nil)
			}
		}
		if news != c.wantNew || stops != c.wantStop {
			t.Errorf("%s: %d starts and %d stops sent, want %d and %d", c.name, news, stops, c.wantNew, c.wantStop)
		}
	}
}

// TestAnnouncementAfterTakeover guards against a log that says that an evacuation is in effect
// while a start of a former decider may be unanswered: on a worker there, or on one of which only
// that decider's row is known.
func TestAnnouncementAfterTakeover(t *testing.T) {
	for _, c := range []struct {
		dataCentre       string
		inherited, known bool
		want             bool
	}{
		{"a", false, false, true},
		{"a", true, false, false},
		{"a", true, true, true},
		{"b", true, false, true},
		{"", true, false, false},
		{"", true, true, true},
	} {
		l := newLauncher(0, 1)
		w := l.Worker("w000")
		w.DataCentre, w.Inherited, w.Synced = c.dataCentre, c.inherited, c.known
		l.SetEvacuations([]string{"a"})
		if l.WithdrawStarts(); l.announced["a"] != c.want {
			t.Errorf("%+v: announced %v", c, l.announced["a"])
		}
	}
}
