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
	// refusalPause is how long a worker gets no new tasks after it refused one.
	refusalPause = time.Second
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
	// startingGangs are the steps whose members are being started.
	startingGangs []*track.Step
	// inFlight counts the orders that are sent and neither answered nor timed out.
	inFlight int
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

// WindowForCores returns how many orders a host with so many cores has under way.
func WindowForCores(cores float64) int {
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

// enqueue makes an order about a run due. A start that was due is dropped once
// the run is to be stopped.
func (s *Launcher) enqueue(r *track.Run) {
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
	s.stops = s.sendQueued(s.stops, func(r *track.Run) bool {
		if r.Phase != track.Stopping {
			r.Queued = false
			return true
		}
		return s.sendStop(r)
	})
	if s.Limits.NoStarts {
		return next
	}
	s.starts = s.sendQueued(s.starts, func(r *track.Run) bool {
		switch {
		case r.Phase == track.Stopping:
			// It is among the stops, or was.
			return true
		case r.Phase != track.Starting, !r.Waiting:
			r.Queued = false
			return true
		case r.Worker.Silent > 0 && r.Tries == 0:
			// It may wait for long, and nothing was sent: it starts elsewhere.
			r.Queued = false
			s.Note(r.Task.Step.Job, r.Worker, r, "start given up: worker doesn't answer")
			s.Release(r, event.Stopped, "")
			return true
		}
		if at := r.Worker.NextStart; at > s.Now.Steady {
			next = min(next, at)
		}
		return s.sendStart(r)
	})
	if len(s.stops) > 0 && s.inFlight < s.window() {
		return s.Now.Steady
	}
	return next
}

// sendQueued sends orders of a queue and returns those that must wait.
func (s *Launcher) sendQueued(l []*track.Run, send func(*track.Run) bool) []*track.Run {
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
	known := w.ClockMS != 0 && w.Recorded && w.Synced && s.OwnedAt > w.SyncedAt && w.Silent == 0
	if !known || w.Starting || s.Now.Steady < w.NextStart || s.inFlight >= s.window() {
		return false
	}
	if r.Task.Step.Spec.Gang && r.Tries == 0 {
		s.TrackGangStart(r.Task.Step)
	}
	s.inFlight++
	w.Starting = true
	r.Queued, r.Flying, r.Sent = false, true, s.Now.Steady
	r.Tries++
	c := s.Call(w)
	c.Task, c.Run = r.ID, r.N
	s.Do(event.Start{Call: c, Spec: r.Task.Step.Job.Spec.Spec, Saved: r.Saved, DeadlineMS: s.Deadline(w), Ticket: r.Ticket})
	return true
}

// sendStop sends a stop, unless it must wait.
func (s *Launcher) sendStop(r *track.Run) bool {
	if s.inFlight >= s.window() {
		return false
	}
	s.inFlight++
	r.Queued, r.Flying, r.Sent = false, true, s.Now.Steady
	c := s.Call(r.Worker)
	c.Task, c.Run, c.Stop = r.ID, r.N, true
	s.Do(event.Stop{Call: c})
	return true
}

// finishCall notes that an order isn't under way any more. The worker is nil if it
// was forgotten.
func (s *Launcher) finishCall(w *track.Worker, e event.Answered) {
	s.inFlight--
	if w == nil {
		return
	}
	if r := w.Runs[e.Call.Task]; r != nil && r.N == e.Call.Run {
		r.Flying = false
	}
	if e.Call.Stop || w.Life != e.Call.Life {
		return
	}
	w.Starting = false
	if e.Outcome != event.NoAnswer && e.Outcome != event.NotSent {
		w.LostStarts = 0
		return
	}
	w.NextStart = s.Now.Steady + RetryPause<<min(w.LostStarts, maxDoublings)
	w.LostStarts++
}

// RetryUnanswered makes orders that had no answer due again after a pause, and returns
// when to look again.
func (s *Launcher) RetryUnanswered() time.Duration {
	next := s.Now.Steady + time.Second
	if s.Limits.NoOrders {
		return next
	}
	s.unanswered = slices.DeleteFunc(s.unanswered, func(r *track.Run) bool {
		if r.Worker.Runs[r.ID] != r || !r.Waiting || r.Queued || r.Flying {
			return true
		}
		at, due := s.retry(r)
		next = min(next, at)
		return due
	})
	return next
}

// retry makes an order due again if its pause is over, and returns when to look
// again if it isn't. A worker that doesn't answer is asked by Holds alone: each
// start would make its lease longer.
func (s *Launcher) retry(r *track.Run) (time.Duration, bool) {
	w, now := r.Worker, s.Now.Steady
	at := r.Sent + RetryPause
	if r.Phase == track.Stopping && w.Silent > 0 {
		at = r.Sent + 4*RetryPause
	}
	switch {
	case now < at:
		return at, false
	case r.Phase != track.Stopping && w.Silent > 0:
		return now + RetryPause, false
	case r.Phase == track.Stopping && exceedsMayMiss(r):
		return now + RetryPause, false
	}
	s.enqueue(r)
	return now, true
}

// exceedsMayMiss reports whether the stop of a long-running task would find more of its
// step away than may be: others went after it was first ordered. Without an answer
// the task may still be at work.
func exceedsMayMiss(r *track.Run) bool {
	return r.LongRunning() && !r.Task.Step.Spec.Gang && !r.Task.Step.Job.Record.State.Final() && !r.Worker.Draining && r.Task.Step.Spare() < 0
}

// startBacklog is how many windows of starts are decided ahead.
const startBacklog = 2

// StartBudget returns how many more starts may be decided: those that can't be sent
// soon are decided anew once they can, by what is known then.
func (s *Launcher) StartBudget() int {
	n := startBacklog * s.window()
	for _, w := range s.Sorted {
		for _, r := range w.Runs {
			if r.Phase == track.Marking || r.Phase == track.Starting && r.Tries == 0 {
				n--
			}
		}
	}
	return n
}
