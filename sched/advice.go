package sched

import (
	"slices"
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
func (s *State) ask(units []*assign.Unit) {
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
		// Tickets run out, and a call may be turned away.
		s.askAt = s.now.Steady + askPeriod
		c, ok := s.advice.Ask(u.Key, len(u.Indexes), s.candidates(u), s.now.Steady)
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
func (s *State) candidates(u *assign.Unit) []advice.Life {
	type candidate struct {
		l    advice.Life
		free bool
	}
	var l []candidate
	d := u.Step.Counted()
	for _, id := range s.names {
		w := s.pool[id]
		if s.closed(w) || !w.recorded || !d.Fits(w.Capacity) || u.Step.Requires != "" && !slices.Contains(w.Labels, u.Step.Requires) {
			continue
		}
		l = append(l, candidate{w.lifeOf(), d.Fits(w.Capacity.Minus(w.used))})
	}
	slices.SortStableFunc(l, func(a, b candidate) int {
		switch {
		case a.free == b.free:
			return 0
		case a.free:
			return -1
		}
		return 1
	})
	r := make([]advice.Life, 0, len(l))
	for _, c := range l {
		r = append(r, c.l)
	}
	return r
}

// advised takes in what the advice service said.
func (s *State) advised(e event.Advised) {
	if !e.OK {
		s.advice.Failed(s.now.Steady)
		s.changed = true
		return
	}
	s.advice.Answered(e.Call, e.Tickets, e.Sent, e.Valid)
	s.changed = true
}
