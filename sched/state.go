// Package sched decides for one pool of workers what runs where. State is a
// state machine: events in, effects out, without clock, lock or I/O.
package sched

import (
	"maps"
	"slices"
	"time"

	"citronbridge/advice"
	"citronbridge/assign"
	"citronbridge/event"
	"citronbridge/work"
)

// Config is what a State works by.
type Config struct {
	Pool string
	// Epoch rises with each decider of the pool, from 1.
	Epoch int64
	event.Bounds
	// Inherit is how long after a takeover a worker that can't be asked may
	// still run what the former decider started.
	Inherit time.Duration
	// PartOf names the part that a job is in. Parts are told one by one.
	PartOf func(job string) string
}

// Times of the state machine.
const (
	// holdWait is how long a worker keeps an answer back until a task ends;
	// the platform's bound is 2 s.
	holdWait = 1900 * time.Millisecond
	// planPause bounds the processor time spent on placement.
	planPause = 12 * time.Millisecond
	// retryPause is kept between two tries of one order.
	retryPause = 250 * time.Millisecond
	// provePause is kept between two requests for a proof of ownership.
	provePause = 40 * time.Millisecond
	// savePause is kept between looks at a worker whose ends aren't durable.
	savePause = 400 * time.Millisecond
	// sickPause is how long a worker gets no new tasks after it refused one.
	sickPause = time.Second
	// badPause is how long a worker that fails what it starts gets none.
	badPause = 6 * time.Second
	// badStreak is how many jobs in a row must fail on a worker.
	badStreak = 2
	// maxFirst bounds the first Holds of workers that are under way: asked all
	// at once, those of a large pool would be answered too late for a host of
	// the platform's size.
	maxFirst = 64
	// clockDrift is how far a worker's clock may be off; the platform's bound.
	clockDrift = 0.02
	// leaseSlack covers the age of the last reading of a worker's clock.
	leaseSlack = 300 * time.Millisecond
)

// never is far behind any time that placement looks at.
const never = 1000 * time.Hour

// runsPerEpoch spaces the run numbers of deciders, so that a successor's are
// higher than any that it can't know of.
const runsPerEpoch = 1000

// fencesPerEpoch spaces the fences of deciders: each life of a worker gets a
// higher one, so that orders for a former life are refused by the next.
const fencesPerEpoch = 1 << 16

// State is all that a decider knows of its pool.
type State struct {
	c     Config
	now   event.Clock
	rules *work.Rules
	jobs  map[string]*job
	// cancels says when cancelled jobs that aren't known were heard of.
	cancels map[string]time.Duration
	// rowSeq numbers the writes of workers' rows, also of workers that were
	// forgotten in between.
	rowSeq int64
	// over says when jobs ended under this decider: a feed may tell of one
	// again.
	over map[string]time.Duration
	// prunedAt is when both were last shortened.
	prunedAt time.Duration
	// parts names the parts whose jobs are known.
	parts map[string]bool
	order []*job
	pool  map[string]*worker
	names []string
	// lives counts the lives of workers that were forgotten: fences only rise.
	lives map[string]int64
	out   []event.Effect
	// advice is what the advice service has said.
	advice *advice.Book
	// placeAt is when to place again though nothing has changed, 0 for never.
	placeAt time.Duration

	taken time.Duration
	// inheriting is set while tasks of a former decider may be at work unseen.
	inheriting bool
	planAt     time.Duration
	changed    bool
	// limits is what the decider may do while its ownership isn't proved.
	limits Limits
	// ownedAt is a time at which the pool was surely owned, proveAt the
	// earliest time to ask for another proof.
	ownedAt, proveAt time.Duration
	dirty            []*job
}

// New returns the state of a decider that has just taken the pool.
func New(c Config, now event.Clock, rules *work.Rules) *State {
	return &State{c: c, now: now, rules: rules, taken: now.Steady, inheriting: true, jobs: map[string]*job{}, cancels: map[string]time.Duration{}, over: map[string]time.Duration{}, parts: map[string]bool{}, pool: map[string]*worker{}, lives: map[string]int64{}, advice: advice.NewBook()}
}

// Step takes an event in and returns what is to be done.
func (s *State) Step(now event.Clock, e event.Event) []event.Effect {
	s.now = now
	s.out = nil
	switch e := e.(type) {
	case event.JobAdded:
		s.addJob(e)
	case event.PartLoaded:
		s.parts[e.Part] = true
		s.dropUnknown()
	case event.JobCanceled:
		s.cancel(e.ID)
	case event.WorkerListed:
		s.listed(e.Worker)
	case event.WorkerKnown:
		s.known(e)
	case event.WorkerUnlisted:
		if w := s.pool[e.ID]; w != nil {
			w.listed = false
			s.changed = true
		}
	case event.WorkerRecorded:
		s.recorded(e)
	case event.RulesChanged:
		s.rules = e.Rules
		s.changed = true
	case event.BoundsChanged:
		s.c.Bounds = e.Bounds
	case event.Owned:
		s.proved(e.At)
	case event.RecordSaved:
		s.saved(e)
	case event.Answered:
		s.answered(e)
	case event.Reported:
		s.reported(e)
	case event.Paced:
		s.paced(e)
	case event.Advised:
		s.advised(e)
	case event.Tick:
	}
	return s.out
}

// Flush does what is due after a batch of events: retries, leases that ran
// out, placement, writes, holds. It returns the effects and the time at which
// it wants to be called again.
func (s *State) Flush(now event.Clock) ([]event.Effect, time.Duration) {
	s.now = now
	s.out = nil
	next := now.Steady + time.Second
	for _, id := range s.names {
		next = min(next, s.maintain(s.pool[id]))
	}
	next = min(next, s.due())
	s.settle()
	s.prune()
	if s.inheriting && now.Steady-s.taken > s.c.Inherit {
		s.inheriting = false
		s.changed = true
	}
	switch {
	case s.placeAt > now.Steady:
		next = min(next, s.placeAt)
	case s.placeAt > 0:
		s.placeAt, s.changed = 0, true
	}
	if s.changed && now.Steady >= s.planAt {
		s.changed = false
		s.planAt = now.Steady + planPause
		s.place()
	} else if s.changed {
		next = min(next, s.planAt)
	}
	s.save()
	next = min(next, s.prove())
	return s.out, min(next, s.holds())
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

// Limit sets what the decider holds back.
func (s *State) Limit(l Limits) {
	if l != s.limits {
		s.changed = true
	}
	s.limits = l
}

// proved takes in a proof of ownership. A worker's life that was first seen
// before it may be used: a successor takes in what runs there.
func (s *State) proved(at time.Duration) {
	s.ownedAt = max(s.ownedAt, at)
	s.changed = true
}

// prove asks for a proof while a worker's life waits for one, and returns when
// to look again.
func (s *State) prove() time.Duration {
	next := s.now.Steady + time.Second
	for _, id := range s.names {
		if w := s.pool[id]; !w.synced || s.ownedAt > w.syncedAt {
			continue
		}
		if s.now.Steady < s.proveAt {
			return s.proveAt
		}
		s.proveAt = s.now.Steady + provePause
		s.do(event.Prove{})
		return s.proveAt
	}
	return next
}

// Waiting returns by queue how many jobs have no task that has started.
func (s *State) Waiting() map[string]int {
	m := map[string]int{}
	for _, j := range s.order {
		if !j.begun && !j.rec.State.Final() && j.spec.Times == 0 {
			m[j.spec.Queue]++
		}
	}
	return m
}

// Counts returns the numbers of open jobs, of runs and of listed workers.
func (s *State) Counts() (jobs, runs, workers int) {
	for _, w := range s.pool {
		runs += len(w.runs)
		if w.listed {
			workers++
		}
	}
	return len(s.order), runs, workers
}

// placeBy asks for placement at a time though nothing has changed by then.
func (s *State) placeBy(at time.Duration) {
	if s.placeAt == 0 || at < s.placeAt {
		s.placeAt = at
	}
}

func (s *State) do(e event.Effect) { s.out = append(s.out, e) }

func (s *State) note(j *job, w *worker, r *run, text string) {
	n := event.Note{Text: text}
	if j != nil {
		n.Job = j.spec.ID
	}
	if w != nil {
		n.Worker = w.id
	}
	if r != nil {
		n.Task, n.Run = r.id.String(), r.n
	}
	s.do(n)
}

// maybeRunning reports whether a former decider's run of a task may be at work on a
// worker that can't be asked yet.
func (s *State) maybeRunning(t *task) bool {
	if !s.inheriting || !t.inherited {
		return false
	}
	rec := t.step.job.rec
	if !rec.Unsure {
		w := s.pool[rec.Placed[work.TaskKey(t.step.k, t.step.i, t.index)]]
		return w != nil && w.unseen()
	}
	for _, w := range s.pool {
		if w.unseen() {
			return true
		}
	}
	return false
}

// due looks for occurrences whose time has come and returns when to look
// again.
func (s *State) due() time.Duration {
	next := s.now.Steady + time.Second
	for _, j := range s.order {
		if j.spec.Times == 0 || j.rec.State.Final() {
			continue
		}
		for j.next < j.spec.Times {
			if d := j.spec.Due(j.next) - s.now.Wall; d > 0 {
				next = min(next, s.now.Steady+time.Duration(d)*time.Millisecond)
				break
			}
			j.open(j.next, s.now.Steady)
			j.next++
			s.changed = true
		}
	}
	return next
}

// memory is how long ended jobs and early cancels are remembered, far longer
// than a feed lags.
const memory = 10 * time.Minute

// prune forgets what is older than the memory.
func (s *State) prune() {
	if s.now.Steady-s.prunedAt < memory/10 {
		return
	}
	s.prunedAt = s.now.Steady
	for _, m := range []map[string]time.Duration{s.over, s.cancels} {
		maps.DeleteFunc(m, func(_ string, at time.Duration) bool { return s.now.Steady-at > memory })
	}
}

// removeJob takes a job out of memory.
func (s *State) removeJob(j *job) {
	delete(s.jobs, j.spec.ID)
	s.over[j.spec.ID] = max(s.now.Steady, 1)
	s.order = slices.DeleteFunc(s.order, func(o *job) bool { return o == j })
}

// runOf converts a run for placement.
func (s *State) runOf(r *run) *assign.Run {
	t := r.task
	a := &assign.Run{Key: r.id.String(), Demand: r.demand, Ends: s.now.Steady}
	if t == nil {
		a.Fixed = true
		return a
	}
	a.Priority = t.step.job.priority(s.rules)
	a.Ends = r.since + t.step.spec.Estimate
	if t.step.spec.LongRunning {
		a.Ends = s.now.Steady + never
	}
	a.Fixed = r.phase != working || t.step.job.rec.State.Final() || !t.step.mayStop(r)
	if t.step.spec.Gang {
		a.Group = t.step.key
	}
	a.Borrowed = r.borrowed
	a.Loss = r.loss(s.now.Steady)
	if t.step.spec.Gang {
		for _, o := range t.step.tasks {
			if o != t && o.run != nil {
				a.Loss += o.run.loss(s.now.Steady)
			}
		}
	}
	return a
}
