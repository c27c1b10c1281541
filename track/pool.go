// Package track holds what a decider knows of its pool: jobs with their steps, tasks and
// runs, and workers with the runs on them.
package track

import (
	"slices"
	"strings"
	"time"

	"citronbridge/advice"
	"citronbridge/event"
	"citronbridge/pacing"
	"citronbridge/rates"
	"citronbridge/work"
)

// Config is the configuration of a decider.
type Config struct {
	Pool string
	// Epoch rises with each decider of the pool, from 1.
	Epoch int64
	event.Bounds
	// FormerOrders is how long after a takeover any former decider may still send orders,
	// InheritTime how long an unresponsive worker may still run tasks that one of them started.
	FormerOrders, InheritTime time.Duration
	// Window is the maximum number of orders in flight, as a host can handle only so many
	// within their timeout. 0 stands for a default.
	Window int
	// MaxOpenSteps and MaxOpenTasks limit the occurrences of a job that are open at a time.
	// 0 stands for a default.
	MaxOpenSteps, MaxOpenTasks int
	// PartitionOf returns the partition that a job is in. Each partition is loaded on its own.
	PartitionOf func(job string) string
}

// Pool is what a decider knows of its pool, and the effects that it requests.
type Pool struct {
	Config Config
	// Now is the time of the event that is being handled.
	Now   event.Clock
	Rules *work.Rules
	// Jobs are the open jobs by ID, JobsByArrival the same jobs in order of arrival.
	Jobs          map[string]*Job
	JobsByArrival []*Job
	// EndedAt is when jobs ended under this decider, by ID. It is kept as a feed may report
	// such a job again.
	EndedAt map[string]time.Duration
	// LoadedPartitions are the partitions whose jobs are loaded.
	LoadedPartitions map[string]bool
	// Workers are the known workers by ID, WorkersByID the same workers sorted by ID.
	Workers     map[string]*Worker
	WorkersByID []*Worker
	// ForgottenIncarnations is the incarnation count of workers that were forgotten, by ID.
	// It is kept so that a worker's fence never falls.
	ForgottenIncarnations map[string]int64
	// Evacuated are the data centres in which no task may start.
	Evacuated map[string]bool
	// Advice holds the answers of the advice service.
	Advice *advice.Cache
	// Speeds are the speeds of the workers, as learnt from their runs.
	Speeds *rates.Model
	// PendingEffects are the effects requested and not yet handed out.
	PendingEffects []event.Effect

	// AcquiredAt is when the decider acquired the pool.
	AcquiredAt time.Duration
	// Inheriting is set while tasks of a former decider may be running that this one
	// doesn't know of.
	Inheriting bool
	// NeedsPlacement requests a placement. PlaceAt requests one at that time even if
	// nothing changes before, 0 for none.
	NeedsPlacement bool
	PlaceAt        time.Duration
	// IdleSince is when the pool was found mostly idle, 0 if it isn't.
	IdleSince time.Duration
	// Limits is what the decider holds back while its ownership isn't proved.
	Limits Limits
	// OwnedAt is the latest time at which the decider is proved to have owned the pool.
	OwnedAt time.Duration
}

// NewPool returns a pool that was acquired just now.
func NewPool(c Config, now event.Clock, rules *work.Rules) *Pool {
	return &Pool{
		Config: c, Now: now, Rules: rules, AcquiredAt: now.Steady, Inheriting: true,
		Jobs: map[string]*Job{}, EndedAt: map[string]time.Duration{}, LoadedPartitions: map[string]bool{},
		Workers: map[string]*Worker{}, ForgottenIncarnations: map[string]int64{}, Advice: advice.NewCache(), Speeds: rates.New(),
	}
}

// Limits says what a decider holds back while it can't prove that it still owns its pool.
type Limits struct {
	// NoStarts: no task is started, as a successor may exist by now.
	NoStarts bool
	// NoOrders: no order is sent and no lease is renewed, so that a successor knows when
	// the leases have expired.
	NoOrders bool
}

// runsPerEpoch is the distance between the first run numbers of consecutive epochs. It
// makes the numbers of a successor higher than those of its predecessor, which it may not
// know.
const runsPerEpoch = 1000

// Allowances in the computation of leases.
const (
	// clockDrift is the fraction by which a worker's clock may run slow or fast. It is the
	// platform's bound.
	clockDrift = 0.02
	// LeaseSlack is how much longer than a lease on the slowest clock tasks are taken to be
	// alive. It keeps leases whole while the last reading of a worker's clock is recent.
	LeaseSlack = 300 * time.Millisecond
	// lapseTime is the part of LeaseSlack that a worker has to end its tasks when their lease
	// has ended.
	lapseTime = 100 * time.Millisecond
)

// MaxClockAge is the age at which the reading of a worker's clock is renewed, although nothing
// runs there. The first lease after that is at most clockDrift of this time shorter.
const MaxClockAge = time.Minute

// fencesPerEpoch is the distance between the first fences of consecutive epochs. Each
// incarnation of a worker gets a higher fence, so that it refuses orders that were meant
// for a former one.
const fencesPerEpoch = 1 << 16

// Worker returns the worker with an ID, and adds it if it is unknown.
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

// FindTask returns the job and the task of an ID, or nil for each that is unknown. An
// occurrence that a worker lists has been due, so it is opened.
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

// NotYetLoaded reports whether a job is unknown and may still exist, as its partition isn't
// loaded yet.
func (p *Pool) NotYetLoaded(job string) bool {
	return p.Jobs[job] == nil && !p.LoadedPartitions[p.Config.PartitionOf(job)]
}

// RemoveJob drops an ended job from memory.
func (p *Pool) RemoveJob(j *Job) {
	p.ForgetJob(j)
	p.EndedAt[j.Spec.ID] = max(p.Now.Steady, 1)
}

// ForgetJob drops a job from memory that may be added again.
func (p *Pool) ForgetJob(j *Job) {
	delete(p.Jobs, j.Spec.ID)
	p.JobsByArrival = slices.DeleteFunc(p.JobsByArrival, func(o *Job) bool { return o == j })
}

// MaybeRunning reports whether a task may be running under a former decider on a worker
// that hasn't answered yet.
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

// MayRun reports whether any task of a job may be running under a former decider on a worker that
// hasn't answered yet.
func (p *Pool) MayRun(j *Job) bool {
	return slices.ContainsFunc(j.Steps, func(st *Step) bool { return slices.ContainsFunc(st.Tasks, p.MaybeRunning) })
}

// LastRunOf returns the highest run number that this decider or a former one may have used for a
// task of a job.
func (p *Pool) LastRunOf(j *Job) int {
	last := j.Record.LastRun + int(p.Config.Epoch)*runsPerEpoch
	for _, st := range j.Steps {
		last = max(last, st.LastRun)
		for _, t := range st.Tasks {
			last = max(last, t.LastRun)
		}
	}
	return last
}

// Closure is a cause for which a worker gets no tasks, empty if there is none.
type Closure string

const (
	Unlisted    Closure = "unlisted"
	Replaced    Closure = "replaced"
	Draining    Closure = "draining"
	Maintenance Closure = "maintenance"
	// Evacuated: the operator evacuates the worker's data centre.
	Evacuated Closure = "evacuated"
	// The causes below may be over at any moment.
	Unresponsive Closure = "unresponsive"
	NotSynced    Closure = "not synced"
	NotProved    Closure = "ownership not proved"
	Refused      Closure = "start refused or not answered"
	// Paused workers still get tasks of overdue jobs. Runs failed or were slow
	// there.
	Paused Closure = "paused"
)

// ClosedBy returns why the worker gets no new tasks now, or "" if it does. A synced worker gets
// none before a proof that the pool was still owned after the sync: any successor takes over
// after that, and learns what runs there.
func (p *Pool) ClosedBy(w *Worker) Closure {
	switch {
	case !w.Listed:
		return Unlisted
	case w.Terminated, w.ReplacedAt > 0:
		return Replaced
	case w.Draining:
		return Draining
	case w.Cordoned:
		return Maintenance
	case p.InEvacuation(w):
		return Evacuated
	case w.UnansweredCalls > 0:
		return Unresponsive
	case !w.Synced, w.EntryOutdated():
		return NotSynced
	case p.OwnedAt <= w.SyncedAt:
		return NotProved
	case p.Now.Steady < w.ClosedUntil:
		return Refused
	case p.Now.Steady < w.PausedUntil:
		return Paused
	}
	return ""
}

// InEvacuation reports whether the worker's data centre is evacuated, so that no task may
// start on the worker.
func (p *Pool) InEvacuation(w *Worker) bool { return p.Evacuated[w.DataCentre] }

// Fence returns the fence for the worker's current incarnation.
func (p *Pool) Fence(w *Worker) int64 { return p.Config.Epoch*fencesPerEpoch + w.Incarnation }

// Call returns the fields that every order and every Hold for a worker share.
func (p *Pool) Call(w *Worker) event.Call {
	return event.Call{Worker: w.ID, Address: w.Address, Incarnation: w.Incarnation, StartedMS: w.StartedMS, Fence: p.Fence(w), Sent: p.Now.Steady}
}

// ExtendLease returns the end of a lease that begins now, in milliseconds of the worker's
// clock, which must have been read. It also extends the time until which tasks on the worker may
// be alive. The older the reading, the less a slow clock may have advanced since, so the lease is
// shortened to end by that time on the slowest clock.
func (p *Pool) ExtendLease(w *Worker) int64 {
	l, longest := p.Config.Lease, p.longestLease()
	w.LeaseEnd = max(w.LeaseEnd, p.Now.Steady+longest)
	age := p.Now.Steady - w.ClockAt
	slowest := time.Duration((1 - clockDrift) * float64(age+longest-lapseTime))
	return w.ClockMS + min(age+l, slowest).Milliseconds()
}

// AssumeLease extends the time until which tasks on the worker may be alive, as it runs some by a
// lease of a former decider.
func (p *Pool) AssumeLease(w *Worker) { w.LeaseEnd = max(w.LeaseEnd, p.Now.Steady+p.longestLease()) }

// longestLease is how long a lease takes on the slowest clock.
func (p *Pool) longestLease() time.Duration {
	return p.Config.Lease + time.Duration(clockDrift*float64(p.Config.Lease)) + LeaseSlack
}

// NextRun returns the number of a job's next run after the last known one of its task or gang. It
// is higher than those of other pools, and than those of former deciders of this one, each of which
// counts from there too.
func (p *Pool) NextRun(j *Job, last int) int {
	return max(last, j.Record.LastRun+int(p.Config.Epoch-1)*runsPerEpoch) + 1
}

// QueueOf returns a job's queue as last configured, or as it was when the job was accepted if the
// configuration doesn't have it or is older than that. It returns nil if neither is known.
func (p *Pool) QueueOf(j *Job) *work.Queue {
	if p.Rules != nil && p.Rules.Version >= j.Spec.Terms.Version {
		if q := p.Rules.Queues[j.Spec.Queue]; q != nil {
			j.Queue = q
		}
	}
	if j.Queue == nil && j.Spec.Terms.Pool != "" {
		j.Queue = j.Spec.Terms.Queue(j.Spec.Queue)
	}
	return j.Queue
}

// Priority returns a job's priority. 0 is the most urgent, and also stands for an unknown
// queue.
func (p *Pool) Priority(j *Job) int {
	if q := p.QueueOf(j); q != nil {
		return q.Priority
	}
	return 0
}

// Guaranteed returns the number of accelerators that an account is guaranteed.
func (p *Pool) Guaranteed(account string) int64 {
	if a := p.Rules.Accounts[account]; a != nil {
		return a.Guaranteed
	}
	return 0
}

// WaitingByQueue returns how many jobs count as waiting, by queue.
func (p *Pool) WaitingByQueue() map[string]int {
	m := map[string]int{}
	for _, j := range p.JobsByArrival {
		if j.Waiting() {
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

// PlaceBy requests a placement no later than a time, even if nothing changes before.
func (p *Pool) PlaceBy(at time.Duration) {
	if p.PlaceAt == 0 || at < p.PlaceAt {
		p.PlaceAt = at
	}
}

// Emit requests an effect.
func (p *Pool) Emit(e event.Effect) { p.PendingEffects = append(p.PendingEffects, e) }

// Log requests a log line. The job, worker and run may be nil.
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
