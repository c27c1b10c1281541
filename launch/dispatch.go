// Package launch starts and stops runs at the workers as the scheduler decided:
// it sends fenced orders, no more at a time than the host can process, handles
// the answers, and stops gangs that can't be started completely.
package launch

import (
	"slices"
	"time"

	"citronbridge/event"
	"citronbridge/track"
)

// Pauses between orders.
const (
	// RetryPause is the pause between two attempts to send the same order.
	RetryPause = 250 * time.Millisecond
	// refusalPause is how long a worker gets no new tasks after it refused a start.
	refusalPause = time.Second
)

// Launcher sends a pool's starts and stops and limits how many of them are in
// flight. An order that waits here costs nothing and can't time out. Without the
// limit, more orders than the host's processor can handle would all time out
// together and be sent again.
type Launcher struct {
	*track.Pool
	// stops and starts are the runs with an order that is queued, first in first
	// out.
	stops, starts []*track.Run
	// unanswered are the runs with an order whose outcome is unknown. The order is
	// sent again after a pause.
	unanswered []*track.Run
	// startingGangs are the gang steps whose members are being started.
	startingGangs []*track.Step
	// inFlight counts the orders that were sent and are neither answered nor timed
	// out.
	inFlight int
	// announced are the evacuated data centres whose evacuation was logged as being in effect.
	announced map[string]bool
}

// New returns a Launcher for a pool.
func New(p *track.Pool) *Launcher { return &Launcher{Pool: p} }

// Limits of the number of orders in flight. One order takes some 0.4 ms of a core,
// so a core handles ordersPerCore orders within a quarter of their timeout.
const (
	ordersPerCore = 200
	minWindow     = 32
	maxWindow     = 256
)

// WindowForCores returns how many orders a host with a number of processor cores
// may have in flight.
func WindowForCores(cores float64) int {
	return min(max(int(cores*ordersPerCore), minWindow), maxWindow)
}

// defaultWindow is the limit of orders in flight if the host's size isn't known.
const defaultWindow = 64

// maxDoublings limits the exponential backoff of starts at a worker that answers
// none: the pause is RetryPause, doubled at most so often.
const maxDoublings = 3

// window returns how many orders may be in flight.
func (s *Launcher) window() int {
	if s.Config.Window > 0 {
		return s.Config.Window
	}
	return defaultWindow
}

// enqueue queues the order that a run's phase calls for. Dispatch drops a queued
// start if the run is to be stopped by then.
func (s *Launcher) enqueue(r *track.Run) {
	if r.Phase == track.Stopping {
		s.stops = append(s.stops, r)
	} else {
		s.starts = append(s.starts, r)
	}
	r.Queued = true
}

// Dispatch sends queued orders as far as the limit of orders in flight allows.
// Stops go first, as other tasks wait for the resources that they free. It returns
// the steady time by which it is to be called again.
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
			// The stop was queued separately, and r.Queued refers to it.
			return true
		case r.Phase != track.Starting, !r.AwaitingAnswer:
			r.Queued = false
			return true
		case r.Worker.UnansweredCalls > 0 && r.StartsSent == 0:
			// The worker may stay unresponsive for long. As no start was sent, the
			// task can safely be placed on another worker.
			r.Queued = false
			s.Log(r.Task.Step.Job, r.Worker, r, "start cancelled: worker doesn't answer; placing the task again")
			s.Release(r, event.Stopped, "")
			return true
		case r.Worker.Draining:
			s.cancelStart(r)
			return true
		}
		if s.InEvacuation(r.Worker) {
			// WithdrawStarts has left the run until its worker is asked.
			return false
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

// cancelStart gives up a start at a worker that has begun to drain since it was decided.
// If the start was sent and its answer lost, a stop makes sure that the worker doesn't
// carry it out later.
func (s *Launcher) cancelStart(r *track.Run) {
	r.Queued = false
	s.Log(r.Task.Step.Job, r.Worker, r, "start cancelled: worker is draining; placing the task again")
	s.Emit(event.StartWithdrawn{Reason: event.Draining})
	s.Stop(r)
}

// sendQueued calls send for each run of a queue that is still at its worker, and
// returns the runs for which send returned false, as their orders must wait.
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

// sendStart sends a start and reports whether it did. A worker gets one start at a
// time, and none before it has reported what runs there and a later proof of
// ownership has arrived.
func (s *Launcher) sendStart(r *track.Run) bool {
	w := r.Worker
	known := w.ClockMS != 0 && w.Recorded && w.Synced && s.OwnedAt > w.SyncedAt && w.UnansweredCalls == 0
	if !known || w.StartInFlight || s.Now.Steady < w.NextStart || s.inFlight >= s.window() {
		return false
	}
	if r.Task.Step.Spec.Gang && r.StartsSent == 0 {
		s.TrackGangStart(r.Task.Step)
	}
	s.inFlight++
	w.StartInFlight = true
	r.Queued, r.InFlight, r.SentAt = false, true, s.Now.Steady
	r.StartsSent++
	c := s.Call(w)
	c.Task, c.Run = r.ID, r.N
	s.Emit(event.Start{Call: c, Spec: r.Task.Step.Job.Spec.Spec, Checkpoint: r.Checkpoint, DeadlineMS: s.ExtendLease(w), Ticket: r.Ticket, DataCentre: w.DataCentre})
	return true
}

// sendStop sends a stop and reports whether it did. Only the limit of orders in
// flight makes a stop wait.
func (s *Launcher) sendStop(r *track.Run) bool {
	if s.inFlight >= s.window() {
		return false
	}
	s.inFlight++
	r.Queued, r.InFlight, r.SentAt = false, true, s.Now.Steady
	c := s.Call(r.Worker)
	c.Task, c.Run, c.Stop = r.ID, r.N, true
	s.Emit(event.Stop{Call: c})
	return true
}

// finishCall records that an order is no longer in flight. If a start had no answer,
// the worker's next start is delayed by a growing pause. The worker is nil if it was
// removed meanwhile.
func (s *Launcher) finishCall(w *track.Worker, e event.OrderAnswered) {
	s.inFlight--
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

// RetryUnanswered queues orders that had no answer again once their pause is over.
// It returns the steady time by which it is to be called again.
func (s *Launcher) RetryUnanswered() time.Duration {
	next := s.Now.Steady + time.Second
	if s.Limits.NoOrders {
		return next
	}
	s.unanswered = slices.DeleteFunc(s.unanswered, func(r *track.Run) bool {
		if r.Worker.Runs[r.ID] != r || !r.AwaitingAnswer || r.Queued || r.InFlight {
			return true
		}
		at, due := s.retry(r)
		next = min(next, at)
		return due
	})
	return next
}

// retry queues an order again and reports true if its pause is over. Otherwise it
// returns the time of the next check. An unresponsive worker gets no repeated
// starts, only Holds, as each start would extend its lease.
func (s *Launcher) retry(r *track.Run) (time.Duration, bool) {
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
	case r.Phase != track.Stopping && w.Draining:
		s.cancelStart(r)
		return now, true
	case r.Phase != track.Stopping && s.InEvacuation(w), r.Phase == track.Stopping && exceedsMayMiss(r):
		return now + RetryPause, false
	}
	s.enqueue(r)
	return now, true
}

// exceedsMayMiss reports whether more tasks of a long-running step are missing than
// its MayMiss allows, so that a repeated stop of a run must wait. That happens if
// other tasks of the step went away after the stop was first sent: as the stop had
// no answer, its task may still be running.
func exceedsMayMiss(r *track.Run) bool {
	return r.LongRunning() && !r.Task.Step.Spec.Gang && !r.Task.Step.Job.Record.State.Final() && !r.Worker.Draining && r.Task.Step.StopBudget() < 0
}

// startBacklog limits the starts that are decided and not sent yet, as a multiple of
// the limit of orders in flight.
const startBacklog = 2

// StartBudget returns how many more starts may be decided now, less than zero if there
// are too many. A start that couldn't be sent soon is better decided later, when more is
// known.
func (s *Launcher) StartBudget() int {
	n := startBacklog * s.window()
	for _, w := range s.WorkersByID {
		for _, r := range w.Runs {
			if r.Phase == track.Recording || r.Phase == track.Starting && r.StartsSent == 0 {
				n--
			}
		}
	}
	return n
}
