// Package decide runs the state machine of a pool while this host owns the
// pool: it feeds it events, and carries its effects out.
package decide

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/advice"
	"citronbridge/event"
	"citronbridge/launch"
	"citronbridge/maint"
	"citronbridge/meter"
	"citronbridge/platform"
	"citronbridge/platform/advise"
	"citronbridge/repo"
	"citronbridge/sched"
	"citronbridge/stall"
	"citronbridge/timer"
	"citronbridge/track"
	"citronbridge/watch"
	"citronbridge/waves"
	"citronbridge/work"
)

// Times of a decider.
const (
	// startsFor is how long a decider starts tasks without proof that it
	// still owns its pool: a successor waits longer before it takes it.
	startsFor = repo.HeartbeatTimeout - 200*time.Millisecond
	// ownedFor is how long it renews leases without one.
	ownedFor = 4 * time.Second
	// orderAge is how old a decision may be when its order is sent: a host
	// that was suspended in between may have a successor.
	orderAge = time.Second
	// leaseMargin is kept from the platform's bound on leases.
	leaseMargin = 500 * time.Millisecond
	// eventQueue bounds the events that wait for the decider.
	eventQueue = 4096
	// feedWait is how long one call waits for a change.
	feedWait = time.Second
	// registryPause is kept between looks at the registry, which changes all
	// the time as workers count; a leaving worker may get tasks for the
	// platform's bound on draining, some seconds.
	registryPause = 200 * time.Millisecond
	// loadPause is kept between tries to read the pool's state.
	loadPause = 100 * time.Millisecond
)

// Workers calls the pool's workers.
type Workers interface {
	Start(ctx context.Context, e event.Start) event.Answered
	Stop(ctx context.Context, e event.Stop) event.Answered
	Hold(ctx context.Context, e event.Hold) event.Reported
	Pace(ctx context.Context, e event.Pace) event.Paced
}

// Advisor calls the advice service.
type Advisor interface {
	Advise(ctx context.Context, c advice.Call) event.Advised
}

var _ Advisor = (*advise.Client)(nil)

var _ Workers = (*platform.WorkerClient)(nil)

// Config is what a Decider needs.
type Config struct {
	Pool string
	// Owner and Ownership are what the pool was taken with.
	Owner     repo.Owner
	Ownership *repo.Ownership
	// Gone says that the former decider surely gives no more orders.
	Gone  bool
	Store repo.Store
	// Clock is the store's.
	Clock   *watch.Clock
	Owners  *repo.Owners
	Workers Workers
	Advisor Advisor
	// Machines leads the machines of workers through waves of maintenance.
	Machines waves.Machines
	Rules    func() *work.Rules
	Bounds   platform.Bounds
	// Stalls tells when the process stood still.
	Stalls *stall.Monitor
	// Processor is how many cores this host may use, Capacity how many of them a
	// decider can make use of.
	Processor, Capacity float64
	Meter               *meter.Host
	Log                 zerolog.Logger
	// Lost is told that the decider has ended.
	Lost func(*Decider)
}

// Decider decides for one pool while this host owns it.
type Decider struct {
	c      Config
	log    zerolog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	events chan event.Event
	state  *sched.State
	// writer writes what is beside jobs, shards what belongs to them.
	writer *repo.Writer
	shards map[string]*shard
	// waves carries out what waves of maintenance need.
	waves *waves.Runner

	// proving guards the ownership.
	proving sync.Mutex

	mu         sync.Mutex
	confirmed  time.Duration
	heartbeats int64
	waiting    map[string]int
	wg         sync.WaitGroup
	leaving    sync.Once

	// listed names the workers in the registry, dropped says why other entries
	// can't be used. Only the reader of the registry uses them.
	listed  map[string]bool
	dropped map[string]string
}

// Go begins to decide for a pool that was just taken, until ctx ends or the
// pool is lost.
func Go(ctx context.Context, c Config) *Decider {
	d := &Decider{
		c: c, log: c.Log.With().Str("pool", c.Pool).Int64("epoch", c.Owner.Epoch).Logger(), events: make(chan event.Event, eventQueue),
		confirmed: timer.Boot(), waiting: map[string]int{}, listed: map[string]bool{}, dropped: map[string]string{},
	}
	d.ctx, d.cancel = context.WithCancel(ctx)
	d.writer = d.newWriter(c.Ownership.Owner)
	d.waves = waves.New(waves.Config{
		Host: c.Owner.Host, Store: c.Store, Owner: c.Ownership.Owner, Machines: c.Machines, Now: func() time.Duration { return d.clock().Steady },
		Tell: d.tell, Ordered: func(o maint.Outcome) { c.Meter.Orders.WithLabelValues("maintenance", string(o)).Inc() }, Deposed: d.deposed, Log: d.log,
	})
	d.shards = map[string]*shard{}
	for _, p := range repo.JobParts() {
		d.shards[p] = &shard{d: d, part: p, ended: map[string]int64{}}
	}
	c.Meter.Epoch.WithLabelValues(c.Pool).Set(float64(c.Owner.Epoch))
	d.goes(d.run)
	return d
}

// Pool returns the pool's name.
func (d *Decider) Pool() string { return d.c.Pool }

// newWriter returns a writer under a condition.
func (d *Decider) newWriter(c repo.Condition) *repo.Writer {
	return repo.NewWriter(repo.WriterConfig{
		Store: d.c.Store, Owner: c, Deposed: d.deposed, Confirmed: d.confirm, Now: timer.Boot,
		Failed: func(err error) { d.log.Warn().Err(err).Str("part", c.Part).Msg("write failed; it is tried again") },
	})
}

func (d *Decider) goes(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// deposed ends the decider: another host owns the pool.
func (d *Decider) deposed() {
	d.log.Warn().Msg("pool lost to another host")
	d.cancel()
}

func (d *Decider) confirm(at time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmed = max(d.confirmed, at)
}

// leaveTimeout bounds the tries to give a pool up: a host that can't tell is
// replaced when its heartbeats stay out. The platform leaves a planned stop
// some seconds.
const leaveTimeout = 2 * time.Second

// Stop ends the decider and tells the other hosts.
func (d *Decider) Stop(ctx context.Context) {
	d.leaving.Do(func() {
		d.cancel()
		d.wg.Wait()
		ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		err := d.c.Owners.Leave(ctx, d.c.Ownership, repo.Heartbeat{Epoch: d.c.Owner.Epoch, Host: d.c.Owner.Host, N: -1})
		if err != nil {
			d.log.Warn().Err(err).Msg("pool given up, and nobody told")
			return
		}
		d.log.Info().Msg("pool given up")
	})
}

// RulesChanged passes a configuration on.
func (d *Decider) RulesChanged(r *work.Rules) { d.tell(event.RulesChanged{Rules: r}) }

// BoundsChanged passes changed bounds on.
func (d *Decider) BoundsChanged(b platform.Bounds) {
	d.mu.Lock()
	d.c.Bounds = b
	d.mu.Unlock()
	d.tell(event.BoundsChanged{Bounds: boundsOf(b)})
}

// bounds returns the platform's bounds in force.
func (d *Decider) bounds() platform.Bounds {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.c.Bounds
}

// boundsOf converts the platform's bounds.
func boundsOf(b platform.Bounds) event.Bounds {
	return event.Bounds{
		Lease: platform.Milliseconds(b.MaxHoldMS) - leaseMargin, StopTime: platform.Milliseconds(b.StopMS), GangTimeout: platform.Milliseconds(b.GangMS),
		Reclaim: platform.Milliseconds(b.ReclaimMS), FarFactor: b.FarFactor,
		MaintenanceTime: platform.Seconds(b.MaintenanceS), TurnPause: platform.Milliseconds(b.TurnMS),
	}
}

// WaveAsked passes a wave of maintenance on.
func (d *Decider) WaveAsked(w maint.Wave) { d.tell(event.WaveAsked{Wave: w}) }

// WaveDropped passes on that a wave was taken back.
func (d *Decider) WaveDropped(n int64) { d.tell(event.WaveDropped{Wave: n}) }

func (d *Decider) tell(e event.Event) {
	select {
	case d.events <- e:
	case <-d.ctx.Done():
	}
}

// run loads the pool's state and decides until the pool is lost.
func (d *Decider) run() {
	defer d.c.Lost(d)
	defer d.c.Meter.Epoch.WithLabelValues(d.c.Pool).Set(0)
	d.goes(d.heartbeat)
	began := timer.Boot()
	l := d.load()
	if l == nil {
		return
	}
	b := boundsOf(d.bounds())
	inherit := b.Lease + leaseMargin
	if !d.c.Gone {
		// A silent one renews leases until it can't prove its ownership.
		inherit += ownedFor - repo.HeartbeatTimeout
	}
	d.state = sched.New(track.Config{
		Pool: d.c.Pool, Epoch: d.c.Owner.Epoch, Bounds: b, Inherit: inherit, Window: launch.WindowOf(d.c.Processor),
		PartOf: func(id string) string { return repo.PartOf(repo.TableJobs, id) },
	}, d.clock(), d.c.Rules())
	var first []event.Effect
	for _, e := range l.events {
		first = append(first, d.state.Step(d.clock(), e)...)
	}
	d.goes(func() { d.writer.Run(d.ctx) })
	for _, s := range d.shards {
		d.goes(s.load)
	}
	d.goes(d.sweep)
	d.follow(l)
	d.perform(first)
	d.log.Info().Int("events", len(l.events)).Dur("took", timer.Boot()-began).Msg("decider starts")
	d.c.Meter.Takeover.Observe((timer.Boot() - began).Seconds())
	d.loop()
}

var start = time.Now()

// clock returns the time for the state machine.
func (d *Decider) clock() event.Clock {
	n := time.Now()
	return event.Clock{Steady: n.Sub(start), Wall: n.UnixMilli()}
}

// batchPause is kept between two batches of events: what each costs grows with
// the pool, whatever its events are.
const batchPause = 3 * time.Millisecond

// loop takes events in batches.
func (d *Decider) loop() {
	t := time.NewTimer(0)
	defer t.Stop()
	var last time.Duration
	for {
		var out []event.Effect
		select {
		case <-d.ctx.Done():
			return
		case e := <-d.events:
			out = append(out, d.state.Step(d.clock(), e)...)
		case <-t.C:
		}
		if early := last + batchPause - timer.Boot(); early > 0 {
			time.Sleep(early)
		}
		last = timer.Boot()
		for more := true; more; {
			select {
			case e := <-d.events:
				out = append(out, d.state.Step(d.clock(), e)...)
			default:
				more = false
			}
		}
		d.mu.Lock()
		age := timer.Boot() - d.confirmed
		d.mu.Unlock()
		d.state.Limit(track.Limits{NoStarts: age > startsFor, NoOrders: age > ownedFor})
		n := d.clock()
		effects, next := d.state.Flush(n)
		t.Reset(max(next-n.Steady, time.Millisecond))
		d.perform(append(out, effects...))
		w := d.state.Waiting()
		d.mu.Lock()
		d.waiting = w
		d.mu.Unlock()
	}
}

// perform carries effects out.
func (d *Decider) perform(l []event.Effect) {
	decided := timer.Boot()
	for _, e := range l {
		switch e := e.(type) {
		case event.Start:
			d.order("start", decided, func() (event.Event, event.Outcome) { return d.start(e, decided) })
		case event.Stop:
			d.order("stop", decided, func() (event.Event, event.Outcome) { a := d.c.Workers.Stop(d.ctx, e); return a, a.Outcome })
		case event.Hold:
			d.order("hold", decided, func() (event.Event, event.Outcome) { a := d.c.Workers.Hold(d.ctx, e); return a, a.Outcome })
		case event.Pace:
			d.order("pace", decided, func() (event.Event, event.Outcome) { a := d.c.Workers.Pace(d.ctx, e); return a, a.Outcome })
		case event.Advise:
			d.order("advise", decided, func() (event.Event, event.Outcome) { return d.advise(e.Call) })
		case event.Save:
			d.shards[repo.PartOf(repo.TableRecords, e.ID)].save(e)
		case event.RecordWorker:
			d.record(e)
		case event.ForgetWorker:
			d.writer.Put(repo.TableWorkers, repo.WorkerKey(d.c.Pool, e.ID), nil, nil)
		case event.Prove:
			d.goes(func() {
				if sent := d.clock().Steady; d.prove() {
					d.tell(event.Owned{At: sent})
				}
			})
		case event.Finished:
			d.c.Meter.Ends.WithLabelValues(string(e.How)).Inc()
		case event.Begun:
			d.c.Meter.Wait.WithLabelValues(d.queueLabel(e.Queue)).Observe(e.Wait.Seconds())
		case event.GangBegun:
			d.c.Meter.GangStart.Observe(e.Took.Seconds())
		case event.JobEnded:
			q := d.queueLabel(e.Queue)
			d.c.Meter.Jobs.WithLabelValues(q, string(e.State)).Inc()
			d.c.Meter.JobTime.WithLabelValues(q).Observe(e.Took.Seconds())
		case event.TakenIn:
			tasks, accelerators := e.Job.Size()
			d.log.Info().Str("job", e.Job.ID).Str("queue", e.Job.Queue).Str("account", e.Job.Tenant).Int("tasks", tasks).Int64("accelerators", accelerators).Msg("job taken in")
		case event.Maintenance:
			d.goes(func() { d.waves.Do(d.ctx, e.Action) })
		case event.Note:
			d.log.Info().Str("job", e.Job).Str("worker", e.Worker).Str("task", e.Task).Int("run", e.Run).Msg(e.Text)
		}
	}
}

// order makes a call of a worker in the background, measures it and tells the
// state machine.
func (d *Decider) order(kind string, decided time.Duration, call func() (event.Event, event.Outcome)) {
	m := d.c.Meter
	m.UnderWay.WithLabelValues(kind).Inc()
	d.goes(func() {
		defer m.UnderWay.WithLabelValues(kind).Dec()
		began := timer.Boot()
		m.OrderWait.WithLabelValues(kind).Observe((began - decided).Seconds())
		e, o := call()
		m.OrderTime.WithLabelValues(kind).Observe((timer.Boot() - began).Seconds())
		m.Orders.WithLabelValues(kind, string(o)).Inc()
		d.tell(e)
	})
}

// start orders a task's start, unless the decision is old by now.
func (d *Decider) start(e event.Start, decided time.Duration) (event.Event, event.Outcome) {
	if timer.Boot()-decided > orderAge {
		return event.Answered{Call: e.Call, Outcome: event.NotSent}, event.NotSent
	}
	a := d.c.Workers.Start(d.ctx, e)
	if a.Outcome != event.Accepted {
		d.log.Info().Str("worker", e.Worker).Stringer("task", e.Task).Int("run", e.Run).Str("outcome", string(a.Outcome)).
			Dur("took", timer.Boot()-decided).Dur("stalled", d.c.Stalls.Since(decided)).Msg("start not confirmed")
	}
	return a, a.Outcome
}

// advise asks the advice service.
func (d *Decider) advise(c advice.Call) (event.Event, event.Outcome) {
	sent := d.clock().Steady
	a := d.c.Advisor.Advise(d.ctx, c)
	a.Sent = sent
	d.log.Info().Str("step", c.Step).Int("asked", len(c.Workers)).Int("good", len(a.Tickets)).Dur("valid", a.Valid).AnErr("cause", a.Err).Msg("advice on a step")
	if a.Err != nil {
		return a, event.NoAnswer
	}
	return a, event.Accepted
}

// minKeep is the shortest time for which records of ended jobs are kept.
const minKeep = time.Second

// sweep removes records once they need not be shown any more.
func (d *Decider) sweep() {
	// Twice the platform's bound, as clocks differ.
	keep := max(2*platform.Seconds(d.bounds().StatusS), minKeep)
	t := time.NewTicker(keep / 4)
	defer t.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-t.C:
			before := time.Now().Add(-keep).UnixMilli()
			for _, s := range d.shards {
				s.sweep(before)
			}
		}
	}
}

// queueLabel names a queue in metrics: those that aren't configured share one
// label, so that the labels stay bounded.
func (d *Decider) queueLabel(name string) string {
	if r := d.c.Rules(); r != nil && r.Queues[name] != nil {
		return name
	}
	return "other"
}

// heartbeat proves regularly that the pool is still owned.
func (d *Decider) heartbeat() {
	t := time.NewTicker(repo.HeartbeatPeriod)
	defer t.Stop()
	for d.ctx.Err() == nil {
		d.prove()
		select {
		case <-d.ctx.Done():
		case <-t.C:
		}
	}
}

// prove writes the pool's heartbeat, which tells the other hosts what they show of
// it, and returns whether that proves that the pool is still owned.
func (d *Decider) prove() bool {
	d.proving.Lock()
	defer d.proving.Unlock()
	d.mu.Lock()
	d.heartbeats++
	b := repo.Heartbeat{Epoch: d.c.Owner.Epoch, Host: d.c.Owner.Host, N: d.heartbeats, Waiting: d.waiting, Capacity: d.c.Capacity}
	d.mu.Unlock()
	sent := timer.Boot()
	held, err := d.c.Owners.Heartbeat(d.ctx, d.c.Ownership, b)
	switch {
	case err != nil:
		if d.ctx.Err() == nil {
			d.log.Warn().Err(err).Msg("heartbeat failed")
		}
		return false
	case !held:
		d.deposed()
		return false
	}
	d.confirm(sent)
	return true
}
