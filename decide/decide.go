// Package decide runs the scheduling state machine of a pool while this host owns the pool: it
// passes events to the state machine and carries out the effects that the state machine returns.
package decide

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/advice"
	"citronbridge/event"
	"citronbridge/guard"
	"citronbridge/launch"
	"citronbridge/loads"
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

// Timeouts and limits of a decider.
const (
	// maxStartProofAge is how old the last proof of ownership may be for the decider to start
	// tasks. Other hosts wait longer, for repo.HeartbeatTimeout, before they acquire the pool.
	maxStartProofAge = repo.HeartbeatTimeout - 200*time.Millisecond
	// maxHeartbeatAge is how old the last written heartbeat may be for the decider to send any
	// order, renewals of leases included. Other proofs of ownership don't count, as a successor
	// knows of heartbeats only.
	maxHeartbeatAge = 4 * time.Second
	// maxDecisionAge is how old a decision to start a task may be when the order is sent. If this
	// host was suspended in between, another host may own the pool by now.
	maxDecisionAge = time.Second
	// leaseMargin is subtracted from the platform's maximum lease.
	leaseMargin = 500 * time.Millisecond
	// eventQueueSize is the capacity of the queue of unprocessed events.
	eventQueueSize = 4096
	// feedWait is how long one long-polling call waits for a change.
	feedWait = time.Second
	// registryPollPause is the pause between two reads of the registry's feed. The registry changes
	// all the time, as the clock readings in the entries of workers advance. The delay does no
	// harm: the platform tolerates for some seconds that a draining worker gets new tasks.
	registryPollPause = 200 * time.Millisecond
	// loadRetryPause is the pause between attempts to read the pool's state.
	loadRetryPause = 100 * time.Millisecond
)

// Workers sends orders to the pool's workers.
type Workers interface {
	Start(ctx context.Context, e event.Start) event.OrderAnswered
	Stop(ctx context.Context, e event.Stop) event.OrderAnswered
	Hold(ctx context.Context, e event.Hold) event.HoldAnswered
	Pace(ctx context.Context, e event.Pace) event.PaceAnswered
}

// Advisor calls the advice service.
type Advisor interface {
	Advise(ctx context.Context, c advice.Call) event.AdviceAnswered
}

var _ Advisor = (*advise.Client)(nil)

var _ Workers = (*platform.WorkerClient)(nil)

// Config holds the settings and dependencies of a Decider.
type Config struct {
	Pool string
	// Owner is the owner row that this host wrote to acquire the pool, Ownership
	// holds the row versions that prove that it still owns the pool.
	Owner     repo.Owner
	Ownership *repo.Ownership
	// AcquiredAt is when the call that acquired the pool was sent, as of timer.SinceBoot.
	AcquiredAt time.Duration
	Store      repo.Store
	// Clock estimates the clock of the store.
	Clock   *watch.Clock
	Owners  *repo.Owners
	Workers Workers
	Advisor Advisor
	// Machines is the service that puts the workers' machines under maintenance.
	Machines waves.Machines
	Rules    func() *work.Rules
	// Evacuations returns the sorted data centres in which no task may start.
	Evacuations func() []string
	// ConfirmationAge returns the age of the latest confirmation that the operator's requests are
	// known.
	ConfirmationAge func() time.Duration
	Bounds          platform.Bounds
	// Stalls records when the process was stalled.
	Stalls *stall.Monitor
	// Cores is how many processor cores this host may use, Capacity how many of
	// them a decider can make use of.
	Cores, Capacity float64
	Meter           *meter.Host
	Log             zerolog.Logger
	// JobElsewhere is called with the pool of each open job that is in another one. It may be nil.
	JobElsewhere func(pool string)
	// Guard contains panics. Ended is called when the decider has ended.
	Guard *guard.Guard
	Ended func(*Decider)
}

// Decider schedules the jobs of one pool while this host owns it.
type Decider struct {
	c      Config
	log    zerolog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	events chan event.Event
	state  *sched.State
	// writer writes the rows of workers. The rows of jobs are written by the
	// partitions, which are keyed by name.
	writer     *repo.Writer
	partitions map[string]*partition
	// takeover logs how far the takeover of the pool has come.
	takeover takeover
	// stale reports whether starts are held back as the operator's requests may have changed
	// unnoticed. Only the loop uses it.
	stale bool
	// waves carries out the actions of maintenance waves.
	waves *waves.Runner
	// retirement tells when the pool is retired, retired that it was.
	retirement retirement
	retired    atomic.Bool

	// ownershipMu serializes heartbeats, each of which changes c.Ownership.
	ownershipMu sync.Mutex
	// proofQueued means that a requested proof of ownership waits for ownershipMu.
	proofQueued atomic.Bool

	// mu guards provedAt, heartbeatAt, heartbeatSeq, waitingJobs and c.Bounds.
	mu sync.Mutex
	// provedAt is the send time of the last call that proved the ownership, heartbeatAt that of
	// the last heartbeat that was written.
	provedAt, heartbeatAt time.Duration
	heartbeatSeq          int64
	// waitingJobs counts waiting jobs by queue, for the heartbeat. It is nil until the
	// count is known.
	waitingJobs map[string]int
	wg          sync.WaitGroup
	stopOnce    sync.Once

	// listed holds the IDs of the pool's workers in the registry, rejected the error of each entry
	// that can't be used, by key. Only the goroutine that reads the registry uses them.
	listed   map[string]bool
	rejected map[string]string
}

// Start starts a Decider for a pool that was just acquired. The Decider runs
// until ctx ends, Stop is called or another host acquires the pool.
func Start(ctx context.Context, c Config) *Decider {
	d := &Decider{
		c: c, log: c.Log.With().Str("pool", c.Pool).Int64("epoch", c.Owner.Epoch).Logger(), events: make(chan event.Event, eventQueueSize),
		provedAt: c.AcquiredAt, heartbeatAt: c.AcquiredAt, listed: map[string]bool{}, rejected: map[string]string{},
	}
	d.ctx, d.cancel = context.WithCancel(ctx)
	d.takeover.began, d.takeover.log = timer.SinceBoot(), d.log
	d.writer = d.newWriter(c.Ownership.Owner)
	d.waves = waves.New(waves.Config{
		Host: c.Owner.Host, Store: c.Store, Owner: c.Ownership.Owner, Machines: c.Machines, Now: func() time.Duration { return d.clock().Steady },
		Notify: d.enqueue, OrderDone: func(o maint.Outcome) { c.Meter.Orders.WithLabelValues("maintenance", string(o)).Inc() }, Deposed: d.ownershipLost, Log: d.log,
	})
	d.partitions = map[string]*partition{}
	for _, p := range repo.JobPartitions() {
		d.partitions[p] = &partition{d: d, name: p, endedAt: map[string]int64{}}
	}
	c.Meter.PoolEpoch.WithLabelValues(c.Pool).Set(float64(c.Owner.Epoch))
	d.spawn(d.run)
	return d
}

// Pool returns the pool's name.
func (d *Decider) Pool() string { return d.c.Pool }

// Running reports whether the decider goes on. It is false before Config.Ended is called.
func (d *Decider) Running() bool { return d.ctx.Err() == nil }

// newWriter returns a Writer whose transactions are all subject to a condition. It leaves the
// records of jobs to the pool that was the first to claim them.
func (d *Decider) newWriter(c repo.Condition) *repo.Writer {
	return repo.NewWriter(repo.WriterConfig{
		Foreign: d.foreign, OnForeign: func(id string) { d.enqueue(event.JobForeign{ID: id}) },
		Store: d.c.Store, Owner: c, OnDeposed: d.ownershipLost, OnConfirmed: d.confirmOwnership, Now: timer.SinceBoot,
		OnError: func(err error) { d.log.Warn().Err(err).Str("part", c.Partition).Msg("store write failed; retrying") },
	})
}

// elsewhere reports an open job of another pool.
func (d *Decider) elsewhere(pool string) {
	if pool != "" && d.c.JobElsewhere != nil {
		d.c.JobElsewhere(pool)
	}
}

// foreign reports whether a row is the record of a job that belongs to another pool.
func (d *Decider) foreign(table string, value []byte) bool {
	if table != repo.TableRecords {
		return false
	}
	rec, err := work.DecodeRecord(value)
	return err == nil && rec.Pool != "" && rec.Pool != d.c.Pool
}

// spawn runs f in the background. A panic ends the decider, as its state may be incomplete.
func (d *Decider) spawn(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		if d.c.Guard.Do("decider", f) {
			d.cancel()
		}
	}()
}

// ownershipLost ends the decider because another host owns the pool.
func (d *Decider) ownershipLost() {
	d.log.Warn().Msg("another host owns the pool; stopping this decider")
	d.cancel()
}

// confirmOwnership records that the pool was owned by this decider at a time.
func (d *Decider) confirmOwnership(at time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.provedAt = max(d.provedAt, at)
}

// releaseTimeout bounds the attempts to release a pool. If they fail, another host acquires the
// pool once the heartbeats time out. The platform allows only some seconds for a planned stop.
const releaseTimeout = 2 * time.Second

// Stop ends the decider and releases the pool, so that another host acquires it
// without waiting for the heartbeat timeout.
func (d *Decider) Stop(ctx context.Context) {
	d.stopOnce.Do(func() {
		d.cancel()
		d.wg.Wait()
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		err := d.c.Owners.Release(ctx, d.c.Ownership, repo.Heartbeat{Epoch: d.c.Owner.Epoch, Host: d.c.Owner.Host, N: -1, Retired: d.Retired()})
		if err != nil {
			d.log.Warn().Err(err).Msg("pool release not recorded; successor waits for the heartbeat timeout")
			return
		}
		d.log.Info().Msg("pool released")
	})
}

// RulesChanged passes a changed configuration to the state machine.
func (d *Decider) RulesChanged(r *work.Rules) { d.enqueue(event.RulesChanged{Rules: r}) }

// BoundsChanged passes changed platform limits to the state machine.
func (d *Decider) BoundsChanged(b platform.Bounds) {
	d.mu.Lock()
	d.c.Bounds = b
	d.mu.Unlock()
	d.enqueue(event.BoundsChanged{Bounds: boundsOf(b)})
}

// bounds returns the platform limits in force.
func (d *Decider) bounds() platform.Bounds {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.c.Bounds
}

// boundsOf converts the platform's limits to those of the state machine.
func boundsOf(b platform.Bounds) event.Bounds {
	return event.Bounds{
		Lease: platform.Milliseconds(b.MaxHoldMS) - leaseMargin, StopTime: platform.Milliseconds(b.StopMS), GangTimeout: platform.Milliseconds(b.GangMS),
		ReclaimTime: platform.Milliseconds(b.ReclaimMS), FarFactor: b.FarFactor,
		MaintenanceTime: platform.Seconds(b.MaintenanceS), TakeoverPause: platform.Milliseconds(b.TurnMS),
		EvacuateTime: platform.Milliseconds(b.EvacuateMS),
	}
}

// WaveRequested passes a new or changed maintenance wave to the state machine.
func (d *Decider) WaveRequested(w maint.Wave) { d.enqueue(event.WaveRequested{Wave: w}) }

// WaveWithdrawn tells the state machine that the operator withdrew the maintenance wave n.
func (d *Decider) WaveWithdrawn(n int64) { d.enqueue(event.WaveWithdrawn{Wave: n}) }

// EvacuationsChanged passes the set of evacuated data centres to the state machine.
func (d *Decider) EvacuationsChanged() {
	d.enqueue(event.EvacuationsChanged{DataCentres: d.c.Evacuations()})
}

// enqueue adds an event to the queue. It blocks while the queue is full.
func (d *Decider) enqueue(e event.Event) {
	select {
	case d.events <- e:
	case <-d.ctx.Done():
	}
}

// run loads the pool's workers, then processes events until the decider ends.
// The partitions load their jobs meanwhile.
func (d *Decider) run() {
	defer d.c.Ended(d)
	defer d.c.Meter.PoolEpoch.WithLabelValues(d.c.Pool).Set(0)
	// Before Ended, which may wait for a caller that waits for room in the queue of events.
	defer d.cancel()
	d.spawn(d.sendHeartbeats)
	l := d.loadWorkers()
	if l == nil {
		return
	}
	b := boundsOf(d.bounds())
	formerOrders := formerOrdersEndIn(d.c.Owner, d.c.Clock)
	d.log.Info().Dur("formerOrders", formerOrders).Msg("takeover: time for which former deciders may still give orders")
	d.state = sched.New(track.Config{
		Pool: d.c.Pool, Epoch: d.c.Owner.Epoch, Bounds: b, FormerOrders: formerOrders, InheritTime: inheritTime(formerOrders, b.Lease+leaseMargin), Window: launch.WindowForCores(d.c.Cores),
		PartitionOf: func(id string) string { return repo.PartitionOf(repo.TableJobs, id) },
	}, d.clock(), d.c.Rules())
	pending := d.state.Handle(d.clock(), event.EvacuationsChanged{DataCentres: d.c.Evacuations()})
	for _, e := range l.events {
		pending = append(pending, d.state.Handle(d.clock(), e)...)
	}
	d.spawn(func() { d.writer.Run(d.ctx) })
	for _, s := range d.partitions {
		d.spawn(s.run)
	}
	d.spawn(d.sweep)
	d.followTables(l)
	d.perform(pending)
	d.log.Info().Int("events", len(l.events)).Dur("took", timer.SinceBoot()-d.takeover.began).Msg("workers of the pool are loaded; decider is running")
	d.c.Meter.Takeover.Observe((timer.SinceBoot() - d.takeover.began).Seconds())
	d.loop()
}

// clockOrigin is the zero of the steady time that the state machine uses.
var clockOrigin = time.Now()

// clock returns the current time as the state machine uses it.
func (d *Decider) clock() event.Clock {
	n := time.Now()
	return event.Clock{Steady: n.Sub(clockOrigin), Wall: n.UnixMilli()}
}

// minBatchInterval is the minimum time between two batches of events. The cost
// of a batch grows with the size of the pool, whatever its events are.
const minBatchInterval = 3 * time.Millisecond

// loop passes events to the state machine in batches and carries out its effects.
func (d *Decider) loop() {
	t := time.NewTimer(0)
	defer t.Stop()
	var last time.Duration
	for {
		var pending []event.Effect
		select {
		case <-d.ctx.Done():
			return
		case e := <-d.events:
			pending = append(pending, d.state.Handle(d.clock(), e)...)
		case <-t.C:
		}
		if remaining := last + minBatchInterval - timer.SinceBoot(); remaining > 0 {
			time.Sleep(remaining)
		}
		last = timer.SinceBoot()
		for more := true; more; {
			select {
			case e := <-d.events:
				pending = append(pending, d.state.Handle(d.clock(), e)...)
			default:
				more = false
			}
		}
		// Leases count from this time, so it must not be later than that of the ages.
		n := d.clock()
		d.state.SetLimits(d.limits())
		effects, next := d.state.Flush(n)
		t.Reset(max(next-n.Steady, time.Millisecond))
		d.perform(append(pending, effects...))
		d.takeover.logProgress(d.state)
		d.countWaiting()
		if d.retireIfUnused() {
			return
		}
	}
}

// limits returns what the decider holds back now.
func (d *Decider) limits() track.Limits {
	stale := d.checkRequestAge()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := timer.SinceBoot()
	return track.Limits{NoStarts: now-d.provedAt > maxStartProofAge || stale, NoOrders: now-d.heartbeatAt > maxHeartbeatAge}
}

// requestsStale reports whether the operator may have requested an evacuation so long ago that no
// task may start there any more, and this host may not know of it yet.
func (d *Decider) requestsStale() bool {
	limit := boundsOf(d.bounds()).MaxRequestAge()
	return limit > 0 && d.c.ConfirmationAge() > limit
}

// checkRequestAge is requestsStale for the loop, and logs each change.
func (d *Decider) checkRequestAge() bool {
	stale := d.requestsStale()
	if stale != d.stale {
		d.stale = stale
		text := "operator's requests are confirmed again; starts go on"
		if stale {
			text = "operator's requests are unconfirmed for too long; starts are held back"
		}
		d.log.Warn().Dur("age", d.c.ConfirmationAge()).Msg(text)
	}
	return stale
}

// countWaiting counts the waiting jobs for the next heartbeat. There is no count before all
// partitions are loaded, and the workers that answer have said what runs.
func (d *Decider) countWaiting() {
	if len(d.state.LoadedPartitions) < len(d.partitions) || !d.state.Surveyed() {
		return
	}
	w := d.state.WaitingByQueue()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waitingJobs = w
}

// perform carries out effects.
func (d *Decider) perform(l []event.Effect) {
	decided := timer.SinceBoot()
	for _, e := range l {
		switch e := e.(type) {
		case event.Start:
			d.takeover.startOrdered(e.Worker)
			d.call("start", decided, func() (event.Event, event.Outcome) { return d.sendStart(e, decided) })
		case event.Stop:
			d.call("stop", decided, func() (event.Event, event.Outcome) { a := d.c.Workers.Stop(d.ctx, e); return a, a.Outcome })
		case event.Hold:
			d.call("hold", decided, func() (event.Event, event.Outcome) { a := d.c.Workers.Hold(d.ctx, e); return a, a.Outcome })
		case event.Pace:
			d.call("pace", decided, func() (event.Event, event.Outcome) { a := d.c.Workers.Pace(d.ctx, e); return a, a.Outcome })
		case event.Advise:
			d.call("advise", decided, func() (event.Event, event.Outcome) { return d.requestAdvice(e.Call) })
		case event.SaveRecord:
			d.partitions[repo.PartitionOf(repo.TableRecords, e.ID)].saveRecord(e)
		case event.HandOver:
			d.partitions[repo.PartitionOf(repo.TableRecords, e.ID)].handOver(e)
		case event.RecordWorker:
			d.writeWorker(e)
		case event.SaveSpeeds:
			d.writeSpeeds(e)
		case event.SpeedsKnown:
			d.c.Meter.KnownSpeeds.Set(float64(e.Workers))
			d.c.Meter.WorkerSpeeds.WithLabelValues("Slowest").Set(e.Slowest)
			d.c.Meter.WorkerSpeeds.WithLabelValues("Fastest").Set(e.Fastest)
		case event.ForgetWorker:
			d.writer.Put(repo.TableWorkers, repo.WorkerKey(d.c.Pool, e.ID), nil, nil)
		case event.ProveOwnership:
			if d.proofQueued.CompareAndSwap(false, true) {
				d.spawn(d.answerProofRequest)
			}
		case event.RunEnded:
			d.c.Meter.RunEnds.WithLabelValues(string(e.Reason)).Inc()
		case event.StartWithdrawn:
			d.c.Meter.StartsWithdrawn.WithLabelValues(string(e.Reason)).Inc()
		case event.JobStarted:
			d.c.Meter.FirstStart.WithLabelValues(d.queueLabel(e.Queue)).Observe(e.Wait.Seconds())
		case event.GangStarted:
			d.c.Meter.GangStart.Observe(e.Took.Seconds())
		case event.JobEnded:
			q := d.queueLabel(e.Queue)
			d.c.Meter.JobsEnded.WithLabelValues(q, string(e.State)).Inc()
			d.c.Meter.JobTime.WithLabelValues(q).Observe(e.Took.Seconds())
		case event.JobReceived:
			tasks, accelerators := e.Job.Size()
			d.log.Info().Str("job", e.Job.ID).Str("queue", e.Job.Queue).Str("account", e.Job.Tenant).Int("tasks", tasks).Int64("accelerators", accelerators).Interface("arrival", loads.NewArrival(e.Job, e.Guaranteed)).Msg(loads.JobTakenIn)
		case event.Maintenance:
			d.spawn(func() { d.waves.Do(d.ctx, e.Action) })
		case event.JobWaits:
			d.c.Meter.Waits.WithLabelValues(e.Cause).Inc()
			d.log.Warn().Str("job", e.Job).Str("step", e.Step).Str("cause", e.Cause).Dur("waited", e.Waited).Dur("roomFor", e.RoomFor).Int("tasks", e.Tasks).Int("room", e.Room).Msg("job has nothing running although there is room")
		case event.PoolState:
			d.log.Info().Int("jobs", e.Jobs).Dur("longest", e.Longest).Int64("free", e.Free).Int64("total", e.Total).Int("workers", e.Workers).Interface("closed", e.Closed).Int("startsLeft", e.StartsLeft).Bool("noStarts", e.NoStarts).Dur("proofAge", e.ProofAge).Int("partitions", e.Partitions).Bool("inheriting", e.Inheriting).Msg("jobs wait; state of the pool")
		case event.LogEntry:
			d.log.Info().Str("job", e.Job).Str("worker", e.Worker).Str("task", e.Task).Int("run", e.Run).Msg(e.Text)
		}
	}
}

// call makes a call to a worker or to the advice service in the background, records its metrics and
// enqueues the resulting event. Decided is when the state machine asked for it.
func (d *Decider) call(kind string, decided time.Duration, call func() (event.Event, event.Outcome)) {
	m := d.c.Meter
	m.OrdersInFlight.WithLabelValues(kind).Inc()
	d.spawn(func() {
		defer m.OrdersInFlight.WithLabelValues(kind).Dec()
		began := timer.SinceBoot()
		m.OrderWait.WithLabelValues(kind).Observe((began - decided).Seconds())
		e, o := call()
		m.OrderTime.WithLabelValues(kind).Observe((timer.SinceBoot() - began).Seconds())
		m.Orders.WithLabelValues(kind, string(o)).Inc()
		d.enqueue(e)
	})
}

// sendStart orders a worker to start a task, unless the decision is older than maxDecisionAge, or
// the worker's data centre is evacuated or may be by now.
func (d *Decider) sendStart(e event.Start, decided time.Duration) (event.Event, event.Outcome) {
	if timer.SinceBoot()-decided > maxDecisionAge || d.requestsStale() || slices.Contains(d.c.Evacuations(), e.DataCentre) {
		return event.OrderAnswered{Call: e.Call, Outcome: event.NotSent}, event.NotSent
	}
	a := d.c.Workers.Start(d.ctx, e)
	if a.Outcome != event.Accepted {
		d.log.Info().Str("worker", e.Worker).Stringer("task", e.Task).Int("run", e.Run).Str("outcome", string(a.Outcome)).
			Dur("took", timer.SinceBoot()-decided).Dur("stalled", d.c.Stalls.StalledSince(decided)).Msg("start of a task was not confirmed by the worker")
	}
	return a, a.Outcome
}

// requestAdvice asks the advice service which workers may run a step.
func (d *Decider) requestAdvice(c advice.Call) (event.Event, event.Outcome) {
	sent := d.clock().Steady
	a := d.c.Advisor.Advise(d.ctx, c)
	a.Sent = sent
	d.log.Info().Str("step", c.Step).Int("asked", len(c.Incarnations)).Int("good", len(a.Tickets)).Dur("valid", a.Valid).AnErr("cause", a.Err).Msg("advice service was asked about a step")
	if a.Err != nil {
		return a, event.NoAnswer
	}
	return a, event.Accepted
}

// minRecordRetention is the minimum time for which records of ended jobs are kept.
const minRecordRetention = time.Second

// sweep regularly deletes the records of jobs that ended so long ago that clients
// need not be shown them any more.
func (d *Decider) sweep() {
	// Twice the time that the platform asks for, as the clocks of hosts differ.
	retention := max(2*platform.Seconds(d.bounds().StatusS), minRecordRetention)
	t := time.NewTicker(retention / 4)
	defer t.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-t.C:
			endedBefore := time.Now().Add(-retention).UnixMilli()
			for _, s := range d.partitions {
				s.sweep(endedBefore)
			}
		}
	}
}

// queueLabel returns the metric label of a queue. Queues that aren't configured
// share one label, which bounds the number of label values.
func (d *Decider) queueLabel(name string) string {
	if r := d.c.Rules(); r != nil && r.Queues[name] != nil {
		return name
	}
	return "other"
}

// sendHeartbeats writes a heartbeat every repo.HeartbeatPeriod. Each one that is
// written proves that the pool is still owned.
func (d *Decider) sendHeartbeats() {
	t := time.NewTicker(repo.HeartbeatPeriod)
	defer t.Stop()
	for d.ctx.Err() == nil {
		d.proveOwnership()
		select {
		case <-d.ctx.Done():
		case <-t.C:
		}
	}
}

// answerProofRequest proves the ownership for the state machine. The call is sent after all
// requests that came while it waited for its turn, so it answers them too.
func (d *Decider) answerProofRequest() {
	if sent, proved := d.proveInTurn(); proved {
		d.enqueue(event.OwnershipProved{At: sent})
	}
}

// proveInTurn is proveOwnership for a queued request. It also returns when the call was sent.
func (d *Decider) proveInTurn() (time.Duration, bool) {
	d.ownershipMu.Lock()
	defer d.ownershipMu.Unlock()
	d.proofQueued.Store(false)
	sent := d.clock().Steady
	return sent, d.writeHeartbeat()
}

// proveOwnership writes the pool's heartbeat once those before it are written.
func (d *Decider) proveOwnership() {
	d.ownershipMu.Lock()
	defer d.ownershipMu.Unlock()
	d.writeHeartbeat()
}

// writeHeartbeat writes the pool's heartbeat, which also carries the counts of waiting jobs that
// other hosts show to clients. It returns whether the write proves that the pool is still owned.
// The caller holds ownershipMu.
func (d *Decider) writeHeartbeat() bool {
	d.mu.Lock()
	d.heartbeatSeq++
	b := repo.Heartbeat{Epoch: d.c.Owner.Epoch, Host: d.c.Owner.Host, N: d.heartbeatSeq, Waiting: d.waitingJobs, Capacity: d.c.Capacity}
	d.mu.Unlock()
	sent := timer.SinceBoot()
	owned, err := d.c.Owners.Heartbeat(d.ctx, d.c.Ownership, b)
	switch {
	case err != nil:
		if d.ctx.Err() == nil {
			d.log.Warn().Err(err).Msg("heartbeat not written; ownership of the pool is unconfirmed")
		}
		return false
	case !owned:
		d.ownershipLost()
		return false
	}
	d.mu.Lock()
	d.heartbeatAt = max(d.heartbeatAt, sent)
	d.mu.Unlock()
	d.confirmOwnership(sent)
	return true
}
