// Package model is the workers of the users' platform on any clock: leases,
// fences, gangs, ends and lives.
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

// TaskProfile is what the stand-in's workers know of a step's tasks. Tests put it
// into a job's spec, by the number of the step.
type TaskProfile struct {
	// Work is how long a task takes.
	Work time.Duration
	// Lasts, if positive, is how long a long-running task goes on by itself
	// once it is at work, which takes it Work.
	Lasts time.Duration
	// Gang is the number of members, 0 for single tasks.
	Gang int
	// FailOneIn, if positive, makes one run in so many fail.
	FailOneIn int
	// Checkpoint says that a stop saves the progress.
	Checkpoint bool
	// Advised tasks start only with a ticket of the advice service.
	Advised bool
	// Tail is how long the slowest answers of a latency-sensitive task take, and
	// Target what they must stay below; Harm is what a best-effort task adds to
	// that on its worker, at full pace.
	Tail, Target, Harm time.Duration
	// Demand for each resource, in the platform's units.
	CPU, Memory, Accelerators int64
}

// Spec returns the text of a job's spec.
func Spec(l ...TaskProfile) string {
	b, err := json.Marshal(l)
	if err != nil {
		panic("shape can't be encoded: " + err.Error())
	}
	return string(b)
}

// Bounds of the model, as the platform's settings have them.
type Bounds struct {
	MaxHold, StopTime, GangTimeout, MaintenanceTime time.Duration
}

// End is a run that has ended.
type End struct {
	N     int64
	Task  string
	Run   int
	How   string
	Saved string
}

// ActiveRun is a run at work.
type ActiveRun struct {
	Task  string
	Run   int
	Saved string
	// Percent is how much of the work is done.
	Percent int
	// Figure is the tail of a latency-sensitive task, in milliseconds.
	Figure int
	// Pace is the share at which the task works and disturbs, in percent. Its
	// progress doesn't follow it here.
	Pace int

	profile TaskProfile
	gangKey string
	// checkpointOwner is whose checkpoints the task takes: its own, or its gang's.
	checkpointOwner string
	acceptedAt      time.Duration
	// workStart is when the task began to work, 0 while a gang is incomplete.
	workStart   time.Duration
	resumedFrom time.Duration
	stopAt      time.Duration
}

// Worker is one life of a worker.
type Worker struct {
	ID   string
	Born int64
	// Unreachable workers can't be reached and don't beat.
	Unreachable bool
	// FailsAll workers fail all that they start.
	FailsAll bool

	CPU, Memory, Accelerators int64
	// Overcommits workers start what doesn't fit.
	Overcommits bool
	// Rate is the speed of the worker's clock.
	Rate float64
	// TailFactor is what the tails of its tasks are multiplied by, 0 for 1.
	TailFactor float64

	c            *Cluster
	start        time.Duration
	fence        int64
	deadline     int64
	lastEndN     int64
	runs         map[string]*ActiveRun
	ends         []End
	lastEndedRun map[string]int
	up           bool
	lastLapse    time.Duration
	// hungSince is since when the tasks stand still, 0 if they don't.
	hungSince time.Duration
}

// Cluster is workers that run gangs together.
type Cluster struct {
	Bounds  Bounds
	Workers map[string]*Worker
	// OnStart and Stopped, if set, are told what begins and ends.
	OnStart func(w *Worker, p *ActiveRun)
	OnEnd   func(w *Worker, e End)
	// Machines are what workers live on, Waves their waves of upkeep.
	Machines []*Machine
	Waves    map[int64]Wave
	// OnMaintenance is told a worker whose upkeep begins, Joined the worker that
	// comes after another, Wrong what orders must not do. They may be nil.
	OnMaintenance func(w *Worker)
	OnReplacement func(old, w *Worker)
	OnViolation   func(text string)

	now       time.Duration
	workerIDs []string
	// ticketExpiry are those of the advice service, and until when they hold.
	ticketExpiry map[grant]time.Duration
}

// NewCluster returns a Cluster without workers.
func NewCluster(b Bounds) *Cluster {
	return &Cluster{Bounds: b, Workers: map[string]*Worker{}, Waves: map[int64]Wave{}, ticketExpiry: map[grant]time.Duration{}}
}

// Add begins a life of a worker.
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

// Crash ends a worker's life: nothing of it is left.
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

// Hang makes the worker's tasks stand still, or go on.
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

// CompleteJob makes all that is at work of a job come to its end at once.
func (c *Cluster) CompleteJob(job string) {
	for _, w := range c.Workers {
		for _, p := range w.runs {
			if strings.HasPrefix(p.Task, job+".") {
				p.resumedFrom = p.profile.Work
			}
		}
	}
}

// Up reports whether the worker lives.
func (w *Worker) Up() bool { return w.up }

// ClockMS is the worker's clock. It starts anew with each life.
func (w *Worker) ClockMS() int64 { return 1 + int64(float64((w.c.now-w.start).Milliseconds())*w.Rate) }

// timeOfClock returns when the worker's clock shows ms.
func (w *Worker) timeOfClock(ms int64) time.Duration {
	return w.start + time.Duration(float64(ms-1)/w.Rate*float64(time.Millisecond)) + time.Millisecond
}

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

// LastLapse returns when the worker was last found with a lease that had run out.
func (w *Worker) LastLapse() time.Duration {
	if w.deadline < w.ClockMS() {
		return w.c.now
	}
	return w.lastLapse
}

// extend makes the lease longer, up to the platform's bound.
func (w *Worker) extend(ms int64) {
	if w.deadline < w.ClockMS() {
		w.lastLapse = w.c.now
	}
	ms = min(ms, w.ClockMS()+int64(float64(w.c.Bounds.MaxHold.Milliseconds())))
	w.deadline = max(w.deadline, ms)
}

// Order is what a start carries.
type Order struct {
	Task       string
	Run        int
	Spec       string
	Saved      string
	Fence      int64
	DeadlineMS int64
	Ticket     string
}

// Start takes an order. It returns the reason of a refusal, or "".
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
	if !w.Overcommits && !w.fits(p.profile) {
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

// newRun reads what an order asks for.
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
		return nil, fmt.Errorf("no shape for step %d", step)
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

// checkpoint returns what a task saves: whose it is, and the progress.
func checkpoint(owner string, progress time.Duration) string {
	return fmt.Sprintf("%08x%08x", crc32.ChecksumIEEE([]byte(owner)), progress.Milliseconds())
}

// restore reads a checkpoint, which must be the task's, or its gang's.
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

func (c *Cluster) violation(format string, a ...any) {
	if c.OnViolation != nil {
		c.OnViolation(fmt.Sprintf(format, a...))
	}
}

// Overcommitted reports whether what runs is more than the worker has.
func (w *Worker) Overcommitted() bool { return !w.fits(TaskProfile{}) }

// FittingTasks returns how many tasks of a demand fit beside what runs, 0 if the worker
// is gone.
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

// fits reports whether a task fits beside what runs.
func (w *Worker) fits(s TaskProfile) bool {
	// The processor of best-effort tasks isn't counted.
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

// beginWork lets a task work, or a gang once all its members are there.
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

// breakGang ends the other members of a gang.
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

// Stop takes an order to stop a run. It returns the reason of a refusal.
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

// Hold extends the lease and returns what runs and what has ended.
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
			q.Figure = int(w.tail(p, true).Milliseconds())
		}
		l = append(l, q)
	}
	return l, slices.Clone(w.ends), ""
}

// Pace takes an order to let a run work at a share of its speed. It returns
// the reason of a refusal.
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

// tail returns how long the slowest answers of a task take, with the best-effort ones
// beside it or without.
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

// HarmedTasks returns the tasks on the worker that are over their target, and would
// not be without the best-effort ones beside them.
func (w *Worker) HarmedTasks() []string {
	var l []string
	for _, p := range w.sortedRuns() {
		if p.profile.Target > 0 && w.tail(p, true) >= p.profile.Target && w.tail(p, false) < p.profile.Target {
			l = append(l, p.Task)
		}
	}
	return l
}

// BestEffortPaces returns the pace of each best-effort task on the worker.
func (w *Worker) BestEffortPaces() map[string]int {
	m := map[string]int{}
	for _, p := range w.sortedRuns() {
		if p.profile.Harm > 0 {
			m[p.Task] = p.Pace
		}
	}
	return m
}

// Serving reports whether a task works on w and is not being stopped: a
// long-running one serves.
func (w *Worker) Serving(task string) bool {
	p := w.runs[task]
	return w.up && p != nil && p.stopAt == 0 && p.workStart > 0 && p.progress(w.workingTime()) >= p.profile.Work
}

// workingTime is the time up to which the worker's tasks have worked.
func (w *Worker) workingTime() time.Duration {
	if w.hungSince > 0 {
		return w.hungSince
	}
	return w.c.now
}

// progress returns how much of a run's work is done.
func (p *ActiveRun) progress(now time.Duration) time.Duration {
	if p.workStart == 0 || now < p.workStart {
		return p.resumedFrom
	}
	return min(p.resumedFrom+now-p.workStart, p.profile.Work)
}

// endRun takes a run off the worker.
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

// nextEnd returns when something happens to a run, and what.
func (w *Worker) nextEnd(p *ActiveRun) (time.Duration, string) {
	at, how := w.timeOfClock(w.deadline), "lapsed"
	if p.workStart > 0 && w.hungSince > 0 {
		// It ends by an order or by its lease.
	} else if p.workStart > 0 {
		how2 := "done"
		fails := p.profile.FailOneIn > 0 && xxhash.Sum64String(fmt.Sprint(p.Task, p.Run, w.ID))%uint64(p.profile.FailOneIn) == 0
		if fails || w.FailsAll {
			how2 = "failed"
		}
		if t := p.workStart + p.profile.Work + p.profile.Lasts - p.resumedFrom; t < at {
			at, how = t, how2
		}
	} else if t := p.acceptedAt + w.c.Bounds.GangTimeout; t < at {
		at, how = t, "alone"
	}
	if p.stopAt > 0 && p.stopAt <= at {
		at, how = p.stopAt, "stopped"
	}
	return at, how
}

// firstEnd returns the run to which something happens first.
func (c *Cluster) firstEnd() (*Worker, *ActiveRun, time.Duration, string) {
	var bw *Worker
	var bp *ActiveRun
	var bt time.Duration
	var bh string
	for _, id := range c.workerIDs {
		w := c.Workers[id]
		if !w.up {
			continue
		}
		for _, p := range w.sortedRuns() {
			if t, how := w.nextEnd(p); bp == nil || t < bt {
				bw, bp, bt, bh = w, p, t, how
			}
		}
	}
	return bw, bp, bt, bh
}

// NextEvent returns when something happens by itself. It is false if nothing runs.
func (c *Cluster) NextEvent() (time.Duration, bool) {
	_, p, t, _ := c.firstEnd()
	back, ok := c.nextReturn()
	if ok && (p == nil || back < t) {
		return back, true
	}
	return t, p != nil
}

// Advance lets time pass.
func (c *Cluster) Advance(now time.Duration) {
	for {
		w, p, t, how := c.firstEnd()
		back, ok := c.nextReturn()
		switch {
		case ok && back <= now && (p == nil || back < t):
			c.now = max(c.now, back)
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
