// Package assign chooses workers for tasks, as a function over plain data.
package assign

import (
	"slices"
	"strconv"
	"time"

	"citronbridge/work"
)

// Worker is one worker as the choice sees it.
type Worker struct {
	ID     string
	Rack   string
	Labels []string
	Total  work.Amounts
	// Free is what nothing holds, Coming what is being stopped.
	Free, Freeing work.Amounts
	// Closed workers take no new tasks: they drain, fail or can't be reached.
	Closed bool
	// NoBestEffort workers take no best-effort tasks: latency-sensitive ones
	// there suffer from them.
	NoBestEffort bool
	Runs         []*Run

	// reserved is room kept for units that rank before.
	reserved work.Amounts
	// reservedUntil is when the claims on the worker are expected to be used.
	reservedUntil time.Duration
}

// Run is a task at work.
type Run struct {
	// Key names the task, Group the gang that ends with it, if any.
	Key, Group string
	Demand     work.Amounts
	Priority   int
	// Loss is the work that a stop throws away, in core-seconds, that of the
	// whole gang for a member.
	Loss float64
	// EndsAt is when the run is expected to end.
	EndsAt time.Duration
	// NoPreempt runs can't be stopped, or are being stopped already.
	NoPreempt bool
	// Borrowed runs are urgent and beyond their account's guarantee.
	Borrowed bool

	worker *Worker
}

// Unit is the waiting tasks of one step of one occurrence.
type Unit struct {
	Key  string
	Step *work.Step
	// Indexes are the tasks that wait. A gang takes workers for all or none.
	Indexes  []int
	Priority int
	// Rank orders units of one priority, lowest first.
	Rank time.Duration
	// MayPreempt says that tasks of lower priority may be stopped.
	MayPreempt bool
	// Reclaims is set for what is within its account's guarantee and has
	// waited: it goes before others of its priority, and may stop borrowed runs.
	Reclaims bool
	// Starved is set for long-running tasks that have been away for long: they
	// take room that others claim.
	Starved bool
	// TasksPerWorker counts the step's tasks by worker, for anti-affinity.
	TasksPerWorker map[string]int
	// AvoidedWorkers names workers on which the step's tasks failed.
	AvoidedWorkers map[string]bool
	// AllowedWorkers, if not nil, names the workers on which the unit may run.
	AllowedWorkers map[string]bool
	// Rack, if set, is where other tasks of a same-rack step are.
	Rack string
	// Waited is how long the unit has been ready, Patience how long it waits
	// for the rack with its data.
	Waited, LocalityWait time.Duration
	// SingleRackWait, if positive, is how long a gang that is slow on several racks
	// waits for a single one that could hold it.
	SingleRackWait time.Duration
}

// TaskID names the unit's task of an index.
func (u *Unit) TaskID(index int) work.TaskID {
	id, err := work.ParseTaskID(u.Key + "." + strconv.Itoa(index))
	if err != nil {
		panic("key of a unit: " + err.Error())
	}
	return id
}

// Accelerators returns what the unit's tasks take in all.
func (u *Unit) Accelerators() int64 { return int64(len(u.Indexes)) * u.Step.Demand.Accelerators }

// Placement puts one task on a worker.
type Placement struct {
	Unit   *Unit
	Index  int
	Worker string
}

// Plan is what to start now and whom to stop for what can't start yet.
type Plan struct {
	Starts []Placement
	Stops  []*Run
}

// maxReservations bounds the blocked units that keep room, as each costs the others
// room that stands idle until it is used.
const maxReservations = 6

type planner struct {
	now          time.Duration
	workers      []*Worker
	racks        [][]*Worker
	plan         Plan
	reservations int
	// unplaceable holds the demands for which no worker has room, not even room that
	// others claim. Room only shrinks while a plan is made.
	unplaceable map[work.Amounts]bool
}

// Decide chooses for the units in the order of priority and rank. Workers are
// changed on the way.
func Decide(now time.Duration, workers []*Worker, units []*Unit) Plan {
	p := &planner{now: now, workers: workers, unplaceable: map[work.Amounts]bool{}}
	byRack := map[string]int{}
	for _, w := range workers {
		for _, r := range w.Runs {
			r.worker = w
		}
		i, ok := byRack[w.Rack]
		if !ok {
			i = len(p.racks)
			byRack[w.Rack] = i
			p.racks = append(p.racks, nil)
		}
		p.racks[i] = append(p.racks[i], w)
	}
	slices.SortStableFunc(units, compareUnits)
	for _, u := range units {
		p.relaxAvoidance(u)
		if u.Step.Gang {
			p.placeGang(u)
		} else {
			p.placeTasks(u)
		}
	}
	return p.plan
}

// compareUnits orders units: by priority, those that reclaim a guarantee first, by rank.
func compareUnits(a, b *Unit) int {
	switch {
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case a.Reclaims != b.Reclaims:
		if a.Reclaims {
			return -1
		}
		return 1
	}
	return int(min(max(a.Rank-b.Rank, -1), 1))
}

// relaxAvoidance drops what a unit avoids if it could never fit without it.
func (p *planner) relaxAvoidance(u *Unit) {
	if len(u.AvoidedWorkers) == 0 {
		return
	}
	need := 1
	if u.Step.Gang {
		need = len(u.Indexes)
	}
	room := 0
	for _, w := range p.workers {
		if u.eligible(w) {
			room += u.countFitting(w, w.Total)
		}
	}
	if room < need {
		u.AvoidedWorkers = nil
	}
}

// eligible reports whether the unit's tasks may run on w at all.
func (u *Unit) eligible(w *Worker) bool {
	return !u.AvoidedWorkers[w.ID] && (u.AllowedWorkers == nil || u.AllowedWorkers[w.ID]) && u.Fits(w)
}

// Fits reports whether w is open and made for the unit's tasks, whatever runs
// there.
func (u *Unit) Fits(w *Worker) bool {
	if w.Closed || u.Step.Fills && w.NoBestEffort || !u.Step.Counted().Fits(w.Total) {
		return false
	}
	return u.Step.Requires == "" || slices.Contains(w.Labels, u.Step.Requires)
}

// countFitting returns how many of the unit's tasks fit within an amount on w.
func (u *Unit) countFitting(w *Worker, free work.Amounts) int {
	d := u.Step.Counted()
	// Most workers of a busy pool have no room: divisions would be most of the
	// time of a decision.
	if !d.Fits(free) {
		return 0
	}
	n := len(u.Indexes)
	if d.MilliCPU > 0 {
		n = min(n, int(free.MilliCPU/d.MilliCPU))
	}
	if d.MemoryMiB > 0 {
		n = min(n, int(free.MemoryMiB/d.MemoryMiB))
	}
	if d.Accelerators > 0 {
		n = min(n, int(free.Accelerators/d.Accelerators))
	}
	if a := u.Step.AntiAffinity; a > 0 {
		n = min(n, max(a-u.TasksPerWorker[w.ID], 0))
	}
	return n
}

// available returns what the unit may use of w now: claims of units before it are
// left alone, unless the unit is expected to end before they are used or is
// starved.
func (p *planner) available(u *Unit, w *Worker) work.Amounts {
	if u.Starved || u.Step.Estimate > 0 && p.now+u.Step.Estimate <= w.reservedUntil {
		return w.Free
	}
	return w.Free.Minus(w.reserved)
}

// place puts n tasks of the unit, from position i on, on w.
func (p *planner) place(u *Unit, i, n int, w *Worker) {
	d := u.Step.Counted()
	for _, x := range u.Indexes[i : i+n] {
		p.plan.Starts = append(p.plan.Starts, Placement{u, x, w.ID})
		w.Free = w.Free.Minus(d)
	}
}

// byLocality returns the workers for a unit's data, and then the others if waiting
// for these no longer pays.
func (p *planner) byLocality(u *Unit, racks [][]*Worker) [][]*Worker {
	rack := u.Step.Affinity
	if rack == "" {
		rack = u.Rack
	}
	if rack == "" {
		return racks
	}
	l := make([][]*Worker, 0, len(racks))
	for _, r := range racks {
		if len(r) > 0 && r[0].Rack == rack {
			l = append(l, r)
		}
	}
	if len(l) > 0 && u.Waited < u.LocalityWait {
		return l
	}
	for _, r := range racks {
		if len(r) > 0 && r[0].Rack != rack {
			l = append(l, r)
		}
	}
	return l
}

// placeTasks places single tasks, each where it leaves least room over.
func (p *planner) placeTasks(u *Unit) {
	i := 0
	for _, group := range p.taskGroups(u) {
		l := p.workersWithRoom(u, group)
		for _, w := range l {
			n := min(u.countFitting(w, p.available(u, w)), len(u.Indexes)-i)
			p.place(u, i, n, w)
			i += n
			if i == len(u.Indexes) {
				return
			}
		}
	}
	rest := *u
	rest.Indexes = u.Indexes[i:]
	for j := range rest.Indexes {
		one := rest
		one.Indexes = rest.Indexes[j : j+1]
		if !p.preemptOrReserve(&one) {
			return
		}
	}
}

// taskGroups returns the sets of workers to try one after the other.
func (p *planner) taskGroups(u *Unit) [][]*Worker {
	if u.Step.Affinity == "" && u.Rack == "" {
		return [][]*Worker{p.workers}
	}
	return p.byLocality(u, p.racks)
}

// workersWithRoom returns the workers that take a task now, tightest first.
func (p *planner) workersWithRoom(u *Unit, group []*Worker) []*Worker {
	d := u.Step.Counted()
	if p.unplaceable[d] {
		return nil
	}
	var l []*Worker
	full := len(group) == len(p.workers)
	for _, w := range group {
		full = full && (w.Closed || !d.Fits(w.Free))
		if u.countFitting(w, p.available(u, w)) > 0 && u.eligible(w) {
			l = append(l, w)
		}
	}
	if full {
		p.unplaceable[d] = true
	}
	slices.SortStableFunc(l, func(a, b *Worker) int {
		if a.Free.Accelerators != b.Free.Accelerators {
			return int(a.Free.Accelerators - b.Free.Accelerators)
		}
		return int(min(max(a.Free.MilliCPU-b.Free.MilliCPU, -1), 1))
	})
	return l
}

// placeGang places all tasks of a unit or none.
func (p *planner) placeGang(u *Unit) {
	for _, group := range p.gangGroups(u) {
		if p.placeGangOn(u, group) {
			return
		}
	}
	p.preemptOrReserve(u)
}

// maySpanRacks reports whether a gang that is slow on several racks may take them:
// no single one could hold it, or there is no time to wait for one.
func (p *planner) maySpanRacks(u *Unit) bool {
	if u.SingleRackWait > 0 && u.Waited >= u.SingleRackWait {
		return true
	}
	for _, r := range p.racks {
		total := 0
		for _, w := range r {
			if u.eligible(w) {
				total += u.countFitting(w, w.Total)
			}
		}
		if total >= len(u.Indexes) {
			return false
		}
	}
	return true
}

// gangGroups returns the sets of workers that may hold a whole gang: single
// racks, those with least room first, and all workers unless the gang is slow
// on several racks and waits for one.
func (p *planner) gangGroups(u *Unit) [][]*Worker {
	racks := p.byLocality(u, p.racks)
	type scored struct {
		group []*Worker
		free  int
	}
	var l []scored
	for _, r := range racks {
		free := 0
		for _, w := range r {
			if u.eligible(w) {
				free += u.countFitting(w, p.available(u, w))
			}
		}
		if free >= len(u.Indexes) {
			l = append(l, scored{r, free})
		}
	}
	if u.Step.Affinity == "" && u.Rack == "" {
		slices.SortStableFunc(l, func(a, b scored) int { return a.free - b.free })
	}
	g := make([][]*Worker, 0, len(l)+1)
	for _, s := range l {
		g = append(g, s.group)
	}
	if u.Step.SameRack && !p.maySpanRacks(u) {
		return g
	}
	return append(g, slices.Concat(racks...))
}

// placeGangOn places the gang on a group of workers if all of it fits.
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
