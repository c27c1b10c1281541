package place

import (
	"slices"
	"strings"

	"citronbridge/jobs"
)

// spot is a target with what holds room there.
type spot struct {
	Target
	// free is what no task holds, and may be held for a reclaim.
	free jobs.Room
	// ending is what stopping jobs will give back.
	ending jobs.Room
	// claimed is what guarantees stand on.
	claimed jobs.Room
	// seats is claimed for each guarantee, charged what its jobs hold of it.
	seats   map[string]jobs.Room
	charged map[string]jobs.Room
	// fixed is what borrowers hold that can't be stopped.
	fixed jobs.Room
	// loss is what stopping the borrowers here would lose.
	loss int
	// tasks counts the tasks here.
	tasks int
	// shadowed says that a blocked request will start here.
	shadowed bool
}

// fixedBeyond returns what can't be stopped here, but for the tasks of one
// guarantee. Tasks of guarantees that are seated here stand on their seats.
func (p *spot) fixedBeyond(id string) jobs.Room {
	r := p.fixed
	for g, c := range p.charged {
		if g == id {
			continue
		}
		if _, seated := p.seats[g]; !seated {
			r = r.Plus(c)
		}
	}
	return r
}

// board is the state of one decision.
type board struct {
	in         *Input
	places     []*spot
	at         map[string]*spot
	guarantees []guarantee
	seats      Seats
	unseated   []string
	total      jobs.Room
	usage      usage
	stopped    map[jobs.Key]bool
	shadow     *shadow
}

// newBoard counts what runs where.
func newBoard(in *Input) *board {
	b := &board{in: in, at: make(map[string]*spot, len(in.Targets)), stopped: map[jobs.Key]bool{}}
	for _, t := range in.Targets {
		p := &spot{Target: t, free: t.Room, seats: map[string]jobs.Room{}, charged: map[string]jobs.Room{}}
		b.places = append(b.places, p)
		b.at[t.ID] = p
		b.total = b.total.Plus(t.Room)
	}
	slices.SortFunc(b.places, func(x, y *spot) int { return strings.Compare(x.ID, y.ID) })
	b.guarantees = guarantees(in)
	b.usage = newUsage()
	for i := range in.Running {
		b.put(&in.Running[i])
		b.price(&in.Running[i])
	}
	return b
}

// put counts a running job.
func (b *board) put(j *Job) {
	r := j.Spec.Task()
	for _, id := range j.Targets {
		p := b.at[id]
		if p == nil {
			continue
		}
		p.free = p.free.Minus(r)
		p.tasks++
		switch {
		case j.Stopping && !j.Stuck:
			p.ending = p.ending.Plus(r)
		case j.Guarantee != "" && !j.Stuck:
			p.charged[j.Guarantee] = p.charged[j.Guarantee].Plus(r)
		case j.fixed():
			p.fixed = p.fixed.Plus(r)
		}
	}
	b.usage.add(j.Spec, j.Guarantee)
}

// price adds what stopping a borrower would lose to the targets that it is on.
func (b *board) price(j *Job) {
	if j.Guarantee != "" || j.Stopping {
		return
	}
	for _, id := range j.Targets {
		if p := b.at[id]; p != nil {
			p.loss += int(b.loss(j, id)) / max(len(j.Targets), 1)
		}
	}
}

// start counts a request that starts now.
func (b *board) start(s *jobs.Spec, targets []string, guarantee string) {
	b.put(&Job{Spec: s, Targets: targets, Guarantee: guarantee})
}
