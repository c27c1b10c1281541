package sched

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"citronbridge/event"
	"citronbridge/maint"
	"citronbridge/track"
)

// waveRequested handles a request for a maintenance wave.
func (s *State) waveRequested(w maint.Wave) {
	if s.waves == nil {
		s.waves = maint.New(maint.Config{Pool: s.Config.Pool, Epoch: s.Config.Epoch, TakeoverPause: max(s.Config.TakeoverPause, s.Config.FormerOrders), MaintenanceTime: s.Config.MaintenanceTime}, s.AcquiredAt)
	}
	s.waves.SetWave(w, s.Now.Steady)
	s.Log(nil, nil, nil, "maintenance wave "+strconv.FormatInt(w.Number, 10)+" requested")
}

// machinesListed handles the list of machines. It marks the workers whose machines have
// another worker by now.
func (s *State) machinesListed(e event.MachinesListed) {
	for _, id := range s.waves.HandleMachines(e.Machines, e.Sent, s.Now.Steady, e.Err) {
		if w := s.Workers[id]; w != nil && !w.Terminated {
			w.ReplacedAt = max(s.Now.Steady, 1)
		}
	}
}

// maintenanceAnswered handles the outcome of an order for the maintenance of a machine.
func (s *State) maintenanceAnswered(e event.MaintenanceAnswered) {
	s.Log(nil, s.Workers[s.waves.WorkerOf(e.Machine)], nil, "order for maintenance of machine "+e.Machine+" answered: "+string(e.Outcome))
	s.waves.HandleOrderOutcome(e.Wave, e.Machine, e.Outcome, s.Now.Steady)
}

// advanceWaves does what is due for the maintenance waves. It returns the steady time by
// which it is to be called again.
func (s *State) advanceWaves() time.Duration {
	idle := s.Now.Steady + time.Second
	if s.waves == nil || s.Limits.NoOrders {
		return idle
	}
	actions, next := s.waves.Next(s, s.Now.Steady)
	for _, a := range actions {
		s.Emit(event.Maintenance{Action: a})
	}
	draining := s.waves.Draining()
	for _, w := range s.WorkersByID {
		if w.ReplacedAt > 0 && w.UnansweredCalls > 0 && !w.Terminated {
			// The worker is unresponsive and its machine has another worker, so its runs
			// have ended.
			s.IncarnationEnded(w)
		}
		if _, l := draining[w.ID]; l != w.Cordoned {
			w.Cordoned, s.NeedsPlacement = l, true
			if l {
				s.Log(nil, w, nil, "draining worker for the maintenance of its machine")
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(draining)) {
		if w := s.Workers[id]; w != nil {
			s.drain(w)
		}
	}
	return min(next, idle)
}

// drain stops the runs on a worker that may be stopped: long-running tasks within the
// budget of their step, and tasks that save checkpoints. The others continue to their end.
func (s *State) drain(w *track.Worker) {
	for _, r := range w.SortedRuns() {
		if r.Task == nil || r.Phase != track.Running {
			continue
		}
		st := r.Task.Step
		if st.Spec.LongRunning && st.StopBudget() <= 0 || !st.Spec.LongRunning && !st.Spec.Checkpoint {
			continue
		}
		s.Log(st.Job, w, r, "stopping run for the maintenance of its worker's machine")
		s.Stop(r)
	}
}

var _ maint.Pool = (*State)(nil)

// unstoppableLoss is the cost of a long-running task that can't be stopped now. It puts its
// worker behind all others.
const unstoppableLoss = 1e9

// Loss implements maint.Pool. It returns false for a worker that isn't listed, whose runs
// aren't known, or that is draining already.
func (s *State) Loss(worker string) (float64, bool) {
	w := s.Workers[worker]
	if w == nil || !w.Listed || !w.Responsive() || w.Draining {
		return 0, false
	}
	loss := 0.0
	for _, r := range w.Runs {
		loss += r.Loss(s.Now.Steady)
		if r.Task != nil && r.Task.Step.Spec.LongRunning && r.Task.Step.StopBudget() <= 0 {
			loss += unstoppableLoss
		}
	}
	return loss, true
}

// neededAfter is how long a long-running task waits before it may use a worker that is to
// be drained. The platform requires such tasks to run again soon where there is room.
const neededAfter = 2 * time.Second

// Needed implements maint.Pool. It reports whether a long-running task that has waited for
// a while fits on the worker.
func (s *State) Needed(worker string) bool {
	w := s.Workers[worker]
	if w == nil || s.InEvacuation(w) {
		return false
	}
	free := w.Capacity.Minus(w.Used)
	for _, j := range s.JobsByArrival {
		for _, st := range j.Steps {
			if !st.Spec.LongRunning || !st.Ready || j.Record.State.Final() || !st.Spec.CapacityDemand().Fits(free) {
				continue
			}
			for _, t := range st.Tasks {
				if t.Run == nil && !t.Done && s.Now.Steady-t.WaitingSince >= neededAfter {
					return true
				}
			}
		}
	}
	return false
}

// Drained implements maint.Pool. Until the drain time-out, it waits for all runs to end.
// After that, it waits only for long-running tasks and runs whose task isn't known: the
// maintenance ends the others.
func (s *State) Drained(worker string) bool {
	w := s.Workers[worker]
	if w == nil || !w.Listed || !w.Responsive() {
		return false
	}
	since, draining := s.waves.Draining()[worker]
	waits := !draining || s.Now.Steady-since < s.waves.DrainTimeout(worker)
	for _, r := range w.Runs {
		if r.Task == nil || r.Task.Step.Spec.LongRunning || waits {
			return false
		}
	}
	return true
}
