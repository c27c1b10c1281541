package state

import (
	"slices"
	"strings"

	"citronbridge/jobs"
)

// TargetState is a target with the use of its room.
type TargetState struct {
	Target
	// Free is the room that no task holds and that isn't kept for a request that reclaims it.
	// It is negative while such a request and the borrowers that it stops are both counted.
	Free jobs.Room
	// Ending is the room that becomes free when the stopping jobs have ended.
	Ending jobs.Room
	// Claimed is the room that guarantees claim, whether they use it or not.
	Claimed jobs.Room
	// Backing is the claimed room by guarantee ID, Charged the room that the jobs of each
	// guarantee hold.
	Backing map[string]jobs.Room
	Charged map[string]jobs.Room
	// NonPreemptible is the room of stuck jobs and of borrowers that can't be preempted.
	NonPreemptible jobs.Room
	// BorrowerLoss sums the PreemptionLoss of the borrowers here, each divided by the members
	// of the job.
	BorrowerLoss int
	// UnusedBacking is the part of the claimed room that jobs of the guarantees don't hold.
	UnusedBacking jobs.Room
	// Jobs holds the running jobs with a task here.
	Jobs []*Job
	// Tasks is the number of tasks here.
	Tasks int
	// Reserved says that a blocked request is expected to start here.
	Reserved bool
}

// NonPreemptibleExcept returns the room of jobs that can't be preempted here, leaving out
// those charged to the guarantee with the given ID. Jobs of other guarantees count only if
// their guarantee isn't backed here: otherwise its claim covers them.
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

// Cell is the state of a cell during one decision.
type Cell struct {
	Input *Input
	// Targets holds the targets ordered by ID.
	Targets    []*TargetState
	TargetByID map[string]*TargetState
	// Guarantees are those of the cell. Backing holds the targets that back each, and Unbacked
	// the IDs of those for which there is no room.
	Guarantees []Guarantee
	Backing    Backing
	Unbacked   []string
	// Total is the room of all targets, Usage what jobs hold of it.
	Total jobs.Room
	Usage Usage
	// Stopped holds the jobs that this decision stops.
	Stopped map[jobs.Key]bool
	// GuaranteesByAccount holds the guarantees of each account, in the order of Guarantees.
	GuaranteesByAccount map[string][]*Guarantee
}

// New returns the state of the cell in which the running jobs of the input hold their room.
// FindBacking must be called before the backing is used.
func New(in *Input) *Cell {
	c := &Cell{Input: in, TargetByID: make(map[string]*TargetState, len(in.Targets)), Stopped: map[jobs.Key]bool{},
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

// AddJob subtracts the room of a running job from its targets and adds it to the usage.
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

// IndexJob adds a running job to the Jobs of its targets.
func (c *Cell) IndexJob(j *Job) {
	for _, id := range j.Targets {
		p := c.TargetByID[id]
		if p != nil && (len(p.Jobs) == 0 || p.Jobs[len(p.Jobs)-1] != j) {
			p.Jobs = append(p.Jobs, j)
		}
	}
}

// UpdateUnusedBacking computes UnusedBacking from Backing and Charged.
func (p *TargetState) UpdateUnusedBacking() {
	p.UnusedBacking = jobs.Room{}
	for id, s := range p.Backing {
		p.UnusedBacking = p.UnusedBacking.Plus(s.Minus(Min(s, p.Charged[id])))
	}
}

// AddBorrowerLoss adds the PreemptionLoss of a borrower, divided by its members, to the
// BorrowerLoss of its targets.
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

// RecordStart counts a request as running on the targets.
func (c *Cell) RecordStart(s *jobs.Spec, targets []string, guarantee string) {
	c.AddJob(&Job{Spec: s, Targets: targets, Guarantee: guarantee})
	if guarantee == "" {
		return
	}
	for _, id := range targets {
		c.TargetByID[id].UpdateUnusedBacking()
	}
}

// Weights of the work that is lost when a job is stopped.
const (
	// checkpointedLossPercent is the weight for a job that resumes from its checkpoint,
	// restartedLossPercent that for one that starts again.
	checkpointedLossPercent = 5
	restartedLossPercent    = 100
)

// PreemptionLoss returns the accelerator seconds, times their weight in percent, that stopping a
// job loses for each accelerator that it frees at the target.
func (c *Cell) PreemptionLoss(j *Job, id string) float64 {
	w := restartedLossPercent
	if j.Spec.Checkpoints {
		w = checkpointedLossPercent
	}
	ran := max(c.Input.Now.Sub(j.Started).Seconds(), 0) + 1
	here := 0
	for _, t := range j.Targets {
		if t == id {
			here += j.Spec.Shape.Each.Accelerators
		}
	}
	return float64(w) * ran * float64(max(j.Spec.Shape.Accelerators(), 1)) / float64(max(here, 1))
}

// RecordStop counts the room of a job as ending.
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

// Unclaimed returns the free room at p beyond what guarantees claim and don't use.
func (c *Cell) Unclaimed(p *TargetState) jobs.Room { return p.Free.Minus(p.UnusedBacking) }
