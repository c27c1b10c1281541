package demand

import (
	"time"

	"citronbridge/assign"
	"citronbridge/event"
	"citronbridge/track"
	"citronbridge/work"
)

// Times after which a job with nothing running that has room twice isn't kept from it for the
// sake of others or of a better place. The platform allows 3 s in all, also across a takeover,
// with what the start itself takes.
const (
	standsStillAfter         = 2200 * time.Millisecond
	standsStillAfterTakeover = 200 * time.Millisecond
	// roomGap is how long the room may be missing in between and still count as there.
	roomGap = 400 * time.Millisecond
)

// Reports of jobs that wait although there is room.
const (
	// reportAfter is how long a job waits before it is reported.
	reportAfter = 1500 * time.Millisecond
	// reportPause is the shortest time between two reports of the same step, or of the pool.
	reportPause = 5 * time.Second
)

// replanPause is the longest time between two placements while a task waits. It bounds the wait
// if no event brings about a placement.
const replanPause = time.Second

// patience returns how long a step is kept waiting beside room for it twice.
func patience(st *track.Step) time.Duration {
	if st.Job.TakenOver && st.ReadyAt <= st.Job.AddedAt {
		return standsStillAfterTakeover
	}
	return standsStillAfter
}

// standsStill reports whether nothing of a step's job has run for too long although there is
// room for the step twice.
func standsStill(p *track.Pool, st *track.Step) bool {
	return st.RoomSince > 0 && roomLasts(p.Now.Steady, st) && p.Now.Steady-st.RoomSince >= patience(st)
}

// TrackWaits keeps RoomSince of the waiting steps up to date, requests a placement for when
// they stand still, and reports those that do. The units and workers are those of the last plan.
func TrackWaits(p *track.Pool, units []*assign.Unit, workers []*assign.Worker) {
	now := p.Now.Steady
	c := newRoomCounter(p)
	for _, u := range units {
		if allPlaced(p, u) {
			continue
		}
		p.PlaceBy(now + replanPause)
		st, tasks := stepOf(p, u), 1
		if u.Step.Gang {
			tasks = len(u.Indexes)
		}
		room := c.room(u, 2*tasks)
		if !hasRoom(now, st, room >= 2*tasks) || !u.Step.LongRunning && !st.Job.Idle() {
			st.RoomSince, st.ReportedAt = 0, 0
			continue
		}
		if at := st.RoomSince + patience(st); now < at {
			p.PlaceBy(at)
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
			Job: st.Job.Spec.ID, Step: st.Key, Waited: u.Waited, RoomFor: now - st.RoomSince, Tasks: tasks, Room: room, Cause: assign.CauseOf(now, u, workers),
		})
	}
}

// hasRoom records whether there is room for a step twice now, and reports whether there has been
// since RoomSince.
func hasRoom(now time.Duration, st *track.Step, room bool) bool {
	if !roomLasts(now, st) {
		st.RoomSince, st.FullSince = 0, 0
	}
	switch {
	case room && st.RoomSince == 0:
		st.RoomSince, st.FullSince = max(now, 1), 0
	case room:
		st.FullSince = 0
	case st.RoomSince == 0:
		return false
	case st.FullSince == 0:
		st.FullSince = max(now, 1)
	}
	return true
}

// roomLasts reports whether a moment without room, if there is one, isn't longer than roomGap.
func roomLasts(now time.Duration, st *track.Step) bool {
	return st.FullSince == 0 || now-st.FullSince < roomGap
}

// stepOf returns the step of a unit.
func stepOf(p *track.Pool, u *assign.Unit) *track.Step {
	id := u.TaskID(u.Indexes[0])
	return p.Jobs[id.Job].Step(id.Occurrence, id.Step)
}

// roomCounter counts for how many tasks of a step the workers have room. Reservations and
// preferences don't matter to it, nor whether a worker takes no tasks for a moment: the wait
// goes on meanwhile.
type roomCounter struct {
	p       *track.Pool
	workers []*assign.Worker
	// counts holds the results for steps that may use any worker with the label, counted up to
	// maxRoom.
	counts map[roomKey]int
}

type roomKey struct {
	demand   work.Amounts
	requires string
	fills    bool
}

// maxRoom is the room beyond which it isn't counted further where the result is kept.
const maxRoom = 512

func newRoomCounter(p *track.Pool) *roomCounter {
	c := &roomCounter{p: p, counts: map[roomKey]int{}}
	for _, w := range p.WorkersByID {
		switch p.ClosedBy(w) {
		case track.Unlisted, track.Replaced, track.Draining, track.Maintenance:
			continue
		}
		c.workers = append(c.workers, &assign.Worker{ID: w.ID, Labels: w.Labels, Total: w.Capacity, Free: w.Capacity.Minus(w.Used), NoBestEffort: !w.PaceLevel.AdmitsBestEffort()})
	}
	return c
}

// room returns for how many tasks of a unit there is room, counted up to enough.
func (c *roomCounter) room(u *assign.Unit, enough int) int {
	if u.AllowedWorkers != nil || u.TasksPerWorker != nil || enough > maxRoom {
		return c.count(u, enough)
	}
	k := roomKey{u.Step.CapacityDemand(), u.Step.Requires, u.Step.Fills}
	n, ok := c.counts[k]
	if !ok {
		n = c.count(u, maxRoom)
		c.counts[k] = n
	}
	return min(n, enough)
}

func (c *roomCounter) count(u *assign.Unit, enough int) int {
	n := 0
	for _, w := range c.workers {
		if n >= enough {
			break
		}
		if f := u.Fitting(w.ID, w.Free, enough-n); f > 0 && u.Fits(w) && !c.denied(u, w) {
			n += f
		}
	}
	return n
}

// denied reports whether the advice service has said that a worker may not run a unit.
func (c *roomCounter) denied(u *assign.Unit, w *assign.Worker) bool {
	return u.AllowedWorkers != nil && c.p.Advice.Denied(u.Key, c.p.Workers[w.ID].IncarnationID())
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
