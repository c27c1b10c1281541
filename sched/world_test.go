package sched

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"citronbridge/event"
	"citronbridge/fakes/model"
	"citronbridge/maint"
	"citronbridge/track"
	"citronbridge/work"
)

// world plays a pool on virtual time: workers, a store, deciders that come
// and go, and a network that loses, delays and repeats.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	queue   timeline
	cluster *model.Cluster
	rules   *work.Rules
	faults  faults
	quiet   time.Duration

	// The store.
	jobs     map[string]*work.Job
	records  map[string][]byte
	canceled map[string]time.Duration
	acked    map[string]time.Duration
	known    map[string]knownRow
	epoch    int64
	storeUp  bool
	listed   map[string]bool
	// progress is the row of the wave of maintenance, at a version.
	progress maint.Progress
	version  int64
	fences   map[string]int64

	deciders []*player
	// cost is the processor time that a call, and its answer, takes a decider's
	// host, 0 if that is no matter. Calls time out meanwhile.
	cost time.Duration
	// touch is from when on the deciders' hosts are in touch.
	touch time.Duration
	// selective steps take few of the workers, see playSelective. Workers that are
	// changed are of the other kind.
	selective bool
	changed   map[string]bool
	// sender is the decider whose order is being carried out, born the worker's life
	// that it knew when it sent that, late says that this was long ago.
	sender *player
	born   int64
	late   bool
	// drains says when workers began to drain, leaves when they may leave, on their
	// clocks.
	drains map[string]time.Duration
	leaves map[string]int64
	// deaf workers get no starts; all else reaches them.
	deaf map[string]bool
	// callsUnderWay counts the calls of workers without an answer, mostUnderWay is
	// the most there were.
	callsUnderWay, mostUnderWay int
	// wave is the wave of maintenance that is asked for, nil if none is.
	wave     *maint.Wave
	finished bool
	// What has happened.
	active  map[string][]*act
	ends    map[string][]*fact
	failed  map[string]int
	serving map[string]*serving
	broken  []string
	starts  int
	trace   []string
	tracing bool
}

// faults switch on what the network and the hosts do, and what is left out of
// the decider on purpose.
type faults struct {
	noFence, noInherit, earlySeen, weakCancel bool
	// staleLapse leaves it recorded that a lease isn't renewed when it is.
	staleLapse bool
	// noWindow bounds no orders under way.
	noWindow bool
	// spread sends the starts of a step's tasks one after the other, each a while
	// behind the one before.
	spread time.Duration
	// weakProgress answers that a wave's progress is written, and forgets it
	// with the decider that wrote it.
	weakProgress bool
}

// knownRow is what the store has of a worker.
type knownRow struct {
	address  string
	lapsing  bool
	lapsesAt time.Duration
}

type act struct {
	w   string
	run int
}

// serving is what is known of a long-running task.
type serving struct {
	// began is the last start, atWork when the task was last seen at work.
	began, atWork time.Duration
	// ended is the last end, kept when the task last had no reason to run.
	ended, kept time.Duration
	// ordered says that an order ended the last run.
	ordered bool
}

// fact is an end as done.
type fact struct {
	at     time.Duration
	worker string
	born   int64
	n      int64
	noted  bool
	later  bool
}

// player is a decider and what it can reach.
type player struct {
	w      *world
	s      *State
	epoch  int64
	dead   bool
	paused time.Duration
	// joined is when the last cut ended.
	joined    time.Duration
	cut       bool
	cutFrom   map[string]bool
	confirmed time.Duration
	flushAt   time.Duration
	// loaded is when parts were listed.
	loaded  map[string]time.Duration
	backlog []func()
	missed  []func()
	// rows are the writes of workers' rows, one after the other.
	rows []func()
	// busy is until when the host's processor has work.
	busy time.Duration
}

type happening struct {
	at time.Duration
	n  int
	f  func()
}

type timeline struct {
	l []happening
	n int
}

func (t *timeline) Len() int { return len(t.l) }
func (t *timeline) Less(i, j int) bool {
	return t.l[i].at < t.l[j].at || (t.l[i].at == t.l[j].at && t.l[i].n < t.l[j].n)
}
func (t *timeline) Swap(i, j int) { t.l[i], t.l[j] = t.l[j], t.l[i] }
func (t *timeline) Push(x any)    { t.l = append(t.l, x.(happening)) }
func (t *timeline) Pop() any {
	x := t.l[len(t.l)-1]
	t.l = t.l[:len(t.l)-1]
	return x
}

// wallStart is the time of day at which worlds begin, in Unix milliseconds.
const wallStart = 1_700_000_000_000

func newWorld(seed uint64, f faults) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), faults: f, quiet: 30 * time.Second,
		jobs: map[string]*work.Job{}, records: map[string][]byte{}, canceled: map[string]time.Duration{}, acked: map[string]time.Duration{},
		known: map[string]knownRow{}, storeUp: true, listed: map[string]bool{}, fences: map[string]int64{}, changed: map[string]bool{}, drains: map[string]time.Duration{}, leaves: map[string]int64{},
		active: map[string][]*act{}, ends: map[string][]*fact{}, failed: map[string]int{}, serving: map[string]*serving{},
	}
	w.rules = &work.Rules{Version: 1, Queues: map[string]*work.Queue{
		"urgent":  {Name: "urgent", Pool: "p", Priority: 0, MaxAttempts: 2, Stretch: 2, Slack: time.Second},
		"advised": {Name: "advised", Pool: "p", Priority: 1, MaxAttempts: 3, Stretch: 3, Slack: time.Second, Advice: true},
		"long":    {Name: "long", Pool: "p", Priority: 1, MaxAttempts: 3, Stretch: 3, Slack: time.Second},
	}, Pools: map[string]*work.Pool{"p": {Name: "p"}}}
	w.rules.Index()
	w.cluster = model.NewCluster(model.Bounds{MaxHold: maxHold, StopTime: 200 * time.Millisecond, GangTimeout: gangTimeout, MaintenanceTime: maintenanceTime})
	w.cluster.OnStart, w.cluster.OnEnd = w.started, w.stopped
	w.cluster.OnViolation = func(text string) { w.fail("%s", text) }
	return w
}

// after schedules f.
func (w *world) after(d time.Duration, f func()) {
	w.queue.n++
	heap.Push(&w.queue, happening{w.now + d, w.queue.n, f})
}

// run plays until a time.
func (w *world) run(until time.Duration) {
	for len(w.broken) == 0 {
		at, ok := w.cluster.NextEvent()
		if len(w.queue.l) > 0 && (!ok || w.queue.l[0].at <= at) {
			if w.queue.l[0].at > until {
				return
			}
			h := heap.Pop(&w.queue).(happening)
			w.now = max(w.now, h.at)
			w.cluster.Advance(w.now)
			h.f()
			continue
		}
		if !ok || at > until {
			return
		}
		w.now = max(w.now, at)
		w.cluster.Advance(w.now)
	}
}

func (w *world) fail(format string, a ...any) {
	w.broken = append(w.broken, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, a...))
}

func (w *world) log(format string, a ...any) {
	if w.tracing {
		w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Seconds())+fmt.Sprintf(format, a...))
	}
}

// between returns a time between two.
func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Int64N(int64(b-a)+1))
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// disturbed is a chance that only counts while faults are played.
func (w *world) disturbed(p float64) bool { return w.now < w.quiet && w.chance(p) }

// started checks a start.
func (w *world) started(x *model.Worker, p *model.ActiveRun) {
	w.starts++
	w.log("START %s run %d on %s (life %d)", p.Task, p.Run, x.ID, x.Born)
	if l := w.active[p.Task]; len(l) > 0 {
		w.fail("TWICE: %s run %d starts on %s while run %d is on %s", p.Task, p.Run, x.ID, l[0].run, l[0].w)
	}
	w.active[p.Task] = append(w.active[p.Task], &act{x.ID, p.Run})
	for _, f := range w.ends[p.Task] {
		f.later = true
		if f.noted {
			w.fail("TWICE: %s run %d starts after it was done", p.Task, p.Run)
		}
	}
	if x.Overcommits && x.Overcommitted() {
		w.fail("LIMIT: %s brings %s over its capacity", p.Task, x.ID)
	}
	id, err := work.ParseTaskID(p.Task)
	if err != nil {
		w.fail("task name %q", p.Task)
		return
	}
	j := w.jobs[id.Job]
	if j.Steps[id.Step].LongRunning {
		w.task(p.Task).began = w.now
	}
	if due := j.Due(id.Occurrence); due > w.wall() {
		w.fail("ORDER: %s starts %d ms early", p.Task, due-w.wall())
	}
	// A restart that nobody had told of when the order was sent is no fault.
	if k := j.Steps[id.Step].Requires; k != "" && k != w.kind(x.ID) && w.born == x.Born {
		w.fail("ROUTE: %s starts on %s, which isn't of the kind", p.Task, x.ID)
	}
	if at := w.drains[x.ID]; at > 0 && w.now > at+drainTime && !w.late && w.sender.inTouch() {
		w.fail("DRAIN: %s starts on %s, which began to drain %v ago", p.Task, x.ID, w.now-at)
	}
	if a := j.Steps[id.Step].AntiAffinity; a > 0 {
		if n := w.beside(id, x.ID); n >= a {
			w.fail("ROUTE: %s starts on %s beside %d of its step", p.Task, x.ID, n)
		}
	}
	for _, a := range j.Steps[id.Step].After {
		for i := range j.Steps[a].Count {
			if t := (work.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: a, Index: i}).String(); len(w.ends[t]) == 0 {
				w.fail("ORDER: %s starts before %s is done", p.Task, t)
			}
		}
	}
	if n := w.failed[w.attemptKey(id)]; n >= w.rules.Queues[j.Queue].MaxAttempts && !j.Steps[id.Step].LongRunning {
		w.fail("BUDGET: %s starts after %d failures", p.Task, n)
	}
}

// beside counts the other tasks of a task's step and occurrence on a worker.
func (w *world) beside(id work.TaskID, worker string) int {
	n := 0
	for i := range w.jobs[id.Job].Steps[id.Step].Count {
		o := id
		o.Index = i
		if o != id && slices.ContainsFunc(w.active[o.String()], func(a *act) bool { return a.w == worker }) {
			n++
		}
	}
	return n
}

func (w *world) attemptKey(id work.TaskID) string {
	if w.jobs[id.Job].Steps[id.Step].Gang {
		return id.Job + "." + work.StepKey(id.Occurrence, id.Step)
	}
	return id.String()
}

func (w *world) wall() int64 { return wallStart + w.now.Milliseconds() }

// stopped notes an end.
func (w *world) stopped(x *model.Worker, e model.End) {
	w.log("END %s run %d on %s: %s", e.Task, e.Run, x.ID, e.How)
	w.active[e.Task] = slices.DeleteFunc(w.active[e.Task], func(a *act) bool { return a.w == x.ID && a.run == e.Run })
	id, err := work.ParseTaskID(e.Task)
	if err != nil {
		w.fail("task name %q", e.Task)
		return
	}
	if w.jobs[id.Job].Steps[id.Step].LongRunning {
		t := w.task(e.Task)
		if w.now-t.began >= lastingStartup {
			t.atWork = w.now
		}
		t.ordered, t.ended = e.How == "stopped", w.now
		return
	}
	if e.How == "done" {
		w.ends[e.Task] = append(w.ends[e.Task], &fact{at: w.now, worker: x.ID, born: x.Born, n: e.N})
	}
}

// task returns what is known of a long-running task.
func (w *world) task(id string) *serving {
	if w.serving[id] == nil {
		w.serving[id] = &serving{kept: w.now}
	}
	return w.serving[id]
}

// away reports whether a long-running task counts as missing: an order ended
// it, or it has not been at work for the platform's notice.
func (w *world) away(id string) bool {
	for _, x := range w.cluster.Workers {
		if x.Serving(id) {
			return false
		}
	}
	t := w.task(id)
	return t.ordered || w.now-t.atWork >= notice
}

// stopping checks the order to stop a run, before it is carried out: no more
// long-running tasks may be away than their step allows.
func (w *world) stopping(x *model.Worker, id work.TaskID, run int) {
	j := w.jobs[id.Job]
	s := j.Steps[id.Step]
	if _, ok := w.acked[id.Job]; ok || !s.LongRunning || x.FailsAll || w.leaves[x.ID] > 0 || !x.Serving(id.String()) {
		return
	}
	if l := w.active[id.String()]; len(l) != 1 || l[0].run > run {
		return
	}
	missing := 0
	for i := range s.Count {
		o := id
		o.Index = i
		if o != id && w.away(o.String()) {
			missing++
		}
	}
	if missing >= s.MayMiss {
		w.fail("AVAIL: %s run %d is stopped on %s while %d others are away", id, run, x.ID, missing)
	}
}

// noted takes in that a worker was told to forget its ends.
func (w *world) noted(x *model.Worker, seen int64, ends []model.End) {
	for _, l := range w.ends {
		for _, f := range l {
			if f.worker == x.ID && f.born == x.Born && f.n <= seen && !f.noted && x.LastLapse() < f.at {
				f.noted = true
				if f.later {
					w.fail("TWICE: an end as done is noted after a later start, on %s number %d", x.ID, f.n)
				}
			}
		}
	}
	for _, e := range ends {
		if e.How == "failed" && e.N <= seen && x.LastLapse() == 0 {
			id, _ := work.ParseTaskID(e.Task)
			w.failed[w.attemptKey(id)]++
		}
	}
}

// What a host allows its decider, and how long others are patient.
const (
	startsFor   = 1100 * time.Millisecond
	ownedFor    = 4 * time.Second
	beatTimeout = 1300 * time.Millisecond
	lease       = 9500 * time.Millisecond
	maxHold     = 10 * time.Second
	// maintenanceTime is how long an maintenance takes, turnPause how long after a
	// takeover no machine gets an order.
	maintenanceTime = 2 * time.Second
	turnPause       = 3 * time.Second
	// gangTimeout is how long a member of a gang waits for the others.
	gangTimeout = 3 * time.Second
	// notice is how long a long-running task may not be at work before it
	// counts as away, lastingStartup what one takes to be at work.
	notice         = 4500 * time.Millisecond
	lastingStartup = 300 * time.Millisecond
	// drainTime is how long after a worker drains it may get tasks, contactTime for
	// how long a host must have been undisturbed to count.
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	// orderAge is how old an order may be that is no late one.
	orderAge = 500 * time.Millisecond
)

// decide makes a decider that has just taken the pool.
func (w *world) decide(cutFrom map[string]bool) {
	w.epoch++
	p := &player{w: w, epoch: w.epoch, confirmed: w.now, cutFrom: cutFrom, loaded: map[string]time.Duration{}, flushAt: -1}
	c := track.Config{Pool: "p", Epoch: w.epoch, Bounds: event.Bounds{Lease: lease, StopTime: 200 * time.Millisecond, GangTimeout: gangTimeout, FarFactor: 3, MaintenanceTime: maintenanceTime, TurnPause: turnPause}, Inherit: maxHold, PartOf: partOf}
	if n := len(w.deciders); n > 0 && !w.deciders[n-1].dead {
		c.Inherit += ownedFor - beatTimeout
	}
	if w.faults.noWindow {
		c.Window = 1 << 20
	}
	if w.faults.noInherit {
		c.Inherit = 0
	}
	p.s = New(c, p.clock(), w.rules)
	if w.faults.weakProgress {
		w.progress = maint.Progress{}
	}
	w.deciders = append(w.deciders, p)
	w.log("DECIDER %d", w.epoch)
	var l []event.Event
	for _, id := range sorted(w.known) {
		r := w.known[id]
		l = append(l, event.WorkerKnown{ID: id, Address: r.address, Lapsing: r.lapsing, LapsesIn: max(r.lapsesAt-w.now, 0)})
	}
	for _, id := range sorted(w.listed) {
		if w.listed[id] {
			l = append(l, event.WorkerListed{Worker: w.entry(id)})
		}
	}
	for _, id := range sorted(w.canceled) {
		l = append(l, event.JobCanceled{ID: id})
	}
	if w.wave != nil {
		l = append(l, event.WaveAsked{Wave: *w.wave})
	}
	for _, e := range l {
		p.take(e)
	}
	for i := range jobParts {
		d := w.between(0, 40*time.Millisecond)
		if w.disturbed(0.1) {
			d = w.between(0, 4*time.Second)
		}
		w.after(d, func() { p.load(fmt.Sprint(i)) })
	}
	p.beat()
}

// jobParts is over how many parts the store spreads jobs.
const jobParts = 3

func partOf(id string) string { return fmt.Sprint(int(id[len(id)-1]) % jobParts) }

// load takes a part and tells its jobs.
func (p *player) load(part string) {
	w := p.w
	switch {
	case p.dead:
		return
	case !w.storeUp || p.cut || w.now < p.paused:
		w.after(100*time.Millisecond, func() { p.load(part) })
		return
	case w.fences[part] > p.epoch:
		p.dead = true
		return
	}
	w.fences[part] = p.epoch
	p.loaded[part] = w.now
	for _, id := range sorted(w.jobs) {
		if partOf(id) != part {
			continue
		}
		r, err := work.DecodeRecord(w.records[id])
		if err != nil {
			w.fail("record of %s: %v", id, err)
			return
		}
		if !r.State.Final() {
			p.take(event.JobAdded{Job: w.jobs[id], Record: r, Inherited: true})
		}
	}
	p.take(event.PartLoaded{Part: part})
}

func sorted[V any](m map[string]V) []string {
	l := make([]string, 0, len(m))
	for k := range m {
		l = append(l, k)
	}
	slices.Sort(l)
	return l
}

// kind returns what kind a worker is of.
func (w *world) kind(id string) string {
	if w.changed[id] {
		return "k1"
	}
	return "k0"
}

func (w *world) entry(id string) event.Worker {
	x := w.cluster.Workers[id]
	return event.Worker{
		ID: id, Address: "a/" + id, Rack: "r" + id[1:2], Labels: []string{w.kind(id), "r" + id[1:2]}, Born: x.Born,
		Capacity: work.Amounts{MilliCPU: x.CPU, MemoryMiB: x.Memory, Accelerators: x.Accelerators},
		Draining: w.leaves[id] > 0, LeavesMS: w.leaves[id],
	}
}

// tell passes an event on to all deciders, to those that are cut from the
// store once they aren't.
func (w *world) tell(e func(p *player) event.Event) {
	for _, p := range w.deciders {
		f := func() {
			if x := e(p); x != nil {
				p.take(x)
			}
		}
		if p.cut {
			p.missed = append(p.missed, f)
		} else {
			w.after(w.between(0, 5*time.Millisecond), f)
		}
	}
}

// reconnect ends a decider's cut.
func (p *player) reconnect() {
	p.cut, p.joined = false, p.w.now
	l := p.missed
	p.missed = nil
	for _, f := range l {
		p.w.after(p.w.between(0, 5*time.Millisecond), f)
	}
}

// always tells every decider the same.
func always(e event.Event) func(*player) event.Event { return func(*player) event.Event { return e } }

func (p *player) clock() event.Clock { return event.Clock{Steady: p.w.now, Wall: p.w.wall()} }

// inTouch reports whether the decider was neither paused nor cut off lately.
func (p *player) inTouch() bool {
	return p.owned() && !p.cut && p.w.now >= max(p.paused, p.joined)+contactTime
}

// owned reports whether the decider still has the pool.
func (p *player) owned() bool { return p.epoch == p.w.epoch }

// take gives the decider an event, or keeps it while the host is paused.
func (p *player) take(e event.Event) {
	if p.dead {
		return
	}
	if p.w.now < p.paused {
		p.backlog = append(p.backlog, func() { p.take(e) })
		return
	}
	p.perform(p.s.Step(p.clock(), e))
	p.flush(p.w.now)
}

// flush makes the decider look after what is due at a time.
func (p *player) flush(at time.Duration) {
	if p.flushAt >= 0 && p.flushAt <= at {
		return
	}
	p.flushAt = at
	p.w.after(at-p.w.now, func() {
		if p.dead || p.flushAt != at {
			return
		}
		if p.w.now < p.paused {
			p.flushAt = -1
			p.backlog = append(p.backlog, func() { p.flush(p.w.now) })
			return
		}
		p.flushAt = -1
		age := p.w.now - p.confirmed
		p.s.Limit(track.Limits{NoStarts: age > startsFor, NoOrders: age > ownedFor})
		l, next := p.s.Flush(p.clock())
		p.perform(l)
		p.flush(max(next, p.w.now+time.Millisecond))
	})
}

// beat proves regularly that the pool is owned.
func (p *player) beat() {
	if p.w.cost > 0 {
		p.slowBeat()
		return
	}
	if !p.dead {
		p.prove(func() {})
		p.w.after(600*time.Millisecond, p.beat)
	}
}

// prove asks the store whether the pool is owned.
func (p *player) prove(done func()) {
	w := p.w
	if w.now < p.paused || !w.storeUp || p.cut || p.dead {
		return
	}
	if !p.owned() {
		p.dead = true
		w.log("DECIDER %d deposed", p.epoch)
		return
	}
	p.confirmed = w.now
	done()
}

func (p *player) perform(l []event.Effect) {
	w := p.w
	for _, e := range l {
		switch e := e.(type) {
		case event.Start:
			if w.faults.noFence {
				e.Fence = 1
			}
			if at, ok := w.acked[e.Task.Job]; ok && p.owned() && !p.cut && w.now-at > 3*time.Second {
				w.fail("UNASKED: %s is started %v after its cancel", e.Task, w.now-at)
			}
			send := func() {
				p.order(e.Call, e.Fence, func(x *model.Worker) string {
					return x.Start(model.Order{
						Task: e.Task.String(), Run: e.Run, Spec: e.Spec, Saved: e.Saved, Fence: e.Fence, DeadlineMS: e.DeadlineMS, Ticket: e.Ticket,
					})
				})
			}
			if w.faults.spread > 0 {
				w.after(time.Duration(e.Task.Index)*w.faults.spread, send)
			} else {
				send()
			}
		case event.Stop:
			if w.faults.noFence {
				e.Fence = 1
			}
			late := w.now + orderAge
			p.order(e.Call, e.Fence, func(x *model.Worker) string {
				if w.now <= late {
					w.stopping(x, e.Task, e.Run)
				}
				return x.Stop(e.Task.String(), e.Run, e.Fence)
			})
		case event.Hold:
			if w.faults.noFence {
				e.Fence = 1
			}
			p.hold(e)
		case event.Advise:
			p.advise(e)
		case event.Save:
			p.save(e)
		case event.RecordWorker:
			r := knownRow{address: e.Address, lapsing: e.Lapsing, lapsesAt: w.now + e.LapsesIn}
			p.row(func() { w.know(e.ID, r) }, func() { p.take(event.WorkerRecorded{ID: e.ID, Seq: e.Seq}) })
		case event.ForgetWorker:
			p.row(func() { delete(w.known, e.ID) }, func() {})
		case event.Prove:
			at := w.now
			w.after(w.between(0, 6*time.Millisecond), func() {
				p.prove(func() { w.after(w.between(0, 6*time.Millisecond), func() { p.take(event.Owned{At: at}) }) })
			})
		case event.Maintenance:
			p.maintenance(e.Action)
		case event.Note:
			w.log("  %d: %s %s %s %d", p.epoch, e.Text, e.Worker, e.Task, e.Run)
		}
	}
}

var errRejected = errors.New("32 calls wait")

// advise asks the advice service, which rejects some calls.
func (p *player) advise(e event.Advise) {
	w := p.w
	sent := w.now
	a := event.Advised{Call: e.Call, Sent: sent, Valid: w.between(800*time.Millisecond, 3*time.Second)}
	w.after(w.between(5*time.Millisecond, 120*time.Millisecond), func() {
		if w.disturbed(0.2) {
			a.Err = errRejected
		} else {
			var ids []string
			for _, l := range e.Workers {
				ids = append(ids, l.Worker)
			}
			a.Tickets = w.cluster.Advise(e.Step, ids, a.Valid)
		}
		p.take(a)
	})
}

// reach returns a worker that the decider can call.
func (p *player) reach(id string) *model.Worker {
	x := p.w.cluster.Workers[id]
	if x == nil || !x.Up() || x.Unreachable || p.cutFrom[id] {
		return nil
	}
	return x
}

var reasons = map[string]event.Outcome{"": event.Accepted, "fence": event.Fenced, "old": event.Old, "late": event.Late, "room": event.NoRoom, "ticket": event.NoTicket}

// order carries a start or a stop out, with what the host or the network does
// to it.
func (p *player) order(c event.Call, _ int64, do func(*model.Worker) string) {
	w, carry, born := p.w, do, p.s.Workers[c.Worker].Born
	do = func(x *model.Worker) string {
		w.sender, w.born = p, born
		return carry(x)
	}
	if w.cost > 0 {
		p.slowOrder(c, do)
		return
	}
	none := func() {
		w.after(700*time.Millisecond, func() { p.take(event.Answered{Call: c, Outcome: event.NoAnswer}) })
	}
	switch {
	case w.deaf[c.Worker] && !c.Stop, w.disturbed(0.02):
		none()
	case w.disturbed(0.05):
		// Carried out late, after newer calls, by the life that received it.
		none()
		to := p.reach(c.Worker)
		w.after(w.between(700*time.Millisecond, 9*time.Second), func() {
			if x := p.reach(c.Worker); x != nil && x == to {
				w.log("late order: %s run %d stop %v", c.Task, c.Run, c.Stop)
				w.late = true
				do(x)
				w.late = false
			}
		})
	default:
		lost := w.disturbed(0.03)
		w.after(w.between(0, 8*time.Millisecond), func() {
			x := p.reach(c.Worker)
			if x == nil {
				none()
				return
			}
			o, clock := reasons[do(x)], x.ClockMS()
			if lost {
				none()
				return
			}
			w.after(w.between(0, 8*time.Millisecond), func() { p.take(event.Answered{Call: c, Outcome: o, ClockMS: clock}) })
		})
	}
}

// hold carries a Hold out.
func (p *player) hold(e event.Hold) {
	w := p.w
	if w.cost > 0 {
		p.slowHold(e)
		return
	}
	lost := w.disturbed(0.03)
	sent := w.now
	w.after(w.between(0, 8*time.Millisecond), func() {
		var look func()
		none := func() {
			w.after(max(sent+e.Wait+900*time.Millisecond-w.now, 0), func() { p.take(event.Reported{Call: e.Call, Outcome: event.NoAnswer}) })
		}
		first := true
		look = func() {
			x := p.reach(e.Worker)
			if x == nil {
				none()
				return
			}
			deadline := e.DeadlineMS
			if !first {
				deadline = 0
			}
			if first {
				_, before, _ := x.Hold(e.Fence, 0, 0)
				w.noted(x, e.SeenUpto, before)
			}
			first = false
			running, ended, why := x.Hold(e.Fence, e.SeenUpto, deadline)
			if why == "" && len(ended) == 0 && w.now < sent+e.Wait {
				w.after(40*time.Millisecond, look)
				return
			}
			r := report(e, x, running, ended, why)
			if lost {
				none()
				return
			}
			w.after(w.between(0, 8*time.Millisecond), func() { p.take(r) })
		}
		look()
	})
}

// report is a worker's answer to a Hold.
func report(e event.Hold, x *model.Worker, running []model.ActiveRun, ended []model.End, why string) event.Reported {
	r := event.Reported{Call: e.Call, Outcome: reasons[why], ClockMS: x.ClockMS(), Born: x.Born}
	for _, q := range running {
		id, _ := work.ParseTaskID(q.Task)
		r.Running = append(r.Running, event.Running{Task: id, Run: q.Run, Saved: q.Saved, Percent: q.Percent})
	}
	for _, q := range ended {
		id, _ := work.ParseTaskID(q.Task)
		r.Ended = append(r.Ended, event.Ended{N: q.N, Task: id, Run: q.Run, How: event.How(strings.ToUpper(q.How[:1]) + q.How[1:]), Saved: q.Saved})
	}
	return r
}

// store writes, trying until the store answers or the pool is lost.
func (p *player) store(may func() bool, do, done func()) {
	w := p.w
	var try func()
	try = func() {
		switch {
		case p.dead:
		case !w.storeUp || p.cut || w.now < p.paused || w.disturbed(0.03):
			w.after(60*time.Millisecond, try)
		case !may():
			p.dead = true
		default:
			do()
			w.after(w.between(0, 4*time.Millisecond), done)
		}
	}
	w.after(w.between(time.Millisecond, 6*time.Millisecond), try)
}

// row writes a worker's row after those before it.
func (p *player) row(do, done func()) {
	next := func() {
		p.store(p.owned, do, func() {
			done()
			p.rows = p.rows[1:]
			if len(p.rows) > 0 {
				p.rows[0]()
			}
		})
	}
	p.rows = append(p.rows, next)
	if len(p.rows) == 1 {
		next()
	}
}

func (p *player) save(e event.Save) {
	w := p.w
	saved := func() { p.take(event.RecordSaved{ID: e.ID, Seq: e.Seq}) }
	may := func() bool { return w.fences[partOf(e.ID)] == p.epoch }
	if w.faults.earlySeen {
		w.after(0, saved)
		w.after(w.between(100*time.Millisecond, time.Second), func() { p.store(may, func() { w.write(e) }, func() {}) })
		return
	}
	p.store(may, func() { w.write(e) }, saved)
}

// stateOf returns what the store says of a job.
func (w *world) stateOf(id string) work.State {
	r, err := work.DecodeRecord(w.records[id])
	if err != nil {
		w.fail("record of %s: %v", id, err)
		return ""
	}
	return r.State
}

// know makes a worker's row durable.
func (w *world) know(id string, r knownRow) {
	if !w.faults.staleLapse || !w.known[id].lapsing {
		w.known[id] = r
	}
}

// write makes a record durable and checks what it claims.
func (w *world) write(e event.Save) {
	w.records[e.ID] = e.Record
	r, err := work.DecodeRecord(e.Record)
	if err != nil {
		w.fail("record of %s: %v", e.ID, err)
		return
	}
	if r.State != work.Succeeded {
		return
	}
	j := w.jobs[e.ID]
	for k := range j.Occurrences() {
		for i := range j.Steps {
			for n := range j.Steps[i].Count {
				if t := (work.TaskID{Job: e.ID, Occurrence: k, Step: i, Index: n}).String(); len(w.ends[t]) == 0 {
					w.fail("MIXED: %s is shown as succeeded, and %s isn't done", e.ID, t)
				}
			}
		}
	}
}
