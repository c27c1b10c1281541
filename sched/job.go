package sched

import (
	"maps"
	"time"

	"citronbridge/event"
	"citronbridge/track"
	"citronbridge/work"
)

// addJob adds a job, unless it has ended or is known already.
func (s *State) addJob(e event.JobAdded) {
	if s.Jobs[e.Job.ID] != nil || s.EndedAt[e.Job.ID] > 0 || e.Record.State.Final() {
		return
	}
	j := &track.Job{Spec: e.Job, Record: e.Record, AddedAt: s.Now.Steady, TakenOver: e.Inherited || e.Job.Moves > 0}
	j.Inherited = e.Inherited && e.Record.Pool != ""
	j.Record.Started = j.Record.HasStarted()
	s.Jobs[j.Spec.ID] = j
	s.JobsByArrival = append(s.JobsByArrival, j)
	if j.Spec.Times == 0 {
		j.OpenOccurrence(0, s.Now.Steady)
		j.NextOccurrence = 1
	} else {
		s.openDue()
	}
	s.NeedsPlacement = true
	s.addLeaving(j)
	received := event.JobReceived{Job: j.Spec}
	if s.Rules != nil {
		received.Guaranteed = s.Guaranteed(j.Spec.Tenant)
	}
	if j.Spec.Moves == 0 {
		s.Emit(received)
	}
	s.reconcileJob(j)
	if s.earlyCancels[j.Spec.ID] > 0 {
		delete(s.earlyCancels, j.Spec.ID)
		s.finish(j, work.Canceled)
		return
	}
	if j.Finished() && !j.Record.State.Final() {
		s.finish(j, work.Succeeded)
	}
}

// cancel ends a job whose cancellation is recorded.
func (s *State) cancel(id string) {
	j := s.Jobs[id]
	switch {
	case j == nil:
		// The feeds of jobs and of cancellations aren't ordered among each other, so the
		// cancellation is kept for when the job is added.
		s.earlyCancels[id] = max(s.Now.Steady, 1)
	case j.HandingOver:
		// The decider of its new pool learns of the cancellation too, and may be it already.
	case !j.Record.State.Final():
		s.finish(j, work.Canceled)
	}
}

// finish ends a job: no further task of it starts, and running ones are stopped.
func (s *State) finish(j *track.Job, state work.State) {
	j.Record.State, j.Record.Ended = state, s.Now.Wall
	s.markDirty(j)
	s.Log(j, nil, nil, "job ends as "+string(state))
	s.Emit(event.JobEnded{Queue: j.Spec.Queue, State: state, Took: time.Duration(max(s.Now.Wall-j.Spec.Accepted, 0)) * time.Millisecond})
	s.NeedsPlacement = true
	if state == work.Succeeded {
		return
	}
	for _, st := range j.Steps {
		for _, t := range st.Tasks {
			if t.Run != nil {
				s.Stop(t.Run)
			}
		}
	}
}

// markDirty requests that the job's record is saved.
func (s *State) markDirty(j *track.Job) {
	j.Seq++
	s.dirty = append(s.dirty, j)
}

// saveDirty requests the writes of changed records. Each job has at most one write in
// flight.
func (s *State) saveDirty() {
	rest := s.dirty[:0]
	for _, j := range s.dirty {
		switch {
		case j.WritingSeq >= j.Seq, j.HandingOver, s.Jobs[j.Spec.ID] != j:
		case j.WritingSeq > j.SavedSeq:
			rest = append(rest, j)
		default:
			b, err := j.Record.Encode()
			if err != nil {
				panic("encode job record: " + err.Error())
			}
			j.WritingSeq = j.Seq
			s.Emit(event.SaveRecord{ID: j.Spec.ID, Seq: j.Seq, Record: b, Final: j.Record.State.Final()})
		}
	}
	s.dirty = rest
}

// recordSaved handles the report that a record is durable. It orders the starts that waited
// for that, and drops a job that has ended.
func (s *State) recordSaved(e event.RecordSaved) {
	j := s.Jobs[e.ID]
	if j == nil {
		return
	}
	j.SavedSeq = max(j.SavedSeq, e.Seq)
	if j.SavedSeq < j.WritingSeq {
		return
	}
	if j.Record.State.Final() {
		if j.SavedSeq >= j.Seq && !j.HasRuns() {
			s.RemoveJob(j)
		}
		return
	}
	for _, st := range j.Steps {
		for _, t := range st.Tasks {
			if t.Run != nil && t.Run.Phase == track.Recording && t.Run.Seq <= j.SavedSeq {
				s.Start(t.Run)
			}
		}
	}
	j.MarkReadySteps(s.Now.Steady)
	s.NeedsPlacement = true
}

// openDue opens the occurrences that are due, as many as a job may have open. It returns
// the steady time by which it is to be called again.
func (s *State) openDue() time.Duration {
	next := s.Now.Steady + time.Second
	for _, j := range s.JobsByArrival {
		if j.Spec.Times == 0 || j.Record.State.Final() {
			continue
		}
		j.Compact()
		for j.NextOccurrence < j.Spec.Times && j.MayOpen(&s.Config) {
			if d := j.Spec.Due(j.NextOccurrence) - s.Now.Wall; d > 0 {
				next = min(next, s.Now.Steady+time.Duration(d)*time.Millisecond)
				break
			}
			j.OpenOccurrence(j.NextOccurrence, s.Now.Steady)
			j.NextOccurrence++
			s.NeedsPlacement = true
		}
	}
	return next
}

// retention is how long ended jobs and early cancellations are remembered. It is far longer
// than a feed lags.
const retention = 10 * time.Minute

// prune drops ended jobs and early cancellations that are older than the retention.
func (s *State) prune() {
	if s.Now.Steady-s.prunedAt < retention/10 {
		return
	}
	s.prunedAt = s.Now.Steady
	for _, m := range []map[string]time.Duration{s.EndedAt, s.earlyCancels} {
		maps.DeleteFunc(m, func(_ string, at time.Duration) bool { return s.Now.Steady-at > retention })
	}
}
