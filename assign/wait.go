package assign

import (
	"slices"
	"time"
)

// preemptOrReserve makes room for a unit that can't start now: it stops runs of
// lower priority if the unit may preempt them, or else reserves the room that is
// expected to be free first. It reports whether to try further tasks of the same
// step.
func (p *planner) preemptOrReserve(u *Unit) bool {
	if u.MayPreempt && p.preempt(u, true) {
		return true
	}
	if p.reservations >= maxReservations {
		return false
	}
	p.reservations++
	return p.reserve(u)
}

// option is a way to make room for a unit: on workers[i] for counts[i] tasks, by
// stopping the runs in stops, which loses that many core-seconds of work.
type option struct {
	workers []*Worker
	counts  []int
	stops   []*Run
	loss    float64
}

// preempt makes room where the least work is lost, and reports whether it did.
// Borrowed runs of the unit's own priority are stopped only if stopping runs of
// lower priority isn't enough. If acrossRacks is not set, the unit gets room on a single rack.
func (p *planner) preempt(u *Unit, acrossRacks bool) bool {
	best := p.cheapestOption(u, false, acrossRacks)
	if best == nil && u.Reclaims {
		best = p.cheapestOption(u, true, acrossRacks)
	}
	if best == nil || !u.Reclaims && u.Step.Estimate > 0 && best.loss > maxLossRatio*u.estimatedWork() {
		return false
	}
	d := u.Step.CapacityDemand()
	overdue := slices.ContainsFunc(best.workers, func(w *Worker) bool { return w.StopsOverdue })
	for i, w := range best.workers {
		for range best.counts[i] {
			w.reserved = w.reserved.Plus(d)
			if !overdue {
				w.claimed = w.claimed.Plus(d)
			}
		}
	}
	for _, r := range best.stops {
		p.stop(r)
	}
	return true
}

// maxLossRatio limits the work that may be lost by preemption for a unit that does
// not reclaim a guarantee, as a multiple of the unit's own estimated work.
// docs/MEASURES.md shows its effect.
const maxLossRatio = 2

// estimatedWork returns the work of the unit's waiting tasks by the step's
// estimate, in core-seconds.
func (u *Unit) estimatedWork() float64 {
	return float64(len(u.Indexes)) * u.Step.Demand.Cores() * u.Step.Estimate.Seconds()
}

// cheapestOption returns the option with the least loss for the unit, or nil if
// there is none. If borrowed is set, borrowed runs may be stopped too. If acrossRacks is
// set, a unit that may span racks gets room on several if no single rack can hold it.
func (p *planner) cheapestOption(u *Unit, borrowed, acrossRacks bool) *option {
	groups := [][]*Worker{p.workers}
	if u.Step.SameRack || u.Step.Affinity != "" {
		groups = p.byLocality(u, p.racks)
	}
	var best *option
	for _, g := range groups {
		if o := p.optionOn(u, g, borrowed); o != nil && (best == nil || o.loss < best.loss) {
			best = o
		}
	}
	if best == nil && acrossRacks && len(groups) > 1 && (!u.Step.SameRack || p.spanOf(u) != singleRack) {
		best = p.optionOn(u, p.workers, borrowed)
	}
	return best
}

// stop adds a run and the rest of its gang to the runs that the plan stops, and
// counts their demand as being freed.
func (p *planner) stop(r *Run) {
	if r.NoPreempt {
		return
	}
	r.NoPreempt = true
	r.worker.Freeing = r.worker.Freeing.Plus(r.Demand)
	p.plan.Stops = append(p.plan.Stops, r)
	if r.Group == "" {
		return
	}
	for _, w := range p.workers {
		for _, o := range w.Runs {
			if o.Group == r.Group {
				p.stop(o)
			}
		}
	}
}

// optionOn returns an option on a group of workers, chosen greedily by loss per
// task, or nil if the group could not hold the unit.
func (p *planner) optionOn(u *Unit, group []*Worker, borrowed bool) *option {
	type offer struct {
		w     *Worker
		tasks int
		stops []*Run
		loss  float64
	}
	var l []offer
	for _, w := range group {
		if !u.eligible(w) {
			continue
		}
		free := w.Free.Plus(w.Freeing).Minus(w.reserved)
		fitting := u.countFitting(w, free)
		if fitting > 0 {
			l = append(l, offer{w, fitting, nil, 0})
		}
		stops, loss := []*Run(nil), 0.0
		for _, r := range victims(w, u.Priority, borrowed) {
			stops = append(stops, r)
			loss += r.Loss
			free = free.Plus(r.Demand)
			if n := u.countFitting(w, free); n > fitting {
				l = append(l, offer{w, n - fitting, stops, loss})
				fitting, stops, loss = n, nil, 0
			}
			if fitting >= len(u.Indexes) {
				break
			}
		}
	}
	slices.SortStableFunc(l, func(a, b offer) int {
		x, y := a.loss/float64(a.tasks), b.loss/float64(b.tasks)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	o := &option{}
	n := len(u.Indexes)
	for _, f := range l {
		if n == 0 {
			break
		}
		c := min(f.tasks, n)
		n -= c
		o.workers = append(o.workers, f.w)
		o.counts = append(o.counts, c)
		o.stops = append(o.stops, f.stops...)
		o.loss += f.loss
	}
	if n > 0 {
		return nil
	}
	return o
}

// victims returns the runs on w that a unit of the given priority may stop, those
// with the least loss per core first. If borrowed is set, they include borrowed
// runs of the same priority.
func victims(w *Worker, priority int, borrowed bool) []*Run {
	var l []*Run
	for _, r := range w.Runs {
		if !r.NoPreempt && (r.Priority > priority || borrowed && r.Borrowed && r.Priority == priority) {
			l = append(l, r)
		}
	}
	slices.SortStableFunc(l, func(a, b *Run) int {
		x, y := a.Loss/(1+a.Demand.Cores()), b.Loss/(1+b.Demand.Cores())
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return l
}

// reserve reserves room for the unit where it is expected to fit first, and reports
// whether there is such room.
func (p *planner) reserve(u *Unit) bool {
	groups := [][]*Worker{p.workers}
	if u.Step.SameRack || u.Step.Affinity != "" {
		groups = p.byLocality(u, p.racks)
	}
	var best []slot
	for _, g := range groups {
		l := p.earliestSlots(u, g)
		if len(l) == len(u.Indexes) && (best == nil || l[len(l)-1].freeAt < best[len(best)-1].freeAt) {
			best = l
		}
	}
	if best == nil && u.Step.SameRack && p.spanOf(u) != singleRack {
		if l := p.earliestSlots(u, p.workers); len(l) == len(u.Indexes) {
			best = l
		}
	}
	if best == nil {
		return false
	}
	at := best[len(best)-1].freeAt
	for _, s := range best {
		s.worker.reserved = s.worker.reserved.Plus(u.Step.CapacityDemand())
		s.worker.reservedUntil = max(s.worker.reservedUntil, at)
	}
	return true
}

// slot is room for one task on a worker that is expected to be free from freeAt on.
type slot struct {
	worker *Worker
	freeAt time.Duration
}

// earliestSlots returns the slots for the unit's tasks on a group of workers that
// are free first, in order of time, at most one for each task. Runs that last free
// none.
func (p *planner) earliestSlots(u *Unit, group []*Worker) []slot {
	var l []slot
	for _, w := range group {
		if !u.eligible(w) {
			continue
		}
		free := w.Free.Plus(w.Freeing).Minus(w.reserved)
		fitting := u.countFitting(w, free)
		for range fitting {
			l = append(l, slot{w, p.now})
		}
		runs := slices.Clone(w.Runs)
		slices.SortStableFunc(runs, func(a, b *Run) int { return int(min(max(a.EndsAt-b.EndsAt, -1), 1)) })
		for _, r := range runs {
			if fitting >= len(u.Indexes) {
				break
			}
			if r.Lasts {
				continue
			}
			free = free.Plus(r.Demand)
			for n := u.countFitting(w, free); fitting < n; fitting++ {
				l = append(l, slot{w, r.EndsAt})
			}
		}
	}
	slices.SortStableFunc(l, func(a, b slot) int { return int(min(max(a.freeAt-b.freeAt, -1), 1)) })
	return l[:min(len(l), len(u.Indexes))]
}
