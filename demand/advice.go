package demand

import (
	"slices"
	"time"

	"citronbridge/advice"
	"citronbridge/assign"
	"citronbridge/event"
	"citronbridge/track"
)

// advicePeriod is how often a step that waits for tickets is placed again.
const advicePeriod = 200 * time.Millisecond

// workersWithTicket returns the IDs of the workers for which there is a valid ticket for a
// step.
func workersWithTicket(p *track.Pool, st *track.Step) map[string]bool {
	m := map[string]bool{}
	for _, w := range p.WorkersByID {
		if _, ok := p.Advice.Ticket(st.Key, w.IncarnationID(), p.Now.Steady); ok {
			m[w.ID] = true
		}
	}
	return m
}

// AskAdvice requests advice on the first unit that still waits for lack of tickets. Units whose
// jobs are overdue come first, as the tickets of the others may be renewed all the time.
func AskAdvice(p *track.Pool, units []*assign.Unit, workers []*assign.Worker) {
	var steps []string
	for _, u := range units {
		if u.AllowedWorkers != nil {
			steps = append(steps, u.Key)
		}
	}
	p.Advice.Retain(steps)
	var overdue, others []*assign.Unit
	for _, u := range units {
		if u.Overdue {
			overdue = append(overdue, u)
		} else {
			others = append(others, u)
		}
	}
	for _, u := range slices.Concat(overdue, others) {
		if u.AllowedWorkers == nil || len(u.Indexes) == 0 || allPlaced(p, u) {
			continue
		}
		// Tickets expire and a call may be rejected, so placement must run again.
		p.PlaceBy(p.Now.Steady + advicePeriod)
		c, ok := p.Advice.NextCall(u.Key, len(u.Indexes), candidates(p, u, workers), p.Now.Steady)
		if ok {
			p.Emit(event.Advise{Call: c})
			return
		}
	}
}

// allPlaced reports whether all tasks of a unit have just been placed.
func allPlaced(p *track.Pool, u *assign.Unit) bool {
	j, t := p.FindTask(u.TaskID(u.Indexes[0]))
	if j == nil || t == nil {
		return true
	}
	for _, i := range u.Indexes {
		if t.Step.Tasks[i].Run == nil {
			return false
		}
	}
	return true
}

// candidates returns the workers, by incarnation, that could run a unit's tasks. Those with
// free room come first.
func candidates(p *track.Pool, u *assign.Unit, workers []*assign.Worker) []advice.Incarnation {
	var now, later []advice.Incarnation
	for _, w := range workers {
		l := p.Workers[w.ID].IncarnationID()
		switch {
		case !u.Fits(w):
		case u.Step.CapacityDemand().Fits(w.Free) && !w.Paused:
			now = append(now, l)
		default:
			later = append(later, l)
		}
	}
	return append(now, later...)
}
