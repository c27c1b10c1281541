package assign

import "time"

// Causes for which a unit waits although workers have room for it.
const (
	CauseClosed   = "the workers with room take no tasks for now"
	CauseAdvice   = "no worker with room has a ticket"
	CauseWorkers  = "runs have failed or were slow on the workers with room"
	CauseReserved = "the room is reserved for other work"
	CauseRack     = "the room is not on the preferred rack"
	CauseRacks    = "the room is not on a single rack"
	CauseOrder    = "other work is placed first"
)

// CauseOf returns why a unit that the plan made just now left waiting got no room, given the
// workers of that plan. The workers have room for the unit.
func CauseOf(now time.Duration, u *Unit, workers []*Worker) string {
	need := 1
	if u.Step.Gang {
		need = len(u.Indexes)
	}
	p := &planner{now: now, workers: workers}
	count := func(room func(w *Worker) int) int {
		n := 0
		for _, w := range workers {
			if u.eligible(w) {
				n += room(w)
			}
		}
		return n
	}
	switch {
	case u.AllowedWorkers != nil && len(u.AllowedWorkers) == 0:
		return CauseAdvice
	case openRoom(u, workers) < need:
		return CauseClosed
	case count(func(w *Worker) int { return u.countFitting(w, w.Free) }) < need:
		return CauseWorkers
	case count(func(w *Worker) int { return u.countFitting(w, p.available(u, w)) }) < need:
		return CauseReserved
	case u.Waited < u.LocalityWait && (u.Step.Affinity != "" || u.Rack != ""):
		return CauseRack
	case u.Step.Gang && u.Step.SameRack:
		return CauseRacks
	}
	return CauseOrder
}

// openRoom returns for how many tasks of the unit there is room on workers that aren't closed.
func openRoom(u *Unit, workers []*Worker) int {
	n := 0
	for _, w := range workers {
		if u.Fits(w) {
			n += u.Fitting(w.ID, w.Free, len(u.Indexes))
		}
	}
	return n
}
