package board

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
	// Seats is Claimed for each guarantee, Charged what its jobs hold of it.
	Seats   map[string]jobs.Room
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
// guarantee. Tasks of guarantees that are seated here stand on their seats.
func (p *Spot) FixedBeyond(id string) jobs.Room {
	r := p.Fixed
	for g, c := range p.Charged {
		if g == id {
			continue
		}
		if _, seated := p.Seats[g]; !seated {
			r = r.Plus(c)
		}
	}
	return r
}

// Board is the state of one decision.
type Board struct {
	In *Input
	// Places holds the targets in the order of their IDs, At by ID.
	Places []*Spot
	At     map[string]*Spot
	// Guarantees are those of the cell, Seats where they stand, Unseated those
	// for which there is no room.
	Guarantees []Guarantee
	Seats      Seats
	Unseated   []string
	// Total is the room of all targets, Usage what is held of it.
	Total jobs.Room
	Usage Usage
	// Stopped holds the jobs that this decision stops.
	Stopped map[jobs.Key]bool
	// ByAccount holds the guarantees of each account.
	ByAccount map[string][]*Guarantee
}

// New counts what runs where.
func New(in *Input) *Board {
	b := &Board{In: in, At: make(map[string]*Spot, len(in.Targets)), Stopped: map[jobs.Key]bool{},
		ByAccount: map[string][]*Guarantee{}}
	for _, t := range in.Targets {
		p := &Spot{Target: t, Free: t.Room, Seats: map[string]jobs.Room{}, Charged: map[string]jobs.Room{}}
		b.Places = append(b.Places, p)
		b.At[t.ID] = p
		b.Total = b.Total.Plus(t.Room)
	}
	slices.SortFunc(b.Places, func(x, y *Spot) int { return strings.Compare(x.ID, y.ID) })
	b.Guarantees = guarantees(in)
	for i := range b.Guarantees {
		g := &b.Guarantees[i]
		b.ByAccount[g.Account] = append(b.ByAccount[g.Account], g)
	}
	b.Usage = newUsage()
	for i := range in.Running {
		b.Put(&in.Running[i])
		b.Price(&in.Running[i])
		b.Index(&in.Running[i])
	}
	return b
}

// Put counts a running job.
func (b *Board) Put(j *Job) {
	r := j.Spec.Task()
	for _, id := range j.Targets {
		p := b.At[id]
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
	b.Usage.Add(j.Spec, j.Guarantee)
}

// Index notes a running job at its targets.
func (b *Board) Index(j *Job) {
	for _, id := range j.Targets {
		p := b.At[id]
		if p != nil && (len(p.Jobs) == 0 || p.Jobs[len(p.Jobs)-1] != j) {
			p.Jobs = append(p.Jobs, j)
		}
	}
}

// Leave counts anew what guarantees stand on at p and don't use.
func (p *Spot) Leave() {
	p.Unused = jobs.Room{}
	for id, s := range p.Seats {
		p.Unused = p.Unused.Plus(s.Minus(Least(s, p.Charged[id])))
	}
}

// Price adds what stopping a borrower would lose to the targets that it is on.
func (b *Board) Price(j *Job) {
	if j.Guarantee != "" || j.Stopping {
		return
	}
	for _, id := range j.Targets {
		if p := b.At[id]; p != nil {
			p.Loss += int(b.Loss(j, id)) / max(len(j.Targets), 1)
		}
	}
}

// Start counts a request that starts now.
func (b *Board) Start(s *jobs.Spec, targets []string, guarantee string) {
	b.Put(&Job{Spec: s, Targets: targets, Guarantee: guarantee})
	if guarantee == "" {
		return
	}
	for _, id := range targets {
		b.At[id].Leave()
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
func (b *Board) Loss(j *Job, id string) float64 {
	w := restartedLoss
	if j.Spec.Checkpoints {
		w = checkpointedLoss
	}
	ran := max(b.In.Now.Sub(j.Started).Seconds(), 0) + 1
	here := 0
	for _, t := range j.Targets {
		if t == id {
			here += j.Spec.Shape.Each.Accelerators
		}
	}
	return float64(w) * ran * float64(max(j.Spec.Shape.Accelerators(), 1)) / float64(max(here, 1))
}

// Stop counts a job as ending.
func (b *Board) Stop(j *Job) {
	b.Stopped[j.Spec.Key()] = true
	for _, id := range j.Targets {
		if p := b.At[id]; p != nil {
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
func (b *Board) Unclaimed(p *Spot) jobs.Room { return p.Free.Minus(p.Unused) }
