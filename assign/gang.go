package assign

import (
	"cmp"
	"slices"

	"citronbridge/work"
)

// placeGang places all tasks of a gang, or none and preempts or reserves for it.
func (p *planner) placeGang(u *Unit) {
	if p.tryFastGang(u) {
		return
	}
	for _, v := range u.waivers() {
		u.waives = v
		done := p.tryGang(u)
		u.waives = waiveNothing
		if done {
			return
		}
	}
	p.preemptOrReserve(u)
}

// tryGang places all tasks of a gang, or makes room for them on a single rack, and reports
// whether it did.
func (p *planner) tryGang(u *Unit) bool {
	racks := p.byLocality(u, p.racks)
	if p.placeGangOnRack(u, racks) {
		return true
	}
	span := spanRacks
	if u.Step.SameRack {
		span = p.spanOf(u)
	}
	if span == spanUnlessPreempting && u.MayPreempt && p.preempt(u, false) {
		return true
	}
	return span != singleRack && p.placeGangOn(u, slices.Concat(racks...))
}

// placeGangOnRack places a gang on the first of the racks that has room for all of it, and reports
// whether one has.
func (p *planner) placeGangOnRack(u *Unit, racks [][]*Worker) bool {
	for _, rack := range p.racksWithRoom(u, racks) {
		if p.placeGangOn(u, rack) {
			return true
		}
	}
	return false
}

// rackSpan says whether a gang that is slow on several racks may be placed on them.
type rackSpan int

const (
	// singleRack: the gang waits for a single rack.
	singleRack rackSpan = iota
	// spanUnlessPreempting: the room of a single rack is free only if runs that last are
	// stopped for the gang.
	spanUnlessPreempting
	// spanRacks: no single rack could hold the gang even when empty, or it has waited
	// long enough.
	spanRacks
)

// spanOf returns whether a gang may be placed on several racks now.
func (p *planner) spanOf(u *Unit) rackSpan {
	if u.Starved || u.waives >= waivePlace || u.SingleRackWait > 0 && u.Waited >= u.SingleRackWait {
		return spanRacks
	}
	span := spanRacks
	for _, r := range p.racks {
		total, attainable := 0, 0
		for _, w := range r {
			if u.eligible(w) {
				total += u.countFitting(w, w.Total)
				attainable += u.countFitting(w, w.attainable())
			}
		}
		switch {
		case attainable >= len(u.Indexes):
			return singleRack
		case total >= len(u.Indexes):
			span = spanUnlessPreempting
		}
	}
	return span
}

// attainable returns the capacity of w that is free once all runs have ended that end by
// themselves.
func (w *Worker) attainable() work.Amounts {
	c := w.Total
	for _, r := range w.Runs {
		if r.Lasts {
			c = c.Minus(r.Demand)
		}
	}
	return c
}

// racksWithRoom returns the racks with room for a whole gang, those with the least room
// first unless the unit prefers a rack. Of racks with equal room, those whose room is on
// fewer cold workers come first.
func (p *planner) racksWithRoom(u *Unit, racks [][]*Worker) [][]*Worker {
	type scored struct {
		group []*Worker
		free  int
		cold  int
	}
	var l []scored
	for _, r := range racks {
		free, cold := 0, 0
		for _, w := range r {
			if !u.eligible(w) {
				continue
			}
			n := u.countFitting(w, p.available(u, w))
			free += n
			if w.Cold && n > 0 {
				cold++
			}
		}
		if free >= len(u.Indexes) {
			l = append(l, scored{r, free, cold})
		}
	}
	if u.Step.Affinity == "" && u.Rack == "" {
		slices.SortStableFunc(l, func(a, b scored) int { return cmp.Or(a.free-b.free, a.cold-b.cold) })
	}
	g := make([][]*Worker, 0, len(l))
	for _, s := range l {
		g = append(g, s.group)
	}
	return g
}

// placeGangOn places the gang on a group of workers if all its tasks fit, and
// reports whether it did.
func (p *planner) placeGangOn(u *Unit, group []*Worker) bool {
	l := p.workersWithRoom(u, group)
	counts := make([]int, len(l))
	left := len(u.Indexes)
	for i, w := range l {
		counts[i] = min(u.countFitting(w, p.available(u, w)), left)
		left -= counts[i]
	}
	if left > 0 {
		return false
	}
	i := 0
	for k, w := range l {
		p.place(u, i, counts[k], w)
		i += counts[k]
	}
	return true
}
