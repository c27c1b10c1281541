package demand

import (
	"time"

	"citronbridge/event"
	"citronbridge/track"
)

// Reports of jobs that wait although there is room.
const (
	// reportAfter is how long a job waits before it is reported.
	reportAfter = 1500 * time.Millisecond
	// reportPause is the shortest time between two reports of the same step, or of the pool.
	reportPause = 5 * time.Second
)

// reportWait reports a step that waits despite free capacity, once it has done so for reportAfter and if
// the last report is old enough. It completes the report.
func reportWait(p *track.Pool, st *track.Step, r event.JobWaits, cause func() string) {
	now := p.Now.Steady
	at := st.RoomSince + reportAfter
	if st.ReportedAt > 0 {
		at = st.ReportedAt + reportPause
	}
	if now < at {
		p.PlaceBy(at)
		return
	}
	st.ReportedAt = now
	r.Job, r.Step, r.RoomFor, r.Cause = st.Job.Spec.ID, st.Key, now-st.RoomSince, cause()
	p.Emit(r)
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
			r.Closed[string(c)]++
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
