package demand

import (
	"time"

	"citronbridge/assign"
	"citronbridge/event"
	"citronbridge/track"
	"citronbridge/work"
)

// Reports of jobs that wait although there is room.
const (
	// reportAfter is how long a job waits before it is reported. It is below the 3 s for which
	// the platform allows it.
	reportAfter = 1500 * time.Millisecond
	// reportPause is the shortest time between two reports of the same step, or of the pool.
	reportPause = 5 * time.Second
)

// ReportWaits keeps RoomSince of the waiting steps up to date, and reports those that have
// waited for long. The units and workers are those of the last plan.
func ReportWaits(p *track.Pool, units []*assign.Unit, workers []*assign.Worker) {
	now := p.Now.Steady
	full := map[work.Amounts]bool{}
	for _, u := range units {
		st := stepOf(p, u)
		tasks := 1
		if u.Step.Gang {
			tasks = len(u.Indexes)
		}
		room := 0
		if !allPlaced(p, u) {
			room = roomFor(p, u, 2*tasks, full)
		}
		switch {
		case room < 2*tasks || !u.Step.LongRunning && !st.Job.Idle():
			st.RoomSince, st.ReportedAt = 0, 0
			continue
		case st.RoomSince == 0:
			st.RoomSince = max(now, 1)
		}
		at := st.RoomSince + reportAfter
		if st.ReportedAt > 0 {
			at = st.ReportedAt + reportPause
		}
		if now < at {
			p.PlaceBy(at)
			continue
		}
		st.ReportedAt = now
		p.Emit(event.JobWaits{
			Job: st.Job.Spec.ID, Step: st.Key, Waited: u.Waited, RoomFor: now - st.RoomSince, Tasks: tasks, Room: room, Cause: assign.CauseOf(u, workers),
		})
	}
}

// stepOf returns the step of a unit.
func stepOf(p *track.Pool, u *assign.Unit) *track.Step {
	id := u.TaskID(u.Indexes[0])
	return p.Jobs[id.Job].Step(id.Occurrence, id.Step)
}

// roomFor returns for how many tasks of a unit the workers have room, counted up to enough.
// Workers that are paused count, reservations and preferences don't. Demands for which no
// worker has room are recorded in full.
func roomFor(p *track.Pool, u *assign.Unit, enough int, full map[work.Amounts]bool) int {
	d := u.Step.CapacityDemand()
	if full[d] {
		return 0
	}
	n, anyFits := 0, false
	for _, w := range p.WorkersByID {
		free := w.Capacity.Minus(w.Used)
		if !d.Fits(free) {
			continue
		}
		if c := p.ClosedBy(w); c != "" && c != track.Paused || !w.Recorded {
			continue
		}
		anyFits = true
		if u.Fits(&assign.Worker{Labels: w.Labels, Total: w.Capacity, NoBestEffort: !w.PaceLevel.AdmitsBestEffort()}) {
			n += u.Fitting(w.ID, free, enough-n)
		}
		if n >= enough {
			return n
		}
	}
	full[d] = !anyFits
	return n
}

// ReportPool reports the state of the pool if a job has waited for long with nothing running. It
// returns when to call it again.
func ReportPool(p *track.Pool, startsLeft int) time.Duration {
	now := p.Now.Steady
	r := event.PoolState{StartsLeft: startsLeft, NoStarts: p.Limits.NoStarts || p.Limits.NoOrders, ProofAge: now - p.OwnedAt, Partitions: len(p.LoadedPartitions), Inheriting: p.Inheriting, Closed: map[string]int{}}
	for _, j := range p.JobsByArrival {
		if at, ok := waitingSince(j); ok && now-at >= reportAfter {
			r.Jobs++
			r.Longest = max(r.Longest, now-at)
		}
	}
	if r.Jobs == 0 {
		return now + reportAfter
	}
	for _, w := range p.WorkersByID {
		if !w.Listed {
			continue
		}
		r.Workers++
		r.Total += w.Capacity.Accelerators
		r.Free += max(w.Capacity.Accelerators-w.Used.Accelerators, 0)
		if c := p.ClosedBy(w); c != "" {
			r.Closed[c]++
		}
	}
	p.Emit(r)
	return now + reportPause
}

// waitingSince returns since when a job has a step that is ready, if nothing of the job runs.
func waitingSince(j *track.Job) (time.Duration, bool) {
	if j.Record.State.Final() {
		return 0, false
	}
	for _, st := range j.Steps {
		if st.Ready && st.TasksLeft > 0 {
			at := st.ReadyAt
			for _, t := range st.Tasks {
				at = max(at, t.WaitingSince)
			}
			return at, j.Idle()
		}
	}
	return 0, false
}
