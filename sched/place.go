package sched

import (
	"time"

	"citronbridge/assign"
	"citronbridge/pacing"
	"citronbridge/work"
)

// place chooses workers for what waits, and sends the orders.
func (s *State) place() {
	if s.limits.NoStarts || s.limits.NoOrders || s.rules == nil {
		return
	}
	units := s.units()
	if len(units) == 0 {
		return
	}
	s.cover(units)
	byKey := map[string]*run{}
	workers := s.assignable(byKey)
	p := assign.Decide(s.now.Steady, workers, units)
	for _, r := range p.Stops {
		if o := byKey[r.Key]; o != nil {
			s.note(o.task.step.job, o.w, o, "stopped for more urgent work")
			s.stop(o)
		}
	}
	s.start(p.Starts)
	s.ask(units, workers)
}

// assignable converts the workers for placement.
func (s *State) assignable(byKey map[string]*run) []*assign.Worker {
	l := make([]*assign.Worker, 0, len(s.names))
	for _, id := range s.names {
		w := s.pool[id]
		a := &assign.Worker{
			ID: id, Rack: w.Rack, Labels: w.Labels, Total: w.Capacity, Free: w.Capacity.Minus(w.used), Closed: s.closed(w) || !w.recorded,
			NoBestEffort: !w.level.Admits(),
		}
		if !a.Closed || len(w.runs) > 0 {
			l = append(l, a)
		}
		for _, r := range s.runsOf(w) {
			b := s.runOf(r)
			byKey[b.Key] = r
			a.Runs = append(a.Runs, b)
			if r.phase == stopping {
				a.Coming = a.Coming.Plus(r.demand)
			}
		}
	}
	return l
}

// units returns the tasks that may start now.
func (s *State) units() []*assign.Unit {
	var l []*assign.Unit
	for _, j := range s.order {
		if j.rec.State.Final() {
			continue
		}
		q := s.rules.Queues[j.spec.Queue]
		if q != nil {
			j.queue = q
		}
		if j.queue == nil {
			continue
		}
		for _, st := range j.steps {
			if u := s.unit(st); u != nil {
				l = append(l, u)
			}
		}
	}
	return l
}

// unit returns the waiting tasks of a step, or nil.
func (s *State) unit(st *step) *assign.Unit {
	if !st.open || st.left == 0 {
		return nil
	}
	u := &assign.Unit{
		Key: st.key, Step: st.spec, Priority: st.job.queue.Priority, Rank: s.rank(st), Preempts: st.job.queue.Priority == 0,
		Avoid: st.avoid, Waited: s.now.Steady - st.ready, Patience: st.spec.Estimate,
	}
	if st.spec.AntiAffinity > 0 {
		u.OnWorker = map[string]int{}
	}
	for _, t := range st.tasks {
		switch {
		case t.done:
		case t.run != nil:
			if st.spec.Gang {
				return nil
			}
			if u.OnWorker != nil {
				u.OnWorker[t.run.w.id]++
			}
			if st.spec.SameRack {
				u.Rack = t.run.w.Rack
			}
		case s.maybeRunning(t):
			if st.spec.Gang {
				return nil
			}
		default:
			u.Indexes = append(u.Indexes, t.index)
			u.Starved = u.Starved || s.starved(t)
		}
	}
	if len(u.Indexes) == 0 {
		return nil
	}
	if st.job.queue.Advice {
		u.Only = s.allowed(st)
	}
	return u
}

// starvedAfter is how long a long-running task waits behind the claims of
// others; the platform wants it back after 6 s where there is room.
const starvedAfter = 4 * time.Second

// starved reports whether a waiting long-running task has been away for long,
// and makes sure that placement looks again once it has.
func (s *State) starved(t *task) bool {
	if !t.step.spec.LongRunning {
		return false
	}
	at := t.waits + starvedAfter
	if s.now.Steady < at {
		s.placeBy(at)
		return false
	}
	return true
}

// rank orders the steps of one priority by when their job should be done.
func (s *State) rank(st *step) time.Duration {
	j := st.job
	at := j.spec.Accepted
	if j.spec.Times > 0 {
		at = j.spec.Due(st.k)
	}
	return time.Duration(at)*time.Millisecond + time.Duration(j.queue.Stretch*float64(j.spec.Chain())) + j.queue.Slack
}

// start carries out placements.
func (s *State) start(l []assign.Placement) {
	gangs, touched := map[string]int{}, map[*job]int64{}
	for _, p := range l {
		id := p.Unit.Task(p.Index)
		j := s.jobs[id.Job]
		st := j.step(id.Occurrence, id.Step)
		t := st.tasks[p.Index]
		n := s.nextRun(t.last)
		saved := t.saved
		if st.spec.Gang {
			saved = st.saved
			if gangs[st.key] == 0 {
				gangs[st.key] = s.nextRun(st.last)
			}
			n = gangs[st.key]
			st.last = n
		}
		w := s.pool[p.Worker]
		r := &run{id: t.id(), n: n, task: t, w: w, demand: st.spec.Counted(), saved: saved, since: s.now.Steady, pace: pacing.Full}
		t.run, t.last, t.inherited = r, n, false
		w.runs[r.id] = r
		w.used = w.used.Plus(r.demand)
		if j.queue.Advice {
			r.ticket, _ = s.advice.Ticket(st.key, w.lifeOf(), s.now.Steady)
		}
		s.note(j, w, r, "task placed")
		// The order is sent once the record says where the task may be.
		j.rec.State, j.rec.Pool = work.Running, s.c.Pool
		j.rec.Place(st.k, st.i, t.index, w.id)
		if touched[j] == 0 {
			s.touch(j)
			touched[j] = j.seq
		}
		r.seq = touched[j]
	}
}

// nextRun returns the run number behind the last one known.
func (s *State) nextRun(last int) int {
	return max(last, int(s.c.Epoch-1)*runsPerEpoch) + 1
}
