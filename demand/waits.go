package demand

import (
	"time"

	"citronbridge/assign"
	"citronbridge/event"
	"citronbridge/track"
)

// Times after which a job with nothing running that has room twice isn't kept from it for the
// sake of others or of a better place. They answer a full pool in which reservations,
// preferred racks and failures together keep room idle, also across takeovers. The platform
// allows 3 s in all, with what the start itself takes.
const (
	overdueAfter         = 2200 * time.Millisecond
	overdueAfterTakeover = 200 * time.Millisecond
	// roomGap is how long the room may be missing in between and still count as there.
	roomGap = 400 * time.Millisecond
)

// replanPause is the longest time between two placements while a task waits. It bounds the wait
// if no event brings about a placement.
const replanPause = time.Second

// overdueWait returns how long a step is kept waiting despite free capacity for it twice.
func overdueWait(st *track.Step) time.Duration {
	if st.Job.TakenOver && st.ReadyAt <= st.Job.AddedAt {
		return overdueAfterTakeover
	}
	return overdueAfter
}

// overdue reports whether nothing of a step's job has run for too long although there is
// room for the step twice.
func overdue(p *track.Pool, st *track.Step) bool {
	return st.RoomSince > 0 && roomLasts(p.Now.Steady, st) && p.Now.Steady-st.RoomSince >= overdueWait(st)
}

// TrackWaits keeps RoomSince of the waiting steps up to date, requests a placement for when
// they are overdue, and reports those that do. The units and workers are those of the last plan.
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
		if !updateRoom(now, st, room >= 2*tasks) || !u.Step.LongRunning && !st.Job.Idle() {
			st.RoomSince, st.ReportedAt = 0, 0
			continue
		}
		if at := st.RoomSince + overdueWait(st); now < at {
			p.PlaceBy(at)
		}
		reportWait(p, st, event.JobWaits{Waited: u.Waited, Tasks: tasks, Room: room}, func() string { return assign.CauseOf(now, u, workers) })
	}
}

// updateRoom records whether there is room for a step twice now, and reports whether there has been
// since RoomSince.
func updateRoom(now time.Duration, st *track.Step, room bool) bool {
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
