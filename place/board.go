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
	// unused is what guarantees stand on and don't use.
	unused jobs.Room
	// jobs holds the running jobs with a task here.
	jobs []*Job
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
	// byAccount holds the guarantees of each account, and claims which shapes
	// fit into what is left of them.
	byAccount map[string][]*guarantee
	claims    map[claimKey]bool
	// lines holds the waiting requests by account.
	lines map[string][]*line
	// scratch is reused by each packing.
	scratch []candidate
}

// newBoard counts what runs where.
func newBoard(in *Input) *board {
	b := &board{in: in, at: make(map[string]*spot, len(in.Targets)), stopped: map[jobs.Key]bool{},
		byAccount: map[string][]*guarantee{}, claims: map[claimKey]bool{}, lines: map[string][]*line{}}
	for _, t := range in.Targets {
		p := &spot{Target: t, free: t.Room, seats: map[string]jobs.Room{}, charged: map[string]jobs.Room{}}
		b.places = append(b.places, p)
		b.at[t.ID] = p
		b.total = b.total.Plus(t.Room)
	}
	slices.SortFunc(b.places, func(x, y *spot) int { return strings.Compare(x.ID, y.ID) })
	b.guarantees = guarantees(in)
	for i := range b.guarantees {
		g := &b.guarantees[i]
		b.byAccount[g.account] = append(b.byAccount[g.account], g)
	}
	b.usage = newUsage()
	for i := range in.Running {
		b.put(&in.Running[i])
		b.price(&in.Running[i])
		b.index(&in.Running[i])
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

// index notes a running job at its targets.
func (b *board) index(j *Job) {
	for _, id := range j.Targets {
		p := b.at[id]
		if p != nil && (len(p.jobs) == 0 || p.jobs[len(p.jobs)-1] != j) {
			p.jobs = append(p.jobs, j)
		}
	}
}

// leave counts anew what guarantees stand on at p and don't use.
func (p *spot) leave() {
	p.unused = jobs.Room{}
	for id, s := range p.seats {
		p.unused = p.unused.Plus(s.Minus(least(s, p.charged[id])))
	}
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
	if guarantee == "" {
		return
	}
	for _, id := range targets {
		b.at[id].leave()
	}
	for k := range b.claims {
		if k.account == s.Account {
			delete(b.claims, k)
		}
	}
}
