package gangs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"citronbridge/active"
	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/target"
	"citronbridge/units"
)

// Bounds of repeated attempts.
const (
	maxRestarts  = 30
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// avoidRefusing and avoidBroken are how long a job is kept from a target
	// that didn't take it, and from one where it broke.
	avoidRefusing = 2 * time.Second
	avoidBroken   = 30 * time.Second
)

// BeginLaunch places a waiting job and starts its launch. The lock is held.
func (c *Controller) BeginLaunch(j *active.Job, targets []string, guarantee string) {
	c.lastAttempt++
	j.Attempt = jobs.Attempt{Epoch: c.Hold.Epoch, Number: c.lastAttempt}
	j.Guarantee = guarantee
	j.Members = make([]active.Member, len(targets))
	for i, t := range targets {
		j.Members[i].Target = t
	}
	c.Fire(j, jobs.Place)
	delete(c.Waits, j.Key())
	what := "PlacedAsBorrower"
	if guarantee != "" {
		what = "PlacedOnGuarantee"
	}
	c.AddEvent(j, what, fmt.Sprint(targets))
	c.Work.Add(1)
	go c.launch(j, targets)
}

// launch reserves every member of a gang, and starts them once all are
// reserved. Nothing else moves the job out of Starting.
func (c *Controller) launch(j *active.Job, targets []string) {
	defer c.Work.Done()
	ctx, cancel := context.WithTimeout(c.Ctx, writeTimeout)
	defer cancel()
	if j.Spec().NonIdempotent {
		if err := c.writeIntent(ctx, j, targets); err != nil {
			c.abandonAttempt(j, "intent not written: "+err.Error(), "")
			return
		}
	}
	if failedTarget, reason := c.sendToAll(ctx, j, target.Reserve); failedTarget != "" {
		c.abandonAttempt(j, fmt.Sprintf("not reserved at %s: %s", failedTarget, reason), failedTarget)
		return
	}
	failedTarget, reason := c.startAll(ctx, j)
	c.Mu.Lock()
	defer c.Mu.Unlock()
	if c.Ctx.Err() != nil {
		return
	}
	if failedTarget != "" {
		j.Avoid[failedTarget] = c.Now().Add(avoidRefusing)
		c.HaltJob(j, active.HaltFailed, fmt.Sprintf("not started at %s: %s", failedTarget, reason))
		return
	}
	c.Fire(j, jobs.Launch)
	j.Record.Started = c.Now()
	c.AddEvent(j, "Running", j.Attempt.String())
	c.observeWaitTime(j)
	c.Advance(j)
	c.RequestPlan()
}

// startAll orders every member to start. If they are on several targets, each
// waits for the arming delay, so that the others can still be kept from
// starting if one doesn't answer.
func (c *Controller) startAll(ctx context.Context, j *active.Job) (failedTarget, reason string) {
	if d := c.armDelay(j); d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d/2)
		defer cancel()
	}
	return c.sendToAll(ctx, j, target.Start)
}

// armDelay returns the arming delay of a gang: none if it is on one target.
func (c *Controller) armDelay(j *active.Job) time.Duration {
	for i := range j.Members {
		if j.Members[i].Target != j.Members[0].Target {
			return c.Config.Bounds.Arm
		}
	}
	return 0
}

// observeWaitTime measures how long a job waited. The lock is held.
func (c *Controller) observeWaitTime(j *active.Job) {
	s := j.Spec()
	c.Config.Meter.Wait.WithLabelValues(s.Account, s.Kind).Observe(j.Record.Started.Sub(j.Record.Accepted).Seconds())
}

// writeIntent writes which targets a non-idempotent job may run on, before any is
// asked to.
func (c *Controller) writeIntent(ctx context.Context, j *active.Job, targets []string) error {
	c.Mu.Lock()
	r := *j.Record
	r.Attempt, r.Targets = j.Attempt, targets
	r.Incarnations = make([]string, len(targets))
	for i, t := range targets {
		if x := c.Nodes[t]; x != nil {
			r.Incarnations[i] = x.Incarnation
		}
	}
	e := ledger.Entry{Record: &r, Version: j.Version}
	c.Mu.Unlock()
	v, err := c.Config.Records.Update(ctx, c.Hold, e)
	if errors.Is(err, ledger.ErrFenced) {
		c.Depose("table service has a newer epoch")
	}
	if err != nil {
		c.ReloadVersion(j)
		return err
	}
	c.Mu.Lock()
	defer c.Mu.Unlock()
	j.Version = v
	j.Record.Attempt, j.Record.Targets, j.Record.Incarnations = r.Attempt, r.Targets, r.Incarnations
	return nil
}

// ReloadVersion learns the version of a job's row after an uncertain write.
func (c *Controller) ReloadVersion(j *active.Job) {
	ctx, cancel := context.WithTimeout(c.Ctx, callTimeout)
	defer cancel()
	e, err := c.Config.Records.Load(ctx, j.Key())
	if err != nil || e.Record == nil {
		return
	}
	c.Mu.Lock()
	defer c.Mu.Unlock()
	j.Version = e.Version
}

// newOrder is the order of that action to a member. The lock is held.
func (c *Controller) newOrder(j *active.Job, a target.Action, i int) target.Order {
	o := target.Order{Action: a, Task: target.TaskID{Job: j.Key(), Attempt: j.Attempt, Member: i}}
	switch a {
	case target.Start:
		o.Delay, o.Lease = units.Duration(c.armDelay(j)), units.Duration(c.Config.Bounds.Start)
		return o
	case target.Reserve:
	default:
		return o
	}
	s := j.Spec()
	o.Room, o.Guarantee = s.TaskRoom(), j.Guarantee
	o.Arguments, o.Input = s.Arguments, s.Input
	for k := range j.Members {
		o.Targets = append(o.Targets, j.Members[k].Target)
	}
	return o
}

// ordersByTarget collects the orders of an action by target, for the members that
// want returns true for. The lock is held.
func (c *Controller) ordersByTarget(j *active.Job, a target.Action, want func(*active.Member) bool) map[*Node][]target.Order {
	m := map[*Node][]target.Order{}
	for i := range j.Members {
		x := c.Nodes[j.Members[i].Target]
		if x != nil && want(&j.Members[i]) {
			m[x] = append(m[x], c.newOrder(j, a, i))
		}
	}
	return m
}

// sendToAll gives an order to every member at once, and returns a target that
// didn't accept it, with the reason.
func (c *Controller) sendToAll(ctx context.Context, j *active.Job, a target.Action) (failedTarget, reason string) {
	c.Mu.Lock()
	m := c.ordersByTarget(j, a, active.AnyMember)
	for i := range j.Members {
		if c.Nodes[j.Members[i].Target] == nil {
			failedTarget, reason = j.Members[i].Target, "no longer listed"
		}
	}
	for i := range j.Members {
		j.Members[i].StartSent = j.Members[i].StartSent || a == target.Start && failedTarget == ""
	}
	c.Mu.Unlock()
	if failedTarget != "" {
		return failedTarget, reason
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for x, o := range m {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if w := c.sendToNode(ctx, j, x, o); w != "" {
				mu.Lock()
				defer mu.Unlock()
				if failedTarget == "" || x.ID < failedTarget {
					failedTarget, reason = x.ID, w
				}
			}
		}()
	}
	wg.Wait()
	return failedTarget, reason
}

// sendToNode gives orders to one target, and returns why it didn't accept one.
func (c *Controller) sendToNode(ctx context.Context, j *active.Job, x *Node, o []target.Order) string {
	r, err := c.Send(ctx, x, o)
	if err != nil {
		return err.Error()
	}
	c.Mu.Lock()
	defer c.Mu.Unlock()
	reason := ""
	for i := range o {
		if r[i] != target.Accepted {
			reason = string(r[i])
			j.Members[o[i].Task.Member].StartSent = false
			continue
		}
		j.Members[o[i].Task.Member].RecordAccepted(o[i].Action)
	}
	return reason
}

// abandonAttempt gives up an attempt of which nothing was started.
func (c *Controller) abandonAttempt(j *active.Job, detail, failedTarget string) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	if c.Ctx.Err() != nil {
		return
	}
	if failedTarget != "" {
		j.Avoid[failedTarget] = c.Now().Add(avoidRefusing)
	}
	c.requeue(j, "NotReserved", detail)
}

// requeue lets a job wait again whose attempt has ended. The lock is held.
func (c *Controller) requeue(j *active.Job, what, detail string) {
	switch {
	case j.HasStarted():
		j.Record.Past = jobs.HasRan
	case j.TargetGone && j.Record.Past == jobs.NeverRan:
		j.Record.Past = jobs.MayHaveRan
	}
	c.clearAttempt(j)
	c.Fire(j, jobs.Requeue)
	c.AddEvent(j, what, detail)
	j.Requeues++
	d := min(firstBackoff<<min(j.Requeues, 10), maxBackoff)
	if what == preemptedEvent {
		d = 0
	}
	j.NotBefore = c.Now().Add(d)
	c.Config.Meter.Retries.WithLabelValues(j.Spec().Account).Inc()
	c.Advance(j)
	c.RequestPlan()
}

const preemptedEvent = "Preempted"

// clearAttempt makes the targets forget the attempt, and forgets it here. The lock
// is held.
func (c *Controller) clearAttempt(j *active.Job) {
	stop := c.ordersByTarget(j, target.Stop, func(m *active.Member) bool { return !m.Ended() })
	forget := c.ordersByTarget(j, target.Forget, active.AnyMember)
	for x, o := range forget {
		o = append(stop[x], o...)
		c.Work.Add(1)
		go func() {
			defer c.Work.Done()
			c.Send(c.Ctx, x, o)
		}()
	}
	j.Members, j.Guarantee, j.HaltReason = nil, "", active.HaltNone
	j.Attempt = jobs.Attempt{}
}

// HaltJob begins to stop all members of a job. The lock is held.
func (c *Controller) HaltJob(j *active.Job, reason active.HaltReason, detail string) {
	c.Fire(j, jobs.Halt)
	j.HaltReason, j.HaltDetail, j.HaltedAt = reason, detail, c.Now()
	c.AddEvent(j, "Stopping", string(reason)+": "+detail)
	c.ResendStop(j)
	c.Advance(j)
}

// ResendStop repeats the orders by which a job is stopped. The lock is held.
func (c *Controller) ResendStop(j *active.Job) {
	a := target.Stop
	if j.HaltReason == active.HaltPreempted && j.Spec().Checkpoints && c.Now().Sub(j.HaltedAt) < c.Config.Bounds.Checkpoint {
		a = target.Checkpoint
	}
	for x, o := range c.ordersByTarget(j, a, func(m *active.Member) bool { return !m.Ended() }) {
		c.Work.Add(1)
		go func() {
			defer c.Work.Done()
			c.Send(c.Ctx, x, o)
		}()
	}
}

// Stuck reports whether a job should have stopped long ago.
func (c *Controller) Stuck(j *active.Job) bool {
	return j.Record.State == jobs.Stopping && c.Now().Sub(j.HaltedAt) > c.Config.Bounds.Checkpoint+c.Config.Bounds.Stop
}
