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

// Limits of repeated attempts.
const (
	// maxRestarts limits how often a job is restarted after an attempt that failed or was
	// lost.
	maxRestarts = 30
	// firstBackoff is the first wait before a retry. It doubles with each retry, up to
	// maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// avoidRefusing and avoidBroken are how long a job isn't placed on a target that didn't
	// accept it, and on one where it failed.
	avoidRefusing = 2 * time.Second
	avoidBroken   = 30 * time.Second
)

// BeginLaunch begins a new attempt of a waiting job on the given targets, one for each member,
// and launches it in the background. The caller holds Mu.
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

// launch reserves every member of a gang, and starts them once all are reserved. No other code
// moves the job out of the state Starting.
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

// startAll orders every member to start. If the gang spans several targets, each task starts
// only after the arming delay, and the orders must be accepted within half of it. If one
// target doesn't answer, the others can thus still be stopped before they start.
func (c *Controller) startAll(ctx context.Context, j *active.Job) (failedTarget, reason string) {
	if d := c.armDelay(j); d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d/2)
		defer cancel()
	}
	return c.sendToAll(ctx, j, target.Start)
}

// armDelay returns the arming delay of a gang, which is 0 if the gang is on one target.
func (c *Controller) armDelay(j *active.Job) time.Duration {
	for i := range j.Members {
		if j.Members[i].Target != j.Members[0].Target {
			return c.Config.Bounds.Arm
		}
	}
	return 0
}

// observeWaitTime records in the metrics how long a job waited for its start. The caller holds
// Mu.
func (c *Controller) observeWaitTime(j *active.Job) {
	s := j.Spec()
	c.Config.Meter.Wait.WithLabelValues(s.Account, s.Kind).Observe(j.Record.Started.Sub(j.Record.Accepted).Seconds())
}

// writeIntent records in the job's row the attempt of a non-idempotent job, its targets and
// their incarnations. It is called before any order is sent, so that the next decider knows
// where the job may have run.
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

// ReloadVersion reads the version of a job's row after a write whose outcome is unknown. It
// leaves the record in memory as it is.
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

// newOrder returns the order of action a for the member i of a job. The caller holds Mu.
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

// ordersByTarget returns the orders of action a for each target, for the members for which
// want returns true. The caller holds Mu.
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

// sendToAll sends the order of action a to all members in parallel. It returns the first
// target, by ID, that didn't accept it, with the reason, or empty strings. Nothing is sent if
// a target is no longer listed.
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

// sendToNode sends orders to one target, and returns why it didn't accept one, or an empty
// string.
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

// abandonAttempt ends an attempt of which no member was started, and requeues the job. The job
// avoids failedTarget, if any, for a while.
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

// requeue returns a job whose attempt has ended to the waiting jobs. It may be placed again
// after a backoff, or at once if it was preempted. The caller holds Mu.
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

// preemptedEvent is the event of a job that is requeued because it was preempted.
const preemptedEvent = "Preempted"

// clearAttempt clears the attempt of a job. It orders the targets to stop the members that
// have not ended and to forget them all, but doesn't wait for that. The caller holds Mu.
func (c *Controller) clearAttempt(j *active.Job) {
	stop := c.ordersByTarget(j, target.Stop, func(m *active.Member) bool { return !m.Ended() })
	forget := c.ordersByTarget(j, target.Forget, active.AnyMember)
	for x, o := range forget {
		o = append(stop[x], o...)
		c.Work.Add(1)
		go func() {
			defer c.Work.Done()
			if _, err := c.Send(c.Ctx, x, o); err != nil {
				c.RequestRelist(x)
			}
		}()
	}
	j.Members, j.Guarantee, j.HaltReason = nil, "", active.HaltNone
	j.Attempt = jobs.Attempt{}
}

// HaltJob begins to stop all members of a job. The caller holds Mu.
func (c *Controller) HaltJob(j *active.Job, reason active.HaltReason, detail string) {
	c.Fire(j, jobs.Halt)
	j.HaltReason, j.HaltDetail, j.HaltedAt = reason, detail, c.Now()
	c.AddEvent(j, "Stopping", string(reason)+": "+detail)
	c.ResendStop(j)
	c.Advance(j)
}

// ResendStop sends, again if need be, the orders that stop a job's members. A preempted job
// that can be checkpointed is ordered to do so until Bounds.Checkpoint has passed, and to stop
// after that. The caller holds Mu.
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

// Stuck reports whether a job hasn't stopped within the time that its bounds allow.
func (c *Controller) Stuck(j *active.Job) bool {
	return j.Record.State == jobs.Stopping && c.Now().Sub(j.HaltedAt) > c.Config.Bounds.Checkpoint+c.Config.Bounds.Stop
}
