package state

import (
	"slices"
	"strings"

	"citronbridge/jobs"
)

// Spot is a target with what holds room there.
type Spot struct {
	Target
	// Free is what no task holds, and may be held for a reclaim.
	Free jobs.Room
	// Ending is what stopping jobs will give back.
	Ending jobs.Room
	// Claimed is what guarantees stand on.
	Claimed jobs.Room
	// Backing is Claimed for each guarantee, Charged what its jobs hold of it.
	Backing map[string]jobs.Room
	Charged map[string]jobs.Room
	// Fixed is what borrowers hold that can't be stopped.
	Fixed jobs.Room
	// Loss is what stopping the borrowers here would lose.
	Loss int
	// Unused is what guarantees stand on and don't use.
	Unused jobs.Room
	// Jobs holds the running jobs with a task here.
	Jobs []*Job
	// Tasks counts the tasks here.
	Tasks int
	// Shadowed says that a blocked request will start here.
	Shadowed bool
}

// FixedBeyond returns what can't be stopped here, but for the tasks of one
// guarantee. Tasks of guarantees that are backed here stand on their own.
func (p *Spot) FixedBeyond(id string) jobs.Room {
	r := p.Fixed
	for g, c := range p.Charged {
		if g == id {
			continue
		}
		if _, backed := p.Backing[g]; !backed {
			r = r.Plus(c)
		}
	}
	return r
}

// Cell is the state of one decision.
type Cell struct {
	In *Input
	// Places holds the targets in the order of their IDs, At by ID.
	Places []*Spot
	At     map[string]*Spot
	// Guarantees are those of the cell, Backing where they stand, Unbacked those
	// for which there is no room.
	Guarantees []Guarantee
	Backing    Backing
	Unbacked   []string
	// Total is the room of all targets, Usage what is held of it.
	Total jobs.Room
	Usage Usage
	// Stopped holds the jobs that this decision stops.
	Stopped map[jobs.Key]bool
	// ByAccount holds the guarantees of each account.
	ByAccount map[string][]*Guarantee
}

// New counts what runs where.
func New(in *Input) *Cell {
	c := &Cell{In: in, At: make(map[string]*Spot, len(in.Targets)), Stopped: map[jobs.Key]bool{},
		ByAccount: map[string][]*Guarantee{}}
	for _, t := range in.Targets {
		p := &Spot{Target: t, Free: t.Room, Backing: map[string]jobs.Room{}, Charged: map[string]jobs.Room{}}
		c.Places = append(c.Places, p)
		c.At[t.ID] = p
		c.Total = c.Total.Plus(t.Room)
	}
	slices.SortFunc(c.Places, func(x, y *Spot) int { return strings.Compare(x.ID, y.ID) })
	c.Guarantees = guarantees(in)
	for i := range c.Guarantees {
		g := &c.Guarantees[i]
		c.ByAccount[g.Account] = append(c.ByAccount[g.Account], g)
	}
	c.Usage = newUsage()
	for i := range in.Running {
		c.Put(&in.Running[i])
		c.Price(&in.Running[i])
		c.Index(&in.Running[i])
	}
	return c
}

// Put counts a running job.
func (c *Cell) Put(j *Job) {
	r := j.Spec.Task()
	for _, id := range j.Targets {
		p := c.At[id]
		if p == nil {
			continue
		}
		p.Free = p.Free.Minus(r)
		p.Tasks++
		switch {
		case j.Stopping && !j.Stuck:
			p.Ending = p.Ending.Plus(r)
		case j.Guarantee != "" && !j.Stuck:
			p.Charged[j.Guarantee] = p.Charged[j.Guarantee].Plus(r)
		case j.Fixed():
			p.Fixed = p.Fixed.Plus(r)
		}
	}
	c.Usage.Add(j.Spec, j.Guarantee)
}

// Index notes a running job at its targets.
func (c *Cell) Index(j *Job) {
	for _, id := range j.Targets {
		p := c.At[id]
		if p != nil && (len(p.Jobs) == 0 || p.Jobs[len(p.Jobs)-1] != j) {
			p.Jobs = append(p.Jobs, j)
		}
	}
}

// Leave counts anew what guarantees stand on at p and don't use.
func (p *Spot) Leave() {
	p.Unused = jobs.Room{}
	for id, s := range p.Backing {
		p.Unused = p.Unused.Plus(s.Minus(Least(s, p.Charged[id])))
	}
}

// Price adds what stopping a borrower would lose to the targets that it is on.
func (c *Cell) Price(j *Job) {
	if j.Guarantee != "" || j.Stopping {
		return
	}
	for _, id := range j.Targets {
		if p := c.At[id]; p != nil {
			p.Loss += int(c.Loss(j, id)) / max(len(j.Targets), 1)
		}
	}
}

// Start counts a request that starts now.
func (c *Cell) Start(s *jobs.Spec, targets []string, guarantee string) {
	c.Put(&Job{Spec: s, Targets: targets, Guarantee: guarantee})
	if guarantee == "" {
		return
	}
	for _, id := range targets {
		c.At[id].Leave()
	}
}

// Weights of what stopping a job loses.
const (
	// checkpointedLoss and restartedLoss weigh the work of a job that goes on
	// where it stopped, and of one that starts again, in percent.
	checkpointedLoss = 5
	restartedLoss    = 100
)

// Loss returns the accelerator seconds that stopping a job loses, for each
// accelerator that it frees at the target.
func (c *Cell) Loss(j *Job, id string) float64 {
	w := restartedLoss
	if j.Spec.Checkpoints {
		w = checkpointedLoss
	}
	ran := max(c.In.Now.Sub(j.Started).Seconds(), 0) + 1
	here := 0
	for _, t := range j.Targets {
		if t == id {
			here += j.Spec.Shape.Each.Accelerators
		}
	}
	return float64(w) * ran * float64(max(j.Spec.Shape.Accelerators(), 1)) / float64(max(here, 1))
}

// Stop counts a job as ending.
func (c *Cell) Stop(j *Job) {
	c.Stopped[j.Spec.Key()] = true
	for _, id := range j.Targets {
		if p := c.At[id]; p != nil {
			p.Ending = p.Ending.Plus(j.Spec.Task())
		}
	}
}

// Least returns the smaller of r and o in each dimension.
func Least(r, o jobs.Room) jobs.Room {
	return jobs.Room{
		Accelerators: min(r.Accelerators, o.Accelerators),
		Processors:   min(r.Processors, o.Processors),
		Memory:       min(r.Memory, o.Memory),
		Slots:        min(r.Slots, o.Slots),
	}
}

// Unclaimed returns the room at p beyond all guarantees and all that borrowers
// hold.
func (c *Cell) Unclaimed(p *Spot) jobs.Room { return p.Free.Minus(p.Unused) }
