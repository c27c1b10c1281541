package cells

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/board"
	"citronbridge/fleet"
	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/place"
	"citronbridge/target"
	"citronbridge/timer"
)

// Bounds of a cell's own work.
const (
	tickPeriod   = 250 * time.Millisecond
	rescanPeriod = 5 * time.Second
	// recentFor is how long an ended job is remembered.
	recentFor = time.Minute
	// leaseMargin is what a lease may last longer at a target than here.
	leaseMargin = time.Second
	callTimeout = 2 * time.Second
	// writeTimeout bounds the steps around a write, retries included.
	writeTimeout = 10 * time.Second
)

// Cell is a cell that this host decides for. All its state is under one lock.
type Cell struct {
	Name string

	c       *Config
	hold    ledger.Hold
	taken   time.Time
	log     zerolog.Logger
	deposed func(why string)
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	dirty   chan struct{}
	subs    []*timer.Subscription

	mu       sync.Mutex
	jobs     map[jobs.Key]*job
	nodes    map[string]*node
	seats    board.Seats
	waits    map[jobs.Key]place.Wait
	attempts int64
	declared map[string]float64
	unseated map[string]bool
	// recent holds the jobs that ended or moved, so that a scan that read their
	// rows before doesn't bring them back.
	recent map[jobs.Key]departure
	// quiet says that nothing new is started before a planned handover.
	quiet bool
	// replanned is when time alone last asked for a plan.
	replanned time.Time
}

// job is a job in memory.
type job struct {
	ledger.Entry
	attempt   jobs.Attempt
	members   []member
	guarantee string
	// refusals counts the attempts of which nothing was started.
	refusals int
	// halt is why the members are being stopped, and since when.
	halt   haltReason
	detail string
	halted time.Time
	// avoid tells until when the job is kept from targets that failed it,
	// failures counts its broken attempts, and restarts the attempts that ended
	// for other reasons.
	avoid    map[string]time.Time
	failures int
	restarts int
	// notBefore keeps a job that was refused from being placed at once again.
	notBefore time.Time
	// gone says that a target is gone for good that may have run a member.
	gone bool
	// cancelled says that the caller wants the job stopped.
	cancelled bool
	// saving says that its outcome is being written.
	saving bool
	// verifying says that large outputs are being read.
	verifying bool
	// moving says that it is being handed to another cell.
	moving bool
	done   chan struct{}
}

// member is one task of the current attempt.
type member struct {
	target  string
	state   target.TaskState
	started bool
	// asked says that an order to start was sent, so that the member may run
	// even if its target never answered.
	asked  bool
	detail string
	output jobs.Part
	// verified says that the output was read and is whole.
	verified bool
}

// ended reports whether the member is known to run no more.
func (m *member) ended() bool { return m.state != "" && m.state.Ended() }

// take keeps the output of a complete task. An output that isn't whole makes
// the task a broken one.
func (m *member) take(t *target.Task) {
	o := t.Output
	m.output = o
	if o.Member != t.ID.Member || o.Object == "" && !o.Verify(o.Data) {
		m.spoil()
		return
	}
	m.verified = o.Object == ""
}

// spoil makes a complete task a broken one, because its output isn't whole.
func (m *member) spoil() { m.state, m.detail = target.Broken, "output is not whole" }

// departure is when a job left the cell, and the version of its row before.
type departure struct {
	at      time.Time
	version int64
}

// haltReason is why a gang is stopped.
type haltReason string

const (
	haltNone      haltReason = ""
	haltCancelled haltReason = "Cancelled"
	haltPreempted haltReason = "Preempted"
	haltFailed    haltReason = "Failed"
	haltLost      haltReason = "Lost"
)

func newJob(e ledger.Entry) *job {
	return &job{Entry: e, avoid: map[string]time.Time{}, done: make(chan struct{})}
}

// key returns the job's identity.
func (j *job) key() jobs.Key { return j.Record.Spec.Key() }

// spec returns what the caller asked for.
func (j *job) spec() *jobs.Spec { return &j.Record.Spec }

// New returns a cell held under h. It does nothing until Run. It calls deposed
// once another decider has fenced it.
func New(c *Config, h ledger.Hold, taken time.Time, deposed func(why string)) *Cell {
	x := &Cell{
		Name: h.Cell, c: c, hold: h, taken: taken, deposed: deposed,
		log:   c.Log.With().Str("cell", h.Cell).Int64("epoch", h.Epoch).Logger(),
		dirty: make(chan struct{}, 1),
		jobs:  map[jobs.Key]*job{}, nodes: map[string]*node{}, seats: board.Seats{},
		waits: map[jobs.Key]place.Wait{}, declared: map[string]float64{}, unseated: map[string]bool{},
		recent: map[jobs.Key]departure{},
	}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	return x
}

// Run starts the cell's work.
func (c *Cell) Run() {
	c.mu.Lock()
	c.meetTargets()
	c.mu.Unlock()
	c.subs = append(c.subs,
		c.c.Timer.Every(tickPeriod, c.tick),
		c.c.Timer.Every(rescanPeriod, func(time.Time) { c.rescan() }))
	c.wg.Add(1)
	go c.plans()
	c.wake()
}

// Close ends the cell's work on this host. Its tasks go on at the targets.
func (c *Cell) Close() {
	c.cancel()
	for _, s := range c.subs {
		s.Cancel()
	}
	c.wg.Wait()
}

// lost gives the cell up because another decider has fenced this one.
func (c *Cell) lost(why string) { c.deposed(why) }

// wake asks for a new plan.
func (c *Cell) wake() {
	select {
	case c.dirty <- struct{}{}:
	default:
	}
}

// now returns the time.
func (c *Cell) now() time.Time { return c.c.Timer.Now() }

// Epoch returns the epoch that the cell is held under.
func (c *Cell) Epoch() int64 { return c.hold.Epoch }

// Size returns the number of jobs.
func (c *Cell) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs)
}

// event adds to a job's explanation. The lock is held.
func (c *Cell) event(j *job, what, detail string) {
	j.Record.Log(jobs.Event{
		Time: c.now(), What: what, Detail: detail, Host: c.c.Host,
		Epoch: c.hold.Epoch, Revision: c.c.Book.Number(),
	})
}

// fire moves a job. A move that its state forbids is a bug. The lock is held.
func (c *Cell) fire(j *job, t jobs.Trigger) {
	if err := j.Record.Fire(t); err != nil {
		panic(err)
	}
}

// Submit takes a job that was inserted or moved here. A job that is known
// already stays as it is.
func (c *Cell) Submit(e ledger.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := e.Record.Spec.Key()
	if d, gone := c.recent[k]; gone && e.Version <= d.version {
		return
	}
	if c.jobs[k] != nil || e.Record.Final() || e.Record.Cell != c.Name {
		return
	}
	if e.Record.State != jobs.Waiting || e.Record.Attempt.Epoch > 0 {
		return
	}
	c.jobs[k] = newJob(e)
	c.wake()
}

// Cancel stops a job, and reports whether the cell has it.
func (c *Cell) Cancel(k jobs.Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[k]
	if j == nil || j.moving {
		return false
	}
	if !j.cancelled && !j.saving {
		j.cancelled = true
		c.event(j, "CancelRequested", "")
		c.advance(j)
		c.wake()
	}
	return true
}

// Wait returns a copy of a job's record when it has ended or wait is over. It
// reports whether the cell has the job.
func (c *Cell) Wait(ctx context.Context, k jobs.Key, wait time.Duration) (jobs.Record, bool) {
	c.mu.Lock()
	j := c.jobs[k]
	c.mu.Unlock()
	if j == nil {
		return jobs.Record{}, false
	}
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-j.done:
		case <-t.C:
		case <-ctx.Done():
		case <-c.ctx.Done():
			return jobs.Record{}, false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := *j.Record
	if j.saving {
		// The outcome counts only once it is written.
		r.State, r.Outcome, r.Answer = jobs.Stopping, "", nil
	}
	r.Events = append([]jobs.Event(nil), r.Events...)
	return r, true
}

// Free returns the accelerators that no task holds.
func (c *Cell) Free() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, x := range c.nodes {
		if x.open() {
			n += x.room().Accelerators
		}
	}
	for _, j := range c.jobs {
		if len(j.members) > 0 {
			n -= j.spec().Shape.Accelerators()
		}
	}
	return max(n, 0)
}

// meetTargets starts and ends conversations as the list of hosts says. The
// lock is held.
func (c *Cell) meetTargets() {
	listed := map[string]fleet.Host{}
	for _, h := range c.c.Hosts.Targets(c.Name) {
		listed[h.ID] = h
	}
	for id, h := range listed {
		x := c.nodes[id]
		if x != nil && x.host.Address == h.Address {
			x.host, x.listed = h, true
			continue
		}
		if x != nil {
			x.cancel()
		}
		c.meet(h)
	}
	for id, x := range c.nodes {
		if _, ok := listed[id]; !ok {
			x.listed = false
			if !x.answers(c.now(), c.c.Bounds.Lease) && !c.uses(id) {
				x.cancel()
				delete(c.nodes, id)
			}
		}
	}
}

// uses reports whether a job has a member on a target. The lock is held.
func (c *Cell) uses(id string) bool {
	for _, j := range c.jobs {
		for i := range j.members {
			if j.members[i].target == id && !j.members[i].ended() {
				return true
			}
		}
	}
	return false
}

// Quiesce makes the cell start nothing new.
func (c *Cell) Quiesce() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quiet = true
}

// Launching reports whether a gang is between placement and start.
func (c *Cell) Launching() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		if j.Record.State == jobs.Starting {
			return true
		}
	}
	return false
}
