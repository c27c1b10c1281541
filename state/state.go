package state

import (
	"slices"
	"strings"

	"citronbridge/jobs"
)

// TargetState is a target with what holds room there.
type TargetState struct {
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
	// NonPreemptible is what borrowers hold that can't be stopped.
	NonPreemptible jobs.Room
	// BorrowerLoss is what stopping the borrowers here would lose.
	BorrowerLoss int
	// UnusedBacking is what guarantees stand on and don't use.
	UnusedBacking jobs.Room
	// Jobs holds the running jobs with a task here.
	Jobs []*Job
	// Tasks counts the tasks here.
	Tasks int
	// Reserved says that a blocked request will start here.
	Reserved bool
}

// NonPreemptibleExcept returns what can't be stopped here, but for the tasks of one
// guarantee. Tasks of guarantees that are backed here stand on their own.
func (p *TargetState) NonPreemptibleExcept(id string) jobs.Room {
	r := p.NonPreemptible
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
	// Targets holds the targets in the order of their IDs, At by ID.
	Targets    []*TargetState
	TargetByID map[string]*TargetState
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
	// GuaranteesByAccount holds the guarantees of each account.
	GuaranteesByAccount map[string][]*Guarantee
}

// New counts what runs where.
func New(in *Input) *Cell {
	c := &Cell{In: in, TargetByID: make(map[string]*TargetState, len(in.Targets)), Stopped: map[jobs.Key]bool{},
		GuaranteesByAccount: map[string][]*Guarantee{}}
	for _, t := range in.Targets {
		p := &TargetState{Target: t, Free: t.Room, Backing: map[string]jobs.Room{}, Charged: map[string]jobs.Room{}}
		c.Targets = append(c.Targets, p)
		c.TargetByID[t.ID] = p
		c.Total = c.Total.Plus(t.Room)
	}
	slices.SortFunc(c.Targets, func(x, y *TargetState) int { return strings.Compare(x.ID, y.ID) })
	c.Guarantees = guarantees(in)
	for i := range c.Guarantees {
		g := &c.Guarantees[i]
		c.GuaranteesByAccount[g.Account] = append(c.GuaranteesByAccount[g.Account], g)
	}
	c.Usage = newUsage()
	for i := range in.Running {
		c.AddJob(&in.Running[i])
		c.AddBorrowerLoss(&in.Running[i])
		c.IndexJob(&in.Running[i])
	}
	return c
}

// AddJob counts a running job.
func (c *Cell) AddJob(j *Job) {
	r := j.Spec.TaskRoom()
	for _, id := range j.Targets {
		p := c.TargetByID[id]
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
		case j.NonPreemptible():
			p.NonPreemptible = p.NonPreemptible.Plus(r)
		}
	}
	c.Usage.Add(j.Spec, j.Guarantee)
}

// IndexJob notes a running job at its targets.
func (c *Cell) IndexJob(j *Job) {
	for _, id := range j.Targets {
		p := c.TargetByID[id]
		if p != nil && (len(p.Jobs) == 0 || p.Jobs[len(p.Jobs)-1] != j) {
			p.Jobs = append(p.Jobs, j)
		}
	}
}

// UpdateUnusedBacking counts anew what guarantees stand on at p and don't use.
func (p *TargetState) UpdateUnusedBacking() {
	p.UnusedBacking = jobs.Room{}
	for id, s := range p.Backing {
		p.UnusedBacking = p.UnusedBacking.Plus(s.Minus(Min(s, p.Charged[id])))
	}
}

// AddBorrowerLoss adds what stopping a borrower would lose to the targets that it is on.
func (c *Cell) AddBorrowerLoss(j *Job) {
	if j.Guarantee != "" || j.Stopping {
		return
	}
	for _, id := range j.Targets {
		if p := c.TargetByID[id]; p != nil {
			p.BorrowerLoss += int(c.PreemptionLoss(j, id)) / max(len(j.Targets), 1)
		}
	}
}

// RecordStart counts a request that starts now.
func (c *Cell) RecordStart(s *jobs.Spec, targets []string, guarantee string) {
	c.AddJob(&Job{Spec: s, Targets: targets, Guarantee: guarantee})
	if guarantee == "" {
		return
	}
	for _, id := range targets {
		c.TargetByID[id].UpdateUnusedBacking()
	}
}

// Weights of what stopping a job loses.
const (
	// checkpointedLossPercent and restartedLoss weigh the work of a job that goes on
	// where it stopped, and of one that starts again, in percent.
	checkpointedLossPercent = 5
	restartedLossPercent    = 100
)

// PreemptionLoss returns the accelerator seconds that stopping a job loses, for each
// accelerator that it frees at the target.
func (c *Cell) PreemptionLoss(j *Job, id string) float64 {
	w := restartedLossPercent
	if j.Spec.Checkpoints {
		w = checkpointedLossPercent
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

// RecordStop counts a job as ending.
func (c *Cell) RecordStop(j *Job) {
	c.Stopped[j.Spec.Key()] = true
	for _, id := range j.Targets {
		if p := c.TargetByID[id]; p != nil {
			p.Ending = p.Ending.Plus(j.Spec.TaskRoom())
		}
	}
}

// Min returns the smaller of r and o in each dimension.
func Min(r, o jobs.Room) jobs.Room {
	return jobs.Room{
		Accelerators: min(r.Accelerators, o.Accelerators),
		Processors:   min(r.Processors, o.Processors),
		Memory:       min(r.Memory, o.Memory),
		Slots:        min(r.Slots, o.Slots),
	}
}

// Unclaimed returns the room at p beyond all guarantees and all that borrowers
// hold.
func (c *Cell) Unclaimed(p *TargetState) jobs.Room { return p.Free.Minus(p.UnusedBacking) }
