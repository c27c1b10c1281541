package demand

import (
	"citronbridge/assign"
	"citronbridge/track"
	"citronbridge/work"
)

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
		case track.Unlisted, track.Replaced, track.Draining, track.Maintenance, track.Evacuated:
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
