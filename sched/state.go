// Package sched decides for one pool of workers what runs where. State is a
// state machine: events in, effects out, without clock, lock or I/O.
package sched

import (
	"time"

	"citronbridge/event"
	"citronbridge/maint"
	"citronbridge/orders"
	"citronbridge/track"
	"citronbridge/work"
)

// Times of the state machine.
const (
	// planPause and, for each worker, planPauseEach bound the processor time spent
	// on placement.
	planPause     = 10 * time.Millisecond
	planPauseEach = 50 * time.Microsecond
	// provePause is kept between two requests for a proof of ownership.
	provePause = 40 * time.Millisecond
	// badPause is how long a worker that fails what it starts gets none.
	badPause = 6 * time.Second
	// badStreak is how many jobs in a row must fail on a worker.
	badStreak = 2
)

// State is all that a decider knows of its pool, and what it does next.
type State struct {
	*orders.Sender
	// cancels says when cancelled jobs that aren't known were heard of.
	cancels map[string]time.Duration
	// prunedAt is when what is remembered of jobs was last shortened.
	prunedAt time.Duration
	// planAt is the earliest time of the next placement, proveAt that of the
	// next request for a proof of ownership.
	planAt, proveAt time.Duration
	// held says that placements were left out as too many starts are to be sent.
	held bool
	// waves are those of maintenance, nil before the first.
	waves *maint.Planner
	// dirty are the jobs whose records are to be written.
	dirty []*track.Job
}

// New returns the state of a decider that has just taken the pool.
func New(c track.Config, now event.Clock, rules *work.Rules) *State {
	return &State{Sender: orders.New(track.NewPool(c, now, rules)), cancels: map[string]time.Duration{}}
}

// Step takes an event in and returns what is to be done.
func (s *State) Step(now event.Clock, e event.Event) []event.Effect {
	s.Now = now
	s.Out = nil
	switch e := e.(type) {
	case event.JobAdded:
		s.addJob(e)
	case event.PartLoaded:
		s.Parts[e.Part] = true
		s.dropUnknown()
	case event.JobCanceled:
		s.cancel(e.ID)
	case event.WorkerListed:
		s.HandleListed(e.Worker)
	case event.WorkerKnown:
		s.AddKnownWorker(e)
	case event.WorkerUnlisted:
		if w := s.Workers[e.ID]; w != nil {
			w.Listed = false
			s.Changed = true
		}
	case event.WorkerRecorded:
		s.HandleWorkerRecorded(e)
	case event.RulesChanged:
		s.Rules = e.Rules
		s.Changed = true
	case event.BoundsChanged:
		s.Config.Bounds = e.Bounds
	case event.Owned:
		s.proved(e.At)
	case event.RecordSaved:
		s.saved(e)
	case event.Answered:
		s.HandleAnswer(e)
	case event.Reported:
		s.reported(e)
	case event.Paced:
		s.HandlePaced(e)
	case event.Advised:
		s.advised(e)
	case event.WaveAsked:
		s.waveAsked(e.Wave)
	case event.WaveDropped:
		if s.waves != nil {
			s.waves.RemoveWave(e.Wave)
		}
	case event.MachinesListed:
		s.machinesListed(e)
	case event.ProgressRead:
		s.waves.HandleProgress(e.Wave, e.Progress, e.Version, now.Steady, e.Err)
	case event.MaintenanceAnswered:
		s.maintenanceAnswered(e)
	case event.Tick:
	}
	return s.Out
}

// Flush does what is due after a batch of events: retries, leases that ran
// out, placement, writes, holds. It returns the effects and the time at which
// it wants to be called again.
func (s *State) Flush(now event.Clock) ([]event.Effect, time.Duration) {
	s.Now = now
	s.Out = nil
	next := now.Steady + time.Second
	for _, w := range s.Sorted {
		next = min(next, s.CheckWorker(w))
	}
	next = min(next, s.RetryUnanswered(), s.due(), s.lead())
	s.AdvanceDurableEnds()
	s.prune()
	if s.Inheriting && now.Steady-s.Taken > s.Config.Inherit {
		s.Inheriting = false
		s.Changed = true
	}
	switch {
	case s.PlaceAt > now.Steady:
		next = min(next, s.PlaceAt)
	case s.PlaceAt > 0:
		s.PlaceAt, s.Changed = 0, true
	}
	if s.held && s.StartBudget() > 0 {
		s.Changed = true
	}
	if s.Changed && now.Steady >= s.planAt {
		s.Changed = false
		s.planAt = now.Steady + planPause + time.Duration(len(s.Sorted))*planPauseEach
		s.place()
	} else if s.Changed {
		next = min(next, s.planAt)
	}
	s.save()
	next = min(next, s.prove(), s.StopIncompleteGangs(), s.Dispatch())
	return s.Out, min(next, s.SendHolds())
}

// Limit sets what the decider holds back.
func (s *State) Limit(l track.Limits) {
	if l != s.Limits {
		s.Changed = true
	}
	s.Limits = l
}

// proved takes in a proof of ownership. A worker's life that was first seen
// before it may be used: a successor takes in what runs there.
func (s *State) proved(at time.Duration) {
	s.OwnedAt = max(s.OwnedAt, at)
	s.Changed = true
}

// prove asks for a proof while a worker's life waits for one, and returns when
// to look again.
func (s *State) prove() time.Duration {
	next := s.Now.Steady + time.Second
	for _, w := range s.Sorted {
		if !w.Synced || s.OwnedAt > w.SyncedAt {
			continue
		}
		if s.Now.Steady < s.proveAt {
			return s.proveAt
		}
		s.proveAt = s.Now.Steady + provePause
		s.Do(event.Prove{})
		return s.proveAt
	}
	return next
}
