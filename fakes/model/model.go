// Package model simulates the workers of the users' platform on a clock that the
// caller advances: leases, fences, gangs, ends of runs, incarnations of workers and
// maintenance of machines.
package model

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TaskProfile describes how the simulated tasks of a step behave. Tests put a list
// of profiles, one for each step, into a job's spec.
type TaskProfile struct {
	// Work is how long a task runs.
	Work time.Duration
	// Lasts, if positive, makes a task long-running: it serves for this long after
	// its start-up, which takes Work.
	Lasts time.Duration
	// Gang is the number of members of the gang, 0 for single tasks.
	Gang int
	// FailOneIn, if positive, makes about one in FailOneIn runs fail.
	FailOneIn int
	// Checkpoint says that stopping a run saves its progress.
	Checkpoint bool
	// Advised tasks start only with a ticket of the advice service.
	Advised bool
	// Tail is the tail latency of a latency-sensitive task, and Target the limit
	// below which it must stay. Harm is what a best-effort task at full pace adds
	// to the tail latency of each task on its worker.
	Tail, Target, Harm time.Duration
	// CPU in thousandths of a core, Memory in MiB and Accelerators are the demand.
	CPU, Memory, Accelerators int64
}

// Spec returns the spec of a job with a profile for each step.
func Spec(l ...TaskProfile) string {
	b, err := json.Marshal(l)
	if err != nil {
		panic("profiles can't be encoded: " + err.Error())
	}
	return string(b)
}

// Bounds are limits and durations of the platform: the longest lease, the time to
// stop a run, how long a member waits for its gang, and the time of a maintenance.
type Bounds struct {
	MaxHold, StopTime, GangTimeout, MaintenanceTime time.Duration
}

// End is a run that has ended. N counts the ends within an incarnation, How is the
// platform's name for the way it ended, and Saved is its checkpoint.
type End struct {
	N     int64
	Task  string
	Run   int
	How   string
	Saved string
}

// ActiveRun is a run that has started and not ended.
type ActiveRun struct {
	Task  string
	Run   int
	Saved string
	// Percent is how much of the work is done.
	Percent int
	// TailMS is the tail latency of a latency-sensitive task, in milliseconds.
	TailMS int
	// Pace is the share of its speed at which the task may run, in percent. It
	// scales Harm; the simulated progress ignores it.
	Pace int

	profile TaskProfile
	// gangKey is the same for all members of a gang's run.
	gangKey string
	// checkpointOwner names the task, or the gang, whose checkpoints the run uses.
	checkpointOwner string
	acceptedAt      time.Duration
	// workStart is when the task began to work, 0 while its gang is incomplete.
	workStart time.Duration
	// resumedFrom is the progress restored from a checkpoint.
	resumedFrom time.Duration
	// stopAt is when an ordered stop takes effect, 0 if none was ordered.
	stopAt time.Duration
}

// Worker is one incarnation of a worker.
type Worker struct {
	ID string
	// Born distinguishes the incarnations of an ID.
	Born int64
	// Replaces is the ID of the worker that left and was replaced by this one, or empty.
	Replaces string
	// Unreachable makes calls to the worker get no answer. Its runs go on.
	Unreachable bool
	// RefusesStarts makes the worker refuse all starts for want of room.
	RefusesStarts bool
	// FailsAll makes all work that the worker completes fail instead.
	FailsAll bool

	CPU, Memory, Accelerators int64
	// Overcommits makes the worker start tasks beyond its capacity.
	Overcommits bool
	// Rate is the speed of the worker's clock relative to the cluster's.
	Rate float64
	// TailFactor multiplies the tail latency of the worker's tasks; 0 means 1.
	TailFactor float64

	c     *Cluster
	start time.Duration
	// fence is the highest fence of all orders so far.
	fence int64
	// deadline is when the lease ends, in milliseconds of the worker's clock.
	deadline int64
	lastEndN int64
	runs     map[string]*ActiveRun
	// ends are the ends that the decider hasn't acknowledged.
	ends []End
	// lastEndedRun is the highest run of each task that has ended or was stopped.
	// Starts of it and of earlier runs are refused.
	lastEndedRun map[string]int
	up           bool
	lastLapse    time.Duration
	// hungSince is when the worker's tasks hung, 0 if they don't hang.
	hungSince time.Duration
}

// Cluster is a set of workers that run gangs together, and their machines.
type Cluster struct {
	Bounds Bounds
	// Workers are the last incarnations by ID, including those that are down.
	Workers map[string]*Worker
	// OnStart and OnEnd, if not nil, are called when a run has started or ended.
	OnStart func(w *Worker, p *ActiveRun)
	OnEnd   func(w *Worker, e End)
	// EndsPerPage is the most ends in the answer to one Hold.
	EndsPerPage int
	// Machines host the workers. Waves are the maintenance waves by number.
	Machines []*Machine
	Waves    map[int64]Wave
	// OnMaintenance, if not nil, is called before maintenance takes down a worker.
	OnMaintenance func(w *Worker)
	// OnReplacement, if not nil, is called when w has replaced old on its machine.
	OnReplacement func(old, w *Worker)
	// Unfenced makes machines carry out orders whose token is lower than that of an earlier one.
	// OnLowerToken, if not nil, is called before.
	Unfenced     bool
	OnLowerToken func(machine string, token, highest int64)
	// OnViolation, if not nil, is called when orders break a rule of the platform.
	OnViolation func(text string)

	now time.Duration
	// workerIDs are the IDs in the order in which they were added.
	workerIDs []string
	// ticketExpiry is when the tickets of the advice service expire.
	ticketExpiry map[grant]time.Duration
	// homes are the workers that the advice service's policy always allows, by step.
	homes map[string]string
}

// defaultEndsPerPage is the platform's limit.
const defaultEndsPerPage = 500

// NewCluster returns a Cluster without workers.
func NewCluster(b Bounds) *Cluster {
	return &Cluster{Bounds: b, EndsPerPage: defaultEndsPerPage, Workers: map[string]*Worker{}, Waves: map[int64]Wave{}, ticketExpiry: map[grant]time.Duration{}, homes: map[string]string{}}
}

// Add starts an incarnation of a worker without runs.
func (c *Cluster) Add(now time.Duration, w *Worker) {
	if c.Workers[w.ID] == nil {
		c.workerIDs = append(c.workerIDs, w.ID)
	}
	if w.Rate == 0 {
		w.Rate = 1
	}
	w.c, w.start, w.up = c, now, true
	w.runs, w.lastEndedRun = map[string]*ActiveRun{}, map[string]int{}
	w.fence, w.deadline, w.lastEndN, w.ends = 0, 0, 0, nil
	c.Workers[w.ID] = w
}

// Crash takes a worker down. Its runs are lost; OnEnd gets each with How "crash".
// Gangs with a member on it break.
func (c *Cluster) Crash(id string) {
	w := c.Workers[id]
	if w == nil || !w.up {
		return
	}
	w.up = false
	for _, p := range w.sortedRuns() {
		if c.OnEnd != nil {
			c.OnEnd(w, End{Task: p.Task, Run: p.Run, How: "crash"})
		}
		c.breakGang(p)
	}
	w.runs = map[string]*ActiveRun{}
}

// Hang stops the progress of the worker's tasks, or lets it go on. The worker itself
// still answers calls.
func (w *Worker) Hang(hang bool) {
	switch {
	case hang && w.hungSince == 0:
		w.hungSince = max(w.c.now, 1)
	case !hang && w.hungSince > 0:
		for _, p := range w.runs {
			if p.workStart > 0 {
				p.workStart += w.c.now - max(w.hungSince, p.workStart)
			}
		}
		w.hungSince = 0
	}
}

// CompleteJob sets the progress of a job's active runs to all of their work, so that
// all but long-running ones end at once.
func (c *Cluster) CompleteJob(job string) {
	for _, w := range c.Workers {
		for _, p := range w.runs {
			if strings.HasPrefix(p.Task, job+".") {
				p.resumedFrom = p.profile.Work
			}
		}
	}
}

// Up reports whether the worker hasn't crashed.
func (w *Worker) Up() bool { return w.up }

// ClockMS returns the worker's clock, in milliseconds. It starts at 1 with each
// incarnation.
func (w *Worker) ClockMS() int64 { return 1 + int64(float64((w.c.now-w.start).Milliseconds())*w.Rate) }

// timeOfClock returns the cluster's time just after the worker's clock shows ms.
func (w *Worker) timeOfClock(ms int64) time.Duration {
	return w.start + time.Duration(float64(ms-1)/w.Rate*float64(time.Millisecond)) + time.Millisecond
}

// sortedRuns returns the active runs by task ID, as the order of events must not
// depend on that of a map.
func (w *Worker) sortedRuns() []*ActiveRun {
	l := make([]*ActiveRun, 0, len(w.runs))
	for _, p := range w.runs {
		l = append(l, p)
	}
	slices.SortFunc(l, func(a, b *ActiveRun) int {
		if a.Task < b.Task {
			return -1
		}
		return 1
	})
	return l
}

// LastLapse returns when the worker was last found without a valid lease: now if it has
// none. The start of its first lease counts, so the result is 0 only if that was at 0.
func (w *Worker) LastLapse() time.Duration {
	if w.deadline < w.ClockMS() {
		return w.c.now
	}
	return w.lastLapse
}

// extend extends the lease until the worker's clock shows ms, at most by
// Bounds.MaxHold from now. It never shortens the lease.
func (w *Worker) extend(ms int64) {
	if w.deadline < w.ClockMS() {
		w.lastLapse = w.c.now
	}
	ms = min(ms, w.ClockMS()+int64(float64(w.c.Bounds.MaxHold.Milliseconds())))
	w.deadline = max(w.deadline, ms)
}

// Order is an order to start a run.
type Order struct {
	Task       string
	Run        int
	Spec       string
	Saved      string
	Fence      int64
	DeadlineMS int64
	Ticket     string
}

// Start carries out an order to start a run. It returns the reason of a refusal, or
// "" if the run starts or is active already.
func (w *Worker) Start(o Order) string {
	if o.Fence < w.fence {
		return "fence"
	}
	w.fence = o.Fence
	if o.DeadlineMS <= w.ClockMS() {
		return "late"
	}
	if p := w.runs[o.Task]; p != nil && p.Run == o.Run {
		w.extend(o.DeadlineMS)
		return ""
	}
	if o.Run <= w.lastEndedRun[o.Task] || w.runs[o.Task] != nil {
		w.extend(o.DeadlineMS)
		return "old"
	}
	p, err := w.newRun(o)
	if err != nil {
		return "late"
	}
	if p.profile.Advised && !w.hasTicket(o) {
		return "ticket"
	}
	if w.RefusesStarts || !w.Overcommits && !w.fits(p.profile) {
		w.extend(o.DeadlineMS)
		return "room"
	}
	w.extend(o.DeadlineMS)
	w.runs[o.Task] = p
	if w.c.OnStart != nil {
		w.c.OnStart(w, p)
	}
	w.c.beginWork(p)
	return ""
}

// newRun returns the run that an order asks for, with its profile from the spec and
// its progress from the checkpoint.
func (w *Worker) newRun(o Order) (*ActiveRun, error) {
	var l []TaskProfile
	if err := json.Unmarshal([]byte(o.Spec), &l); err != nil {
		return nil, err
	}
	var job string
	var k, step, index int
	if _, err := fmt.Sscanf(o.Task, "%16s.%d.%d.%d", &job, &k, &step, &index); err != nil {
		return nil, err
	}
	if step >= len(l) {
		return nil, fmt.Errorf("no profile for step %d", step)
	}
	p := &ActiveRun{Task: o.Task, Run: o.Run, Saved: o.Saved, Pace: 100, profile: l[step], acceptedAt: w.c.now, gangKey: fmt.Sprintf("%s.%d.%d/%d", job, k, step, o.Run)}
	p.checkpointOwner = o.Task
	if p.profile.Gang > 0 {
		p.checkpointOwner = fmt.Sprintf("%s.%d.%d", job, k, step)
	}
	if o.Saved != "" {
		ms, err := w.c.restore(p, o.Saved)
		if err != nil {
			return nil, err
		}
		p.resumedFrom = time.Duration(ms) * time.Millisecond
	}
	return p, nil
}

// checkpoint returns the text of a checkpoint: a checksum of its owner, followed by
// the progress in milliseconds.
func checkpoint(owner string, progress time.Duration) string {
	return fmt.Sprintf("%08x%08x", crc32.ChecksumIEEE([]byte(owner)), progress.Milliseconds())
}

// restore returns the progress in a checkpoint. It reports a checkpoint of another
// task or gang to OnViolation.
func (c *Cluster) restore(p *ActiveRun, saved string) (ms int64, err error) {
	if len(saved) != 16 {
		return 0, fmt.Errorf("checkpoint %q", saved)
	}
	ms, err = strconv.ParseInt(saved[8:], 16, 64)
	if err != nil {
		return 0, err
	}
	if saved != checkpoint(p.checkpointOwner, time.Duration(ms)*time.Millisecond) {
		c.violation("UNASKED: %s run %d starts with a checkpoint of another task", p.Task, p.Run)
	}
	return ms, nil
}

// violation reports to OnViolation that an order breaks a rule of the platform.
func (c *Cluster) violation(format string, a ...any) {
	if c.OnViolation != nil {
		c.OnViolation(fmt.Sprintf(format, a...))
	}
}

// Overcommitted reports whether the active runs exceed the worker's capacity.
func (w *Worker) Overcommitted() bool { return !w.fits(TaskProfile{}) }

// FittingTasks returns how many more tasks of a demand the worker has capacity for, 0
// if it is down.
func (w *Worker) FittingTasks(cpu, memory, accelerators int64) int {
	if !w.up {
		return 0
	}
	n := 0
	for w.fits(TaskProfile{CPU: cpu * int64(n+1), Memory: memory * int64(n+1), Accelerators: accelerators * int64(n+1)}) {
		n++
	}
	return n
}

// fits reports whether the worker has capacity for a task beside its active runs.
func (w *Worker) fits(s TaskProfile) bool {
	// The CPU demand of best-effort tasks doesn't count, as they use CPU time that other
	// tasks leave idle.
	if s.Harm > 0 {
		s.CPU = 0
	}
	for _, p := range w.runs {
		if p.profile.Harm == 0 {
			s.CPU += p.profile.CPU
		}
		s.Memory += p.profile.Memory
		s.Accelerators += p.profile.Accelerators
	}
	return s.CPU <= w.CPU && s.Memory <= w.Memory && s.Accelerators <= w.Accelerators
}

// beginWork starts the work of a single task, or that of a gang once all its members
// have started. It reports members with different checkpoints to OnViolation.
func (c *Cluster) beginWork(p *ActiveRun) {
	if p.profile.Gang == 0 {
		p.workStart = c.now
		return
	}
	l := c.gangMembers(p.gangKey)
	if len(l) < p.profile.Gang {
		return
	}
	for _, o := range l {
		o.p.workStart = c.now
		if o.p.Saved != p.Saved {
			c.violation("UNASKED: %s run %d starts with another checkpoint than %s", o.p.Task, o.p.Run, p.Task)
		}
	}
}

type member struct {
	w *Worker
	p *ActiveRun
}

// gangMembers returns the active members of a gang's run, in the order of their workers.
func (c *Cluster) gangMembers(key string) []member {
	var l []member
	for _, id := range c.workerIDs {
		w := c.Workers[id]
		if !w.up {
			continue
		}
		for _, p := range w.sortedRuns() {
			if p.gangKey == key {
				l = append(l, member{w, p})
			}
		}
	}
	return l
}

// breakGang ends the other members of a run's gang, if it has one.
func (c *Cluster) breakGang(p *ActiveRun) {
	if p.profile.Gang == 0 {
		return
	}
	for _, m := range c.gangMembers(p.gangKey) {
		if m.p != p {
			m.w.endRun(m.p, "broken")
		}
	}
}

// Stop carries out an order to stop a run, which ends Bounds.StopTime later. It
// returns the reason of a refusal, or "".
func (w *Worker) Stop(task string, run int, fence int64) string {
	if fence < w.fence {
		return "fence"
	}
	w.fence = fence
	w.lastEndedRun[task] = max(w.lastEndedRun[task], run)
	if p := w.runs[task]; p != nil && p.Run <= run && p.stopAt == 0 {
		p.stopAt = w.c.now + w.c.Bounds.StopTime
	}
	return ""
}

// Hold extends the lease until deadline, unless that is 0, and returns the active
// runs and the first ends after N seen, or the reason of a refusal.
func (w *Worker) Hold(fence, seen, deadline int64) ([]ActiveRun, []End, string) {
	if fence < w.fence {
		return nil, nil, "fence"
	}
	w.fence = fence
	if deadline > 0 {
		w.extend(deadline)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e End) bool { return e.N <= seen })
	l := make([]ActiveRun, 0, len(w.runs))
	for _, p := range w.sortedRuns() {
		q := *p
		if p.profile.Work > 0 {
			q.Percent = int(100 * p.progress(w.workingTime()) / p.profile.Work)
		}
		if p.profile.Target > 0 {
			q.TailMS = int(w.tail(p, true).Milliseconds())
		}
		l = append(l, q)
	}
	return l, slices.Clone(w.ends[:min(len(w.ends), w.c.EndsPerPage)]), ""
}

// Pace carries out an order to limit a run to a percentage of its speed. It returns
// the reason of a refusal, or "".
func (w *Worker) Pace(task string, run, percent int, fence int64) string {
	if fence < w.fence {
		return "fence"
	}
	w.fence = fence
	if p := w.runs[task]; p != nil && p.Run == run {
		p.Pace = percent
	}
	return ""
}

// tail returns the tail latency of a task, with or without the harm of best-effort
// tasks on the worker.
func (w *Worker) tail(p *ActiveRun, filled bool) time.Duration {
	d := p.profile.Tail
	if w.TailFactor > 0 {
		d = time.Duration(float64(d) * w.TailFactor)
	}
	for _, o := range w.runs {
		if filled {
			d += o.profile.Harm * time.Duration(o.Pace) / 100
		}
	}
	return d
}

// HarmedTasks returns the tasks on the worker that miss their latency target only
// because of best-effort tasks.
func (w *Worker) HarmedTasks() []string {
	var l []string
	for _, p := range w.sortedRuns() {
		if p.profile.Target > 0 && w.tail(p, true) >= p.profile.Target && w.tail(p, false) < p.profile.Target {
			l = append(l, p.Task)
		}
	}
	return l
}

// BestEffortPaces returns the pace of each best-effort task on the worker, in percent.
func (w *Worker) BestEffortPaces() map[string]int {
	m := map[string]int{}
	for _, p := range w.sortedRuns() {
		if p.profile.Harm > 0 {
			m[p.Task] = p.Pace
		}
	}
	return m
}

// Serving reports whether a long-running task on w has finished its start-up and is
// not being stopped.
func (w *Worker) Serving(task string) bool {
	p := w.runs[task]
	return w.up && p != nil && p.stopAt == 0 && p.workStart > 0 && p.progress(w.workingTime()) >= p.profile.Work
}

// workingTime returns the time up to which the worker's tasks have made progress: now,
// or when they hung.
func (w *Worker) workingTime() time.Duration {
	if w.hungSince > 0 {
		return w.hungSince
	}
	return w.c.now
}

// progress returns how much of a run's work is done at a time, including what a
// checkpoint restored.
func (p *ActiveRun) progress(now time.Duration) time.Duration {
	if p.workStart == 0 || now < p.workStart {
		return p.resumedFrom
	}
	return min(p.resumedFrom+now-p.workStart, p.profile.Work)
}

// endRun ends a run and appends it to the worker's ends. The other members of its
// gang end with it: all are done once one is, and break on any other end.
func (w *Worker) endRun(p *ActiveRun, how string) {
	if w.runs[p.Task] != p {
		return
	}
	delete(w.runs, p.Task)
	w.lastEndedRun[p.Task] = max(w.lastEndedRun[p.Task], p.Run)
	w.lastEndN++
	e := End{N: w.lastEndN, Task: p.Task, Run: p.Run, How: how, Saved: p.Saved}
	if how == "stopped" && p.profile.Checkpoint {
		e.Saved = checkpoint(p.checkpointOwner, p.progress(w.workingTime()))
	}
	w.ends = append(w.ends, e)
	if w.c.OnEnd != nil {
		w.c.OnEnd(w, e)
	}
	if how != "done" {
		w.c.breakGang(p)
		return
	}
	if p.profile.Gang > 0 {
		for _, m := range w.c.gangMembers(p.gangKey) {
			m.w.endRun(m.p, "done")
		}
	}
}

// nextEnd returns when a run ends if nothing else happens, and how.
func (w *Worker) nextEnd(p *ActiveRun) (time.Duration, string) {
	at, how := w.timeOfClock(w.deadline), "lapsed"
	if p.workStart > 0 && w.hungSince > 0 {
		// A hung run ends only by an order, or as its lease lapses.
	} else if p.workStart > 0 {
		outcome := "done"
		fails := p.profile.FailOneIn > 0 && xxhash.Sum64String(fmt.Sprint(p.Task, p.Run, w.ID))%uint64(p.profile.FailOneIn) == 0
		if fails || w.FailsAll {
			outcome = "failed"
		}
		if t := p.workStart + p.profile.Work + p.profile.Lasts - p.resumedFrom; t < at {
			at, how = t, outcome
		}
	} else if t := p.acceptedAt + w.c.Bounds.GangTimeout; t < at {
		at, how = t, "alone"
	}
	if p.stopAt > 0 && p.stopAt <= at {
		at, how = p.stopAt, "stopped"
	}
	return at, how
}

// firstEnd returns the active run of all workers that ends first, when and how. The
// run is nil if none is active.
func (c *Cluster) firstEnd() (*Worker, *ActiveRun, time.Duration, string) {
	var firstWorker *Worker
	var firstRun *ActiveRun
	var firstAt time.Duration
	var firstHow string
	for _, id := range c.workerIDs {
		w := c.Workers[id]
		if !w.up {
			continue
		}
		for _, p := range w.sortedRuns() {
			if t, how := w.nextEnd(p); firstRun == nil || t < firstAt {
				firstWorker, firstRun, firstAt, firstHow = w, p, t, how
			}
		}
	}
	return firstWorker, firstRun, firstAt, firstHow
}

// NextEvent returns the time of the next end of a run or of a maintenance. It is false
// if no run is active and no machine is in maintenance.
func (c *Cluster) NextEvent() (time.Duration, bool) {
	_, p, t, _ := c.firstEnd()
	returnsAt, ok := c.nextReturn()
	if ok && (p == nil || returnsAt < t) {
		return returnsAt, true
	}
	return t, p != nil
}

// Advance sets the time to now and carries out all ends due until then, in order.
func (c *Cluster) Advance(now time.Duration) {
	for {
		w, p, t, how := c.firstEnd()
		returnsAt, ok := c.nextReturn()
		switch {
		case ok && returnsAt <= now && (p == nil || returnsAt < t):
			c.now = max(c.now, returnsAt)
			c.endMaintenance()
			continue
		case p == nil || t > now:
			c.now = max(c.now, now)
			return
		}
		c.now = max(c.now, t)
		w.endRun(p, how)
	}
}
