// Package track holds what a decider knows of its pool: jobs with their steps,
// tasks and runs, and workers with what runs there.
package track

import (
	"slices"
	"strings"
	"time"

	"citronbridge/advice"
	"citronbridge/event"
	"citronbridge/pacing"
	"citronbridge/work"
)

// Config is what a decider works by.
type Config struct {
	Pool string
	// Epoch rises with each decider of the pool, from 1.
	Epoch int64
	event.Bounds
	// InheritTime is how long after a takeover a worker that can't be asked may
	// still run what the former decider started.
	InheritTime time.Duration
	// Window bounds the orders without an answer, as a host sends no more at
	// once than its processor carries within their time-out.
	Window int
	// PartitionOf names the part that a job is in. Parts are told one by one.
	PartitionOf func(job string) string
}

// Pool is what a decider knows of its pool, and what it wants done.
type Pool struct {
	Config Config
	// Now is the time of the event that is being taken in.
	Now   event.Clock
	Rules *work.Rules
	// Jobs are the open jobs, Order the same in the order that they came in.
	Jobs          map[string]*Job
	JobsByArrival []*Job
	// EndedAt says when jobs ended under this decider: a feed may tell of one
	// again.
	EndedAt map[string]time.Duration
	// LoadedPartitions names the parts whose jobs are known.
	LoadedPartitions map[string]bool
	// Workers are the known workers, Sorted the same by their IDs.
	Workers     map[string]*Worker
	WorkersByID []*Worker
	// ForgottenIncarnations counts the lives of workers that were forgotten: fences only rise.
	ForgottenIncarnations map[string]int64
	// Advice is what the advice service has said.
	Advice *advice.Book
	// PendingEffects is what is to be done.
	PendingEffects []event.Effect

	// AcquiredAt is when the decider took the pool.
	AcquiredAt time.Duration
	// Inheriting is set while tasks of a former decider may be at work unseen.
	Inheriting bool
	// NeedsPlacement asks for placement, PlaceAt for placement at a time though
	// nothing has changed by then, 0 for never.
	NeedsPlacement bool
	PlaceAt        time.Duration
	// Limits is what the decider may do while its ownership isn't proved.
	Limits Limits
	// OwnedAt is a time at which the pool was surely owned.
	OwnedAt time.Duration
}

// NewPool returns a pool that has just been taken.
func NewPool(c Config, now event.Clock, rules *work.Rules) *Pool {
	return &Pool{
		Config: c, Now: now, Rules: rules, AcquiredAt: now.Steady, Inheriting: true,
		Jobs: map[string]*Job{}, EndedAt: map[string]time.Duration{}, LoadedPartitions: map[string]bool{},
		Workers: map[string]*Worker{}, ForgottenIncarnations: map[string]int64{}, Advice: advice.NewBook(),
	}
}

// Limits says what a decider holds back while it can't prove that it still
// owns its pool.
type Limits struct {
	// NoStarts: a successor may exist by now.
	NoStarts bool
	// NoOrders: leases aren't renewed either, so that a successor knows when
	// they have run out.
	NoOrders bool
}

// runsPerEpoch spaces the run numbers of deciders, so that a successor's are
// higher than any that it can't know of.
const runsPerEpoch = 1000

// What leases allow for.
const (
	// clockDrift is how far a worker's clock may be off; the platform's bound.
	clockDrift = 0.02
	// LeaseSlack covers the age of the last reading of a worker's clock.
	LeaseSlack = 300 * time.Millisecond
)

// fencesPerEpoch spaces the fences of deciders: each life of a worker gets a
// higher one, so that orders for a former life are refused by the next.
const fencesPerEpoch = 1 << 16

// Worker returns a worker, which becomes known by it.
func (p *Pool) Worker(id string) *Worker {
	w := p.Workers[id]
	if w == nil {
		w = &Worker{Worker: event.Worker{ID: id}, Runs: map[work.TaskID]*Run{}, Incarnation: p.ForgottenIncarnations[id] + 1, PaceLevel: pacing.NewLevel()}
		p.Workers[id] = w
		i, _ := slices.BinarySearchFunc(p.WorkersByID, id, func(w *Worker, id string) int { return strings.Compare(w.ID, id) })
		p.WorkersByID = slices.Insert(p.WorkersByID, i, w)
	}
	return w
}

// FindTask returns the task of an ID, or nil. An occurrence that a worker knows
// of has been due.
func (p *Pool) FindTask(id work.TaskID) (*Job, *Task) {
	j := p.Jobs[id.Job]
	if j == nil {
		return nil, nil
	}
	for j.NextOccurrence <= id.Occurrence && j.NextOccurrence < j.Spec.Occurrences() {
		j.OpenOccurrence(j.NextOccurrence, p.Now.Steady)
		j.NextOccurrence++
	}
	st := j.Step(id.Occurrence, id.Step)
	if st == nil || id.Index >= len(st.Tasks) {
		return j, nil
	}
	return j, st.Tasks[id.Index]
}

// NotYetLoaded reports whether the part of a job isn't known yet.
func (p *Pool) NotYetLoaded(job string) bool {
	return p.Jobs[job] == nil && !p.LoadedPartitions[p.Config.PartitionOf(job)]
}

// RemoveJob takes a job out of memory.
func (p *Pool) RemoveJob(j *Job) {
	delete(p.Jobs, j.Spec.ID)
	p.EndedAt[j.Spec.ID] = max(p.Now.Steady, 1)
	p.JobsByArrival = slices.DeleteFunc(p.JobsByArrival, func(o *Job) bool { return o == j })
}

// MaybeRunning reports whether a former decider's run of a task may be at work
// on a worker that can't be asked yet.
func (p *Pool) MaybeRunning(t *Task) bool {
	if !p.Inheriting || !t.Inherited {
		return false
	}
	rec := t.Step.Job.Record
	if !rec.Unsure {
		w := p.Workers[rec.Placed[work.TaskKey(t.Step.Occurrence, t.Step.Index, t.Index)]]
		return w != nil && w.MayHaveUnknownRuns()
	}
	for _, w := range p.Workers {
		if w.MayHaveUnknownRuns() {
			return true
		}
	}
	return false
}

// Closed reports whether the worker takes no new tasks now.
func (p *Pool) Closed(w *Worker) bool {
	return !w.Listed || w.EntryOutdated() || w.Terminated || w.Draining || w.Cordoned || w.ReplacedAt > 0 || !w.Synced || p.OwnedAt <= w.SyncedAt || w.UnansweredCalls > 0 || p.Now.Steady < w.ClosedUntil
}

// Fence returns the fence for the worker's present life.
func (p *Pool) Fence(w *Worker) int64 { return p.Config.Epoch*fencesPerEpoch + w.Incarnation }

// Call returns what every order to a worker and every Hold says.
func (p *Pool) Call(w *Worker) event.Call {
	return event.Call{Worker: w.ID, Address: w.Address, Incarnation: w.Incarnation, Fence: p.Fence(w), Sent: p.Now.Steady}
}

// ExtendLease returns the end of a lease from now on the worker's clock, and
// notes until when that may keep tasks alive.
func (p *Pool) ExtendLease(w *Worker) int64 {
	l := p.Config.Lease
	w.LeaseEnd = max(w.LeaseEnd, p.Now.Steady+l+time.Duration(clockDrift*float64(l))+LeaseSlack)
	return w.ClockMS + (p.Now.Steady - w.ClockAt + l).Milliseconds()
}

// NextRun returns the run number behind the last one known.
func (p *Pool) NextRun(last int) int {
	return max(last, int(p.Config.Epoch-1)*runsPerEpoch) + 1
}

// QueueOf returns a job's queue as last configured, or as it was when the job
// was accepted. It is nil if neither is known.
func (p *Pool) QueueOf(j *Job) *work.Queue {
	if p.Rules != nil {
		if q := p.Rules.Queues[j.Spec.Queue]; q != nil {
			j.Queue = q
		}
	}
	if j.Queue == nil && j.Spec.Terms.Pool != "" {
		j.Queue = j.Spec.Terms.Queue(j.Spec.Queue)
	}
	return j.Queue
}

// Priority returns a job's priority, 0 for the most urgent.
func (p *Pool) Priority(j *Job) int {
	if q := p.QueueOf(j); q != nil {
		return q.Priority
	}
	return 0
}

// Guaranteed returns an account's guaranteed accelerators.
func (p *Pool) Guaranteed(account string) int64 {
	if a := p.Rules.Accounts[account]; a != nil {
		return a.Guaranteed
	}
	return 0
}

// WaitingByQueue returns by queue how many jobs have no task that has started.
func (p *Pool) WaitingByQueue() map[string]int {
	m := map[string]int{}
	for _, j := range p.JobsByArrival {
		if !j.Started && !j.Record.State.Final() && j.Spec.Times == 0 {
			m[j.Spec.Queue]++
		}
	}
	return m
}

// Counts returns the numbers of open jobs, of runs and of listed workers.
func (p *Pool) Counts() (jobs, runs, workers int) {
	for _, w := range p.Workers {
		runs += len(w.Runs)
		if w.Listed {
			workers++
		}
	}
	return len(p.JobsByArrival), runs, workers
}

// PlaceBy asks for placement at a time though nothing has changed by then.
func (p *Pool) PlaceBy(at time.Duration) {
	if p.PlaceAt == 0 || at < p.PlaceAt {
		p.PlaceAt = at
	}
}

// Emit asks for an effect.
func (p *Pool) Emit(e event.Effect) { p.PendingEffects = append(p.PendingEffects, e) }

// Log asks for a log line; job, worker and run may be nil.
func (p *Pool) Log(j *Job, w *Worker, r *Run, text string) {
	n := event.LogEntry{Text: text}
	if j != nil {
		n.Job = j.Spec.ID
	}
	if w != nil {
		n.Worker = w.ID
	}
	if r != nil {
		n.Task, n.Run = r.ID.String(), r.N
	}
	p.Emit(n)
}
