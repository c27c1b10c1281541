// Package launch carries out at the workers what was decided: it sends starts and
// stops under fences, as many at a time as the host carries, keeps gangs whole,
// and takes the answers in.
package launch

import (
	"slices"
	"time"

	"citronbridge/event"
	"citronbridge/track"
)

// Times of orders.
const (
	// RetryPause is kept between two tries of one order.
	RetryPause = 250 * time.Millisecond
	// sickPause is how long a worker gets no new tasks after it refused one.
	sickPause = time.Second
)

// Launcher sends a pool's starts and stops, and bounds those that are under way.
// An order that waits here costs nothing and times out nowhere; orders beyond what
// the host's processor carries would all time out together, and be sent again.
type Launcher struct {
	*track.Pool
	// stops and starts are the runs about which an order is due, in the order
	// in which it was decided.
	stops, starts []*track.Run
	// unanswered are the runs about which an order had no answer that settles it:
	// it is sent again after a pause.
	unanswered []*track.Run
	// gangs are the steps whose members are being started.
	gangs []*track.Step
	// flying counts the orders that are sent and neither answered nor timed out.
	flying int
}

// New returns a Launcher for a pool.
func New(p *track.Pool) *Launcher { return &Launcher{Pool: p} }

// Bounds of the orders under way: a core carries ordersPerCore of them within a
// quarter of their time-out, where one takes some 0.4 ms of it.
const (
	ordersPerCore = 200
	minWindow     = 32
	maxWindow     = 256
)

// WindowOf returns how many orders a host with so many cores has under way.
func WindowOf(cores float64) int {
	return min(max(int(cores*ordersPerCore), minWindow), maxWindow)
}

// defaultWindow bounds the orders under way where the host's size isn't known.
const defaultWindow = 64

// maxDoublings bounds the pause between starts at a worker that answers none.
const maxDoublings = 3

// window returns how many orders may be under way.
func (s *Launcher) window() int {
	if s.Config.Window > 0 {
		return s.Config.Window
	}
	return defaultWindow
}

// queue makes an order about a run due. A start that was due is dropped once
// the run is to be stopped.
func (s *Launcher) queue(r *track.Run) {
	if r.Phase == track.Stopping {
		s.stops = append(s.stops, r)
	} else {
		s.starts = append(s.starts, r)
	}
	r.Queued = true
}

// Dispatch sends the orders that are due, as far as they may be under way:
// stops first, as others wait for their room. It returns when to look again.
func (s *Launcher) Dispatch() time.Duration {
	next := s.Now.Steady + time.Second
	if s.Limits.NoOrders {
		return next
	}
	s.stops = s.drain(s.stops, func(r *track.Run) bool {
		if r.Phase != track.Stopping {
			r.Queued = false
			return true
		}
		return s.sendStop(r)
	})
	if s.Limits.NoStarts {
		return next
	}
	s.starts = s.drain(s.starts, func(r *track.Run) bool {
		switch {
		case r.Phase == track.Stopping:
			// It is among the stops, or was.
			return true
		case r.Phase != track.Starting, !r.AwaitingAnswer:
			r.Queued = false
			return true
		case r.Worker.UnansweredCalls > 0 && r.StartsSent == 0:
			// It may wait for long, and nothing was sent: it starts elsewhere.
			r.Queued = false
			s.Log(r.Task.Step.Job, r.Worker, r, "start given up: worker doesn't answer")
			s.Release(r, event.Stopped, "")
			return true
		}
		if at := r.Worker.NextStart; at > s.Now.Steady {
			next = min(next, at)
		}
		return s.sendStart(r)
	})
	if len(s.stops) > 0 && s.flying < s.window() {
		return s.Now.Steady
	}
	return next
}

// drain sends orders of a queue and returns those that must wait.
func (s *Launcher) drain(l []*track.Run, send func(*track.Run) bool) []*track.Run {
	if len(l) == 0 {
		return l
	}
	var rest []*track.Run
	for _, r := range l {
		if r.Worker.Runs[r.ID] != r {
			r.Queued = false
			continue
		}
		if !send(r) {
			rest = append(rest, r)
		}
	}
	return rest
}

// sendStart sends a start, unless it must wait. A worker gets one start at a
// time, and none before it is known what runs there.
func (s *Launcher) sendStart(r *track.Run) bool {
	w := r.Worker
	known := w.ClockMS != 0 && w.Recorded && w.Synced && s.OwnedAt > w.SyncedAt && w.UnansweredCalls == 0
	if !known || w.StartInFlight || s.Now.Steady < w.NextStart || s.flying >= s.window() {
		return false
	}
	if r.Task.Step.Spec.Gang && r.StartsSent == 0 {
		s.Opens(r.Task.Step)
	}
	s.flying++
	w.StartInFlight = true
	r.Queued, r.InFlight, r.SentAt = false, true, s.Now.Steady
	r.StartsSent++
	c := s.Call(w)
	c.Task, c.Run = r.ID, r.N
	s.Emit(event.Start{Call: c, Spec: r.Task.Step.Job.Spec.Spec, Checkpoint: r.Checkpoint, DeadlineMS: s.ExtendLease(w), Ticket: r.Ticket})
	return true
}

// sendStop sends a stop, unless it must wait.
func (s *Launcher) sendStop(r *track.Run) bool {
	if s.flying >= s.window() {
		return false
	}
	s.flying++
	r.Queued, r.InFlight, r.SentAt = false, true, s.Now.Steady
	c := s.Call(r.Worker)
	c.Task, c.Run, c.Stop = r.ID, r.N, true
	s.Emit(event.Stop{Call: c})
	return true
}

// settle notes that an order isn't under way any more. The worker is nil if it
// was forgotten.
func (s *Launcher) settle(w *track.Worker, e event.OrderAnswered) {
	s.flying--
	if w == nil {
		return
	}
	if r := w.Runs[e.Call.Task]; r != nil && r.N == e.Call.Run {
		r.InFlight = false
	}
	if e.Call.Stop || w.Incarnation != e.Call.Incarnation {
		return
	}
	w.StartInFlight = false
	if e.Outcome != event.NoAnswer && e.Outcome != event.NotSent {
		w.UnansweredStarts = 0
		return
	}
	w.NextStart = s.Now.Steady + RetryPause<<min(w.UnansweredStarts, maxDoublings)
	w.UnansweredStarts++
}

// Again makes orders that had no answer due again after a pause, and returns
// when to look again.
func (s *Launcher) Again() time.Duration {
	next := s.Now.Steady + time.Second
	if s.Limits.NoOrders {
		return next
	}
	s.unanswered = slices.DeleteFunc(s.unanswered, func(r *track.Run) bool {
		if r.Worker.Runs[r.ID] != r || !r.AwaitingAnswer || r.Queued || r.InFlight {
			return true
		}
		at, due := s.again(r)
		next = min(next, at)
		return due
	})
	return next
}

// again makes an order due again if its pause is over, and returns when to look
// again if it isn't. A worker that doesn't answer is asked by Holds alone: each
// start would make its lease longer.
func (s *Launcher) again(r *track.Run) (time.Duration, bool) {
	w, now := r.Worker, s.Now.Steady
	at := r.SentAt + RetryPause
	if r.Phase == track.Stopping && w.UnansweredCalls > 0 {
		at = r.SentAt + 4*RetryPause
	}
	switch {
	case now < at:
		return at, false
	case r.Phase != track.Stopping && w.UnansweredCalls > 0:
		return now + RetryPause, false
	case r.Phase == track.Stopping && overspent(r):
		return now + RetryPause, false
	}
	s.queue(r)
	return now, true
}

// overspent reports whether the stop of a long-running task would find more of its
// step away than may be: others went after it was first ordered. Without an answer
// the task may still be at work.
func overspent(r *track.Run) bool {
	return r.LongRunning() && !r.Task.Step.Spec.Gang && !r.Task.Step.Job.Record.State.Final() && !r.Worker.Draining && r.Task.Step.StopBudget() < 0
}

// backlog is how many windows of starts are decided ahead.
const backlog = 2

// Room returns how many more starts may be decided: those that can't be sent
// soon are decided anew once they can, by what is known then.
func (s *Launcher) Room() int {
	n := backlog * s.window()
	for _, w := range s.WorkersByID {
		for _, r := range w.Runs {
			if r.Phase == track.Recording || r.Phase == track.Starting && r.StartsSent == 0 {
				n--
			}
		}
	}
	return n
}
