package sched

import (
	"time"

	"citronbridge/advice"
	"citronbridge/assign"
	"citronbridge/event"
)

// askPeriod is how often a step that waits is looked at.
const askPeriod = 200 * time.Millisecond

// lifeOf names the worker's present life.
func (w *worker) lifeOf() advice.Life { return advice.Life{Worker: w.id, N: w.life} }

// allowed returns the workers for which there is a ticket for a step.
func (s *State) allowed(st *step) map[string]bool {
	m := map[string]bool{}
	for _, id := range s.names {
		if _, ok := s.advice.Ticket(st.key, s.pool[id].lifeOf(), s.now.Steady); ok {
			m[id] = true
		}
	}
	return m
}

// ask asks for advice on the first unit that still waits for want of tickets.
func (s *State) ask(units []*assign.Unit, workers []*assign.Worker) {
	var steps []string
	for _, u := range units {
		if u.Only != nil {
			steps = append(steps, u.Key)
		}
	}
	s.advice.Keep(steps)
	for _, u := range units {
		if u.Only == nil || len(u.Indexes) == 0 || s.placed(u) {
			continue
		}
		// Tickets run out, and a call may be rejected.
		s.placeBy(s.now.Steady + askPeriod)
		c, ok := s.advice.Ask(u.Key, len(u.Indexes), s.candidates(u, workers), s.now.Steady)
		if ok {
			s.do(event.Advise{Call: c})
			return
		}
	}
}

// placed reports whether all tasks of a unit have just been placed.
func (s *State) placed(u *assign.Unit) bool {
	j, t := s.find(u.Task(u.Indexes[0]))
	if j == nil || t == nil {
		return true
	}
	for _, i := range u.Indexes {
		if t.step.tasks[i].run == nil {
			return false
		}
	}
	return true
}

// candidates returns the lives of workers that could run a unit's tasks, those
// with room first.
func (s *State) candidates(u *assign.Unit, workers []*assign.Worker) []advice.Life {
	var now, later []advice.Life
	for _, w := range workers {
		l := s.pool[w.ID].lifeOf()
		switch {
		case !u.Fits(w):
		case u.Step.Counted().Fits(w.Free):
			now = append(now, l)
		default:
			later = append(later, l)
		}
	}
	return append(now, later...)
}

// advised takes in what the advice service said.
func (s *State) advised(e event.Advised) {
	if e.Err != nil {
		s.advice.Failed(s.now.Steady)
		s.changed = true
		return
	}
	s.advice.Answered(e.Call, e.Tickets, e.Sent, e.Valid)
	s.changed = true
}
