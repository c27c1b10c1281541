// Package assign places waiting tasks on workers. Decide is a function of plain
// data, without a clock or I/O.
package assign

import (
	"slices"
	"strconv"
	"time"

	"citronbridge/work"
)

// Worker describes a worker for one decision.
type Worker struct {
	ID     string
	Rack   string
	Labels []string
	Total  work.Amounts
	// Free is the capacity that no run uses, Freeing what the runs that are
	// being stopped will release.
	Free, Freeing work.Amounts
	// StopsOverdue reports whether a run is being stopped for longer than that should take.
	StopsOverdue bool
	// Closed workers take no new tasks: they are draining, failing or unreachable.
	Closed bool
	// Evacuated workers are closed, and stay so for longer than a unit may wait for a rack.
	Evacuated bool
	// Cold workers are slow, as they have just started.
	Cold bool
	// Paused workers take tasks only of units that have waited for too long, as runs have just
	// failed or were slow there.
	Paused bool
	// NoBestEffort workers take no best-effort tasks, as these slow down the
	// latency-sensitive tasks there.
	NoBestEffort bool
	// Probation workers take one task at a time, as jobs have failed there in a row, and no
	// members of gangs, which would all be lost with one. Failing workers, on which the last
	// run failed, take no tasks of units that have failed before, as these may be at their
	// last attempt.
	Probation, Failing bool
	// Speed is relative to a typical worker, 0 if it isn't known or the workers don't differ.
	Speed float64
	Runs  []*Run

	// reserved is the capacity kept for blocked units that come first in order.
	reserved work.Amounts
	// claimed is the part of reserved that is kept while runs are stopped for a unit, and
	// these stops aren't overdue.
	claimed work.Amounts
	// reservedUntil is when the last of these units is expected to start.
	reservedUntil time.Duration
	// placed reports whether the plan starts a task on the worker.
	placed bool
}

// Run is a running task.
type Run struct {
	// Key identifies the task. Group identifies its gang, whose members are all
	// stopped with it; it is empty for a task without a gang.
	Key, Group string
	Demand     work.Amounts
	Priority   int
	// Loss is the work that stopping the run throws away, in core-seconds. For
	// a member of a gang it is the loss of the whole gang.
	Loss float64
	// EndsAt is when the run is expected to end.
	EndsAt time.Duration
	// Lasts is set for runs that don't end by themselves and aren't being stopped.
	Lasts bool
	// NoPreempt runs can't be stopped, or are being stopped already.
	NoPreempt bool
	// Borrowed runs are urgent and exceed their account's guarantee.
	Borrowed bool

	worker *Worker
}

// Unit holds the waiting tasks of one step of one occurrence of a job.
type Unit struct {
	// Key has the form JOB.OCCURRENCE.STEP.
	Key  string
	Step *work.Step
	// Indexes are those of the waiting tasks. A gang is placed as a whole or
	// not at all.
	Indexes []int
	// Priority 0 is the most urgent.
	Priority int
	// Rank orders units of the same priority, lowest first.
	Rank time.Duration
	// MayPreempt allows runs of lower priority to be stopped for the unit.
	MayPreempt bool
	// Reclaims is set for a unit within its account's guarantee that has waited
	// long enough: it is placed before others of its priority, and may also stop
	// borrowed runs of that priority.
	Reclaims bool
	// Starved is set for tasks that have waited for so long that they wait for the sake of
	// others or of a better place no longer.
	Starved bool
	// Overdue is set if nothing of the unit's job has run for long although there is room
	// for the unit twice. Its gang, or one of its tasks, is placed as if it were starved.
	Overdue bool
	// TasksPerWorker counts the step's tasks by worker, for anti-affinity.
	TasksPerWorker map[string]int
	// AvoidedWorkers holds the IDs of workers on which the step's tasks failed. Those in
	// ReleasedWorkers failed long enough ago to be used again, after all others.
	AvoidedWorkers, ReleasedWorkers map[string]bool
	// AllowedWorkers, if not nil, holds the IDs of the only workers that may run
	// the unit.
	AllowedWorkers map[string]bool
	// Rack, if set, is the rack on which other tasks of a same-rack step run.
	Rack string
	// Waited is how long the unit has waited since it became ready or, if its tasks have
	// run before, since they ended. Until it reaches LocalityWait, the unit is placed
	// only on its preferred rack: Step.Affinity, or else Rack.
	Waited, LocalityWait time.Duration
	// SingleRackWait, if positive, limits how long a gang that is slow on several
	// racks waits for a single rack that could hold it.
	SingleRackWait time.Duration
	// NeededSpeed is the speed of a worker at which a task started now ends in time for its job,
	// 0 if that is unknown or can't be reached.
	NeededSpeed float64

	// minSpeed is the speed of the slowest worker that is tried now.
	minSpeed float64
	// waives is what the unit currently doesn't wait for.
	waives waiver
	// ignoresProbation is set if too few workers aren't on probation.
	ignoresProbation bool
}

// TaskID returns the ID of the unit's task with the given index.
func (u *Unit) TaskID(index int) work.TaskID {
	id, err := work.ParseTaskID(u.Key + "." + strconv.Itoa(index))
	if err != nil {
		panic("invalid unit key: " + err.Error())
	}
	return id
}

// Accelerators returns the number of accelerators that all waiting tasks of the
// unit need together.
func (u *Unit) Accelerators() int64 { return int64(len(u.Indexes)) * u.Step.Demand.Accelerators }

// Placement assigns one task to a worker.
type Placement struct {
	Unit   *Unit
	Index  int
	Worker string
	// Waived reports whether the unit's preferences, or reservations of others, would have
	// kept the task from the worker.
	Waived bool
}

// Plan lists the tasks to start now and the runs to stop for units that don't
// fit yet.
type Plan struct {
	Starts []Placement
	Stops  []*Run
}

// maxReservations limits the reservations in one plan, as reserved capacity is
// idle until the blocked task or gang can start.
const maxReservations = 6

type planner struct {
	now          time.Duration
	workers      []*Worker
	racks        [][]*Worker
	plan         Plan
	reservations int
	// unplaceable holds the demands that exceed the free capacity of every worker that
	// isn't closed, reserved capacity included. An entry stays valid for the whole plan, as
	// free capacity only shrinks while a plan is made.
	unplaceable map[work.Amounts]bool
	// unequal reports whether the workers differ in speed.
	unequal bool
	// probation reports whether any worker is on probation.
	probation bool
}

// Decide places units in order of priority and rank. It sorts units and modifies
// the workers, their runs and the units.
func Decide(now time.Duration, workers []*Worker, units []*Unit) Plan {
	p := &planner{now: now, workers: workers, unplaceable: map[work.Amounts]bool{}}
	byRack := map[string]int{}
	for _, w := range workers {
		p.probation = p.probation || w.Probation
		p.unequal = p.unequal || w.speedClass() != 0
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

// compareUnits orders units by priority, then those that reclaim a guarantee
// first, then by rank.
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

// relaxAvoidance clears AvoidedWorkers and ignores probation if the other eligible
// workers could not hold the unit even when empty: all of a gang, or one task of another
// step.
func (p *planner) relaxAvoidance(u *Unit) {
	if len(u.AvoidedWorkers) == 0 && !(p.probation && u.Step.Gang) {
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
		u.AvoidedWorkers, u.ignoresProbation = nil, true
	}
}

// eligible reports whether the unit's tasks may run on w, whatever runs there
// now.
func (u *Unit) eligible(w *Worker) bool {
	switch {
	case u.AllowedWorkers != nil && !u.AllowedWorkers[w.ID], w.speed() < u.minSpeed:
		return false
	case u.waives >= waiveWorker:
		return u.Fits(w)
	case w.Paused, !u.ignoresProbation && (w.Probation && u.Step.Gang || w.Failing && len(u.AvoidedWorkers) > 0):
		return false
	}
	avoided := u.AvoidedWorkers[w.ID] && !u.ReleasedWorkers[w.ID]
	return !avoided && u.Fits(w)
}

// Fits reports whether w takes tasks, has the required label and has enough total
// capacity for one task of the unit, whatever runs there now.
func (u *Unit) Fits(w *Worker) bool {
	if w.Closed || u.Step.Fills && w.NoBestEffort || !u.Step.CapacityDemand().Fits(w.Total) {
		return false
	}
	return u.hasLabel(w)
}

// hasLabel reports whether w has the label that the unit requires.
func (u *Unit) hasLabel(w *Worker) bool {
	return u.Step.Requires == "" || slices.Contains(w.Labels, u.Step.Requires)
}

// countFitting returns how many of the unit's waiting tasks fit into the given
// free capacity of w, within the step's anti-affinity limit.
func (u *Unit) countFitting(w *Worker, free work.Amounts) int {
	n := u.Fitting(w.ID, free, len(u.Indexes))
	if w.Probation && u.waives < waiveWorker {
		if w.placed || len(w.Runs) > 0 {
			return 0
		}
		n = min(n, 1)
	}
	return n
}

// Fitting returns how many of the unit's tasks, up to n, fit into the given free capacity of a
// worker, within the step's anti-affinity limit.
func (u *Unit) Fitting(worker string, free work.Amounts, n int) int {
	d := u.Step.CapacityDemand()
	// Most workers of a busy pool have no room. Without this check the divisions
	// below would take most of the time of a decision.
	if !d.Fits(free) {
		return 0
	}
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
		n = min(n, max(a-u.TasksPerWorker[worker], 0))
	}
	return n
}

// available returns the capacity of w that the unit may use now. It excludes
// reserved capacity, unless the unit no longer waits for that or is expected to end
// before the reservations are used (backfill).
func (p *planner) available(u *Unit, w *Worker) work.Amounts {
	if u.waives >= waivePlace && !u.Starved {
		return w.Free.Minus(w.claimed)
	}
	if u.waives >= waivePlace || u.Step.Estimate > 0 && p.now+u.Step.Estimate <= w.reservedUntil {
		return w.Free
	}
	return w.Free.Minus(w.reserved)
}

// place adds to the plan that n tasks of the unit, from position i of its
// indexes, start on w.
func (p *planner) place(u *Unit, i, n int, w *Worker) {
	d := u.Step.CapacityDemand()
	w.placed = w.placed || n > 0
	if u.TasksPerWorker != nil {
		u.TasksPerWorker[w.ID] += n
	}
	for _, x := range u.Indexes[i : i+n] {
		p.plan.Starts = append(p.plan.Starts, Placement{u, x, w.ID, u.waives > waiveNothing})
		w.Free = w.Free.Minus(d)
	}
}

// byLocality returns the racks to try for a unit in order: its preferred rack, and
// the others only if the unit no longer waits for it or the rack couldn't hold the
// unit. Without a preferred rack it returns racks unchanged.
func (p *planner) byLocality(u *Unit, racks [][]*Worker) [][]*Worker {
	rack := u.Step.Affinity
	if rack == "" {
		rack = u.Rack
	}
	if rack == "" {
		return racks
	}
	l := make([][]*Worker, 0, len(racks))
	holds := false
	for _, r := range racks {
		if len(r) > 0 && r[0].Rack == rack {
			l = append(l, r)
			holds = u.holdable(r)
		}
	}
	if holds && u.Waited < u.LocalityWait && u.waives < waivePlace {
		return l
	}
	for _, r := range racks {
		if len(r) > 0 && r[0].Rack != rack {
			l = append(l, r)
		}
	}
	return l
}

// holdable reports whether a group of workers could hold the unit if they were empty and took
// tasks: all of a gang, or one task of another step.
func (u *Unit) holdable(group []*Worker) bool {
	need := 1
	if u.Step.Gang {
		need = len(u.Indexes)
	}
	for _, w := range group {
		if u.hasLabel(w) && !w.Evacuated {
			need -= u.Fitting(w.ID, w.Total, len(u.Indexes))
		}
	}
	return need <= 0
}

// placeTasks places the tasks of a step that is not a gang one by one. For the tasks that
// don't fit it preempts or reserves.
func (p *planner) placeTasks(u *Unit) {
	i := 0
	for _, v := range u.waivers() {
		n := len(u.Indexes)
		if v > waiveNothing && !u.Starved && !u.Step.LongRunning {
			// The job isn't overdue once one task runs.
			n = 1
		}
		u.waives = v
		i = p.placeUpTo(u, i, n)
	}
	u.waives = waiveNothing
	if i == len(u.Indexes) {
		return
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

// placeUpTo places the tasks of a unit from position i of its indexes up to position n, on
// the workers with the least free capacity first (best fit). It returns the position of the
// first task that isn't placed.
func (p *planner) placeUpTo(u *Unit, i, n int) int {
	if i >= n {
		return i
	}
	for _, group := range p.taskGroups(u) {
		for _, w := range p.workersWithRoom(u, group) {
			c := min(u.countFitting(w, p.available(u, w)), n-i)
			p.place(u, i, c, w)
			if i += c; i == n {
				return i
			}
		}
	}
	return i
}

// taskGroups returns the groups of workers to try in order for the tasks of a step
// that is not a gang.
func (p *planner) taskGroups(u *Unit) [][]*Worker {
	if u.Step.Affinity == "" && u.Rack == "" {
		return [][]*Worker{p.workers}
	}
	return p.byLocality(u, p.racks)
}

// workersWithRoom returns the eligible workers of a group that have room for a task
// of the unit now, those with the least free capacity first. Workers on which its tasks
// failed come last, and before them those on which others failed or were slow. Among workers
// that are equal in that, cold ones follow warm ones.
func (p *planner) workersWithRoom(u *Unit, group []*Worker) []*Worker {
	d := u.Step.CapacityDemand()
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
		if x, y := u.doubt(a), u.doubt(b); x != y {
			return x - y
		}
		if a.Cold != b.Cold {
			if b.Cold {
				return -1
			}
			return 1
		}
		if x, y := u.speedOrder(a), u.speedOrder(b); p.unequal && x != y {
			return x - y
		}
		if a.Free.Accelerators != b.Free.Accelerators {
			return int(a.Free.Accelerators - b.Free.Accelerators)
		}
		return int(min(max(a.Free.MilliCPU-b.Free.MilliCPU, -1), 1))
	})
	return l
}

// doubt ranks workers by the reasons to expect that a task of the unit fails there, lowest
// first.
func (u *Unit) doubt(w *Worker) int {
	switch {
	case u.AvoidedWorkers[w.ID]:
		return 2
	case u.waives >= waiveWorker && (w.Paused || w.Probation || w.Failing):
		return 1
	}
	return 0
}
