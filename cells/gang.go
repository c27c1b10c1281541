package cells

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

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

// begin places a waiting job and starts its launch. The lock is held.
func (c *Cell) begin(j *job, targets []string, guarantee string) {
	c.attempts++
	j.attempt = jobs.Attempt{Epoch: c.hold.Epoch, Number: c.attempts}
	j.guarantee = guarantee
	j.members = make([]member, len(targets))
	for i, t := range targets {
		j.members[i].target = t
	}
	c.fire(j, jobs.Place)
	delete(c.waits, j.key())
	what := "PlacedAsBorrower"
	if guarantee != "" {
		what = "PlacedOnGuarantee"
	}
	c.event(j, what, fmt.Sprint(targets))
	c.wg.Add(1)
	go c.launch(j, targets)
}

// launch reserves every member of a gang, and starts them once all are
// reserved. Nothing else moves the job out of Starting.
func (c *Cell) launch(j *job, targets []string) {
	defer c.wg.Done()
	ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	if j.spec().NonIdempotent {
		if err := c.intend(ctx, j, targets); err != nil {
			c.abandon(j, "intent not written: "+err.Error(), "")
			return
		}
	}
	if bad, why := c.orderAll(ctx, j, target.Reserve); bad != "" {
		c.abandon(j, fmt.Sprintf("not reserved at %s: %s", bad, why), bad)
		return
	}
	bad, why := c.startAll(ctx, j)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	if bad != "" {
		j.avoid[bad] = c.now().Add(avoidRefusing)
		c.haltJob(j, haltFailed, fmt.Sprintf("not started at %s: %s", bad, why))
		return
	}
	c.fire(j, jobs.Launch)
	j.Record.Started = c.now()
	c.event(j, "Running", j.attempt.String())
	c.observeStart(j)
	c.advance(j)
	c.wake()
}

// startAll orders every member to start. If they are on several targets, each
// waits for the arming delay, so that the others can still be kept from
// starting if one doesn't answer.
func (c *Cell) startAll(ctx context.Context, j *job) (bad, why string) {
	if d := c.armDelay(j); d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d/2)
		defer cancel()
	}
	return c.orderAll(ctx, j, target.Start)
}

// armDelay returns the arming delay of a gang: none if it is on one target.
func (c *Cell) armDelay(j *job) time.Duration {
	for i := range j.members {
		if j.members[i].target != j.members[0].target {
			return c.c.Bounds.Arm
		}
	}
	return 0
}

// observeStart measures how long a job waited. The lock is held.
func (c *Cell) observeStart(j *job) {
	s := j.spec()
	c.c.Meter.Wait.WithLabelValues(s.Account, s.Kind).Observe(j.Record.Started.Sub(j.Record.Accepted).Seconds())
}

// intend writes which targets a non-idempotent job may run on, before any is
// asked to.
func (c *Cell) intend(ctx context.Context, j *job, targets []string) error {
	c.mu.Lock()
	r := *j.Record
	r.Attempt, r.Targets = j.attempt, targets
	r.Incarnations = make([]string, len(targets))
	for i, t := range targets {
		if x := c.nodes[t]; x != nil {
			r.Incarnations[i] = x.incarnation
		}
	}
	e := ledger.Entry{Record: &r, Version: j.Version}
	c.mu.Unlock()
	v, err := c.c.Records.Update(ctx, c.hold, e)
	if errors.Is(err, ledger.ErrFenced) {
		c.lost("table service has a newer epoch")
	}
	if err != nil {
		c.reload(j)
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j.Version = v
	j.Record.Attempt, j.Record.Targets, j.Record.Incarnations = r.Attempt, r.Targets, r.Incarnations
	return nil
}

// reload learns the version of a job's row after an uncertain write.
func (c *Cell) reload(j *job) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	e, err := c.c.Records.Load(ctx, j.key())
	if err != nil || e.Record == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j.Version = e.Version
}

// order is the order of that action to a member. The lock is held.
func (c *Cell) order(j *job, a target.Action, i int) target.Order {
	o := target.Order{Action: a, Task: target.TaskID{Job: j.key(), Attempt: j.attempt, Member: i}}
	switch a {
	case target.Start:
		o.Delay, o.Lease = units.Duration(c.armDelay(j)), units.Duration(c.c.Bounds.Start)
		return o
	case target.Reserve:
	default:
		return o
	}
	s := j.spec()
	o.Room, o.Guarantee = s.Task(), j.guarantee
	o.Arguments, o.Input = s.Arguments, s.Input
	for k := range j.members {
		o.Targets = append(o.Targets, j.members[k].target)
	}
	return o
}

// orders collects the orders of an action by target, for the members that
// want returns true for. The lock is held.
func (c *Cell) orders(j *job, a target.Action, want func(*member) bool) map[*node][]target.Order {
	m := map[*node][]target.Order{}
	for i := range j.members {
		x := c.nodes[j.members[i].target]
		if x != nil && want(&j.members[i]) {
			m[x] = append(m[x], c.order(j, a, i))
		}
	}
	return m
}

func every(*member) bool { return true }

// orderAll gives an order to every member at once, and returns a target that
// didn't accept it, with the reason.
func (c *Cell) orderAll(ctx context.Context, j *job, a target.Action) (bad, why string) {
	c.mu.Lock()
	m := c.orders(j, a, every)
	for i := range j.members {
		if c.nodes[j.members[i].target] == nil {
			bad, why = j.members[i].target, "no longer listed"
		}
	}
	for i := range j.members {
		j.members[i].asked = j.members[i].asked || a == target.Start && bad == ""
	}
	c.mu.Unlock()
	if bad != "" {
		return bad, why
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for x, o := range m {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if w := c.orderNode(ctx, j, x, o); w != "" {
				mu.Lock()
				defer mu.Unlock()
				if bad == "" || x.host.ID < bad {
					bad, why = x.host.ID, w
				}
			}
		}()
	}
	wg.Wait()
	return bad, why
}

// orderNode gives orders to one target, and returns why it didn't accept one.
func (c *Cell) orderNode(ctx context.Context, j *job, x *node, o []target.Order) string {
	r, err := c.send(ctx, x, o)
	if err != nil {
		return err.Error()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	why := ""
	for i := range o {
		if r[i] != target.Accepted {
			why = string(r[i])
			j.members[o[i].Task.Member].asked = false
			continue
		}
		j.members[o[i].Task.Member].ordered(o[i].Action)
	}
	return why
}

// ordered notes an accepted order, unless a report was faster.
func (m *member) ordered(a target.Action) {
	if a == target.Reserve && m.state == "" {
		m.state = target.Reserved
	}
}

// abandon gives up an attempt of which nothing was started.
func (c *Cell) abandon(j *job, detail, bad string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	if bad != "" {
		j.avoid[bad] = c.now().Add(avoidRefusing)
	}
	c.yield(j, "NotReserved", detail)
}

// yield lets a job wait again whose attempt has ended. The lock is held.
func (c *Cell) yield(j *job, what, detail string) {
	c.clear(j)
	c.fire(j, jobs.Yield)
	c.event(j, what, detail)
	j.refusals++
	d := min(firstBackoff<<min(j.refusals, 10), maxBackoff)
	if what == preemptedEvent {
		d = 0
	}
	j.notBefore = c.now().Add(d)
	c.c.Meter.Retries.WithLabelValues(j.spec().Account).Inc()
	c.advance(j)
	c.wake()
}

const preemptedEvent = "Preempted"

// clear makes the targets forget the attempt, and forgets it here. The lock
// is held.
func (c *Cell) clear(j *job) {
	stop := c.orders(j, target.Stop, func(m *member) bool { return !m.ended() })
	forget := c.orders(j, target.Forget, every)
	for x, o := range forget {
		o = append(stop[x], o...)
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.send(c.ctx, x, o)
		}()
	}
	j.members, j.guarantee, j.halt = nil, "", haltNone
	j.attempt = jobs.Attempt{}
}

// haltJob begins to stop all members of a job. The lock is held.
func (c *Cell) haltJob(j *job, why haltReason, detail string) {
	c.fire(j, jobs.Halt)
	j.halt, j.detail, j.halted = why, detail, c.now()
	c.event(j, "Stopping", string(why)+": "+detail)
	c.press(j)
	c.advance(j)
}

// press repeats the orders by which a job is stopped. The lock is held.
func (c *Cell) press(j *job) {
	a := target.Stop
	if j.halt == haltPreempted && j.spec().Checkpoints && c.now().Sub(j.halted) < c.c.Bounds.Checkpoint {
		a = target.Checkpoint
	}
	for x, o := range c.orders(j, a, func(m *member) bool { return !m.ended() }) {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.send(c.ctx, x, o)
		}()
	}
}

// stuck reports whether a job should have stopped long ago.
func (c *Cell) stuck(j *job) bool {
	return j.Record.State == jobs.Stopping && c.now().Sub(j.halted) > c.c.Bounds.Checkpoint+c.c.Bounds.Stop
}
