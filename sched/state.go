// Package sched decides for one pool of workers which task runs where. State is a state
// machine that turns events into effects, without clock, lock or I/O.
package sched

import (
	"slices"
	"time"

	"citronbridge/demand"
	"citronbridge/event"
	"citronbridge/maint"
	"citronbridge/orders"
	"citronbridge/track"
	"citronbridge/work"
)

// Intervals and limits of the state machine.
const (
	// placementPause is the shortest time between two placements, to which
	// placementPausePerWorker is added for each worker. They bound the processor time spent
	// on placement.
	placementPause          = 10 * time.Millisecond
	placementPausePerWorker = 50 * time.Microsecond
	// proofPause is the shortest time between two requests for a proof of ownership.
	proofPause = 40 * time.Millisecond
	// workerPause is how long a worker on which runs fail or are slow gets no new tasks.
	workerPause = 6 * time.Second
	// failurePause is how long a worker gets no new tasks after a first failure. It doubles
	// with each further one, at most maxFailureDoublings times and up to workerPause.
	failurePause        = 250 * time.Millisecond
	maxFailureDoublings = 5
	// failureStreakLimit is the number of consecutive jobs that must fail on a worker
	// before it is paused.
	failureStreakLimit = 2
)

// State is the state machine of a decider: all that it knows of its pool, and what it does
// next.
type State struct {
	*orders.Sender
	// earlyCancels says when cancellations of jobs that aren't known yet were received, by
	// job ID.
	earlyCancels map[string]time.Duration
	// prunedAt is when ended jobs and early cancellations were last pruned.
	prunedAt time.Duration
	// nextPlacement is the earliest time of the next placement, nextProof that of the next
	// request for a proof of ownership.
	nextPlacement, nextProof time.Duration
	// startsDeferred reports whether placements were left out because too many starts wait
	// to be sent.
	startsDeferred bool
	// waves holds the maintenance waves, nil before the first.
	waves *maint.Planner
	// nextReport is when the state of the pool is to be reported again if jobs wait.
	nextReport time.Duration
	// nextSpeeds is when the learnt speeds are to be saved again.
	nextSpeeds time.Duration
	// dirty are the jobs whose records must be saved.
	dirty []*track.Job
	// leaving are the jobs that the configuration sends to another pool and that aren't handed
	// over yet, handedOver those that were a short time ago and count as waiting.
	leaving    []*track.Job
	handedOver []handedOver
}

// New returns the state of a decider that has just acquired the pool.
func New(c track.Config, now event.Clock, rules *work.Rules) *State {
	return &State{Sender: orders.New(track.NewPool(c, now, rules)), earlyCancels: map[string]time.Duration{}}
}

// Handle handles an event and returns the effects that it requests.
func (s *State) Handle(now event.Clock, e event.Event) []event.Effect {
	s.Now = now
	s.PendingEffects = nil
	switch e := e.(type) {
	case event.JobAdded:
		s.addJob(e)
	case event.PartitionLoaded:
		s.LoadedPartitions[e.Partition] = true
		s.dropUnknownJobs()
	case event.JobCanceled:
		s.cancel(e.ID)
	case event.WorkerListed:
		s.HandleListed(e.Worker)
	case event.WorkerInherited:
		s.AddKnownWorker(e)
	case event.SpeedsInherited:
		s.Speeds.Restore(now.Steady, e.Speeds)
	case event.WorkerUnlisted:
		if w := s.Workers[e.ID]; w != nil {
			w.Listed = false
			s.NeedsPlacement = true
		}
	case event.WorkerRecorded:
		s.HandleWorkerRecorded(e)
	case event.RulesChanged:
		s.Rules = e.Rules
		s.findLeaving()
		s.NeedsPlacement = true
	case event.BoundsChanged:
		s.Config.Bounds = e.Bounds
	case event.OwnershipProved:
		s.ownershipProved(e.At)
	case event.RecordSaved:
		s.recordSaved(e)
	case event.JobForeign:
		s.jobForeign(e.ID)
	case event.OrderAnswered:
		s.HandleAnswer(e)
	case event.HoldAnswered:
		s.holdAnswered(e)
	case event.PaceAnswered:
		s.HandlePaceAnswered(e)
	case event.AdviceAnswered:
		s.adviceAnswered(e)
	case event.EvacuationsChanged:
		s.SetEvacuations(e.DataCentres)
	case event.WaveRequested:
		s.waveRequested(e.Wave)
	case event.WaveWithdrawn:
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
	return s.PendingEffects
}

// Flush does what is due after a batch of events: retries, expired leases, placement,
// writes and Holds. It returns the effects and the time at which it must be called again at
// the latest.
func (s *State) Flush(now event.Clock) ([]event.Effect, time.Duration) {
	s.Now = now
	s.PendingEffects = nil
	next := now.Steady + time.Second
	for _, w := range s.WorkersByID {
		next = min(next, s.CheckWorker(w))
	}
	s.WithdrawStarts()
	next = min(next, s.RetryUnanswered(), s.openDue(), s.advanceWaves())
	s.AdvanceDurableEnds()
	s.prune()
	if s.Inheriting && now.Steady-s.AcquiredAt > s.Config.InheritTime && !slices.ContainsFunc(s.WorkersByID, (*track.Worker).MayHaveUnknownRuns) {
		s.Inheriting = false
		s.NeedsPlacement = true
	}
	s.handOver()
	switch {
	case s.PlaceAt > now.Steady:
		next = min(next, s.PlaceAt)
	case s.PlaceAt > 0:
		s.PlaceAt, s.NeedsPlacement = 0, true
	}
	if s.startsDeferred && s.StartBudget() > 0 {
		s.NeedsPlacement = true
	}
	if s.NeedsPlacement && now.Steady >= s.nextPlacement {
		s.NeedsPlacement = false
		s.nextPlacement = now.Steady + placementPause + time.Duration(len(s.WorkersByID))*placementPausePerWorker
		s.place()
	} else if s.NeedsPlacement {
		next = min(next, s.nextPlacement)
	}
	if now.Steady >= s.nextReport {
		s.nextReport = demand.ReportPool(s.Pool, s.StartBudget())
	}
	s.saveDirty()
	s.saveSpeeds()
	next = min(next, s.requestProof(), s.StopIncompleteGangs(), s.Dispatch())
	return s.PendingEffects, min(next, s.SendHolds())
}

// SetLimits sets what the decider holds back while it can't prove that it owns the pool.
func (s *State) SetLimits(l track.Limits) {
	if l != s.Limits {
		s.NeedsPlacement = true
	}
	s.Limits = l
}

// ownershipProved handles a proof of ownership. Workers whose incarnation answered before
// the time of the proof may get tasks: any successor takes over later, and so learns what
// runs there.
func (s *State) ownershipProved(at time.Duration) {
	s.OwnedAt = max(s.OwnedAt, at)
	s.NeedsPlacement = true
}

// requestProof requests a proof of ownership while a synced worker waits for one. It
// returns the steady time by which it is to be called again.
func (s *State) requestProof() time.Duration {
	next := s.Now.Steady + time.Second
	for _, w := range s.WorkersByID {
		if !w.Synced || s.OwnedAt > w.SyncedAt {
			continue
		}
		if s.Now.Steady < s.nextProof {
			return s.nextProof
		}
		s.nextProof = s.Now.Steady + proofPause
		s.Emit(event.ProveOwnership{})
		return s.nextProof
	}
	return next
}
