package cells

import (
	"context"
	"errors"
	"time"

	"citronbridge/active"
	"citronbridge/fleet"
	"citronbridge/gangs"
	"citronbridge/jobs"
	"citronbridge/target"
)

const (
	retryWait    = 100 * time.Millisecond // pause after a call that failed
	maxWatchWait = 3 * time.Second        // limit of a target's wait for changes before it answers
)

// startWatch starts to watch a target. Health and incarnation are kept if the target was
// watched at another address. The caller holds Mu.
func (c *Cell) startWatch(h fleet.Host) {
	x := &gangs.Node{ID: h.ID, Host: h, Listed: true, Conn: c.Config.Connect(h, c.Config.Bounds.Lease), LastRenewal: c.AcquiredAt, StrayTasks: map[target.TaskID]jobs.Room{}}
	if o := c.Nodes[h.ID]; o != nil {
		x.Health, x.Incarnation = o.Health, o.Incarnation
	}
	var ctx context.Context
	ctx, x.Cancel = context.WithCancel(c.Ctx)
	c.Nodes[h.ID] = x
	c.Work.Add(1)
	go c.watchTarget(ctx, x)
}

// watchTarget polls a target until ctx ends. Each poll renews the leases of the tasks there.
func (c *Cell) watchTarget(ctx context.Context, x *gangs.Node) {
	defer c.Work.Done()
	wait := min(c.Config.Bounds.Lease/3, maxWatchWait)
	for ctx.Err() == nil {
		sent := c.Now()
		r, full, err := c.poll(ctx, x, wait)
		switch {
		case errors.Is(err, target.ErrStaleEpoch):
			c.Depose("target " + x.ID + " has a newer epoch")
			return
		case err != nil:
			c.recordUnanswered(x)
			select {
			case <-ctx.Done():
			case <-time.After(retryWait):
			}
		default:
			c.handleReport(x, r, sent, full)
		}
	}
}

// recordUnanswered counts a call that a target didn't answer. The next poll lists all tasks.
func (c *Cell) recordUnanswered(x *gangs.Node) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	x.UnansweredCalls++
	x.Relist = true
	if x.UnansweredCalls == gangs.MaxUnansweredCalls {
		c.RequestPlan()
	}
}

// poll returns the next report of a target. It is full if the target had to be fenced, as it is new
// or has restarted. Otherwise it has the changes since the last one, or all tasks to relist them.
func (c *Cell) poll(ctx context.Context, x *gangs.Node, wait time.Duration) (r target.Report, full bool, err error) {
	c.Mu.Lock()
	fenced, seq, incarnation := x.Fenced, x.Sequence, x.Incarnation
	if x.Relist {
		seq, x.Relist = 0, false
	}
	c.Mu.Unlock()
	if !fenced {
		r, err = x.Conn.Fence(ctx, c.Hold.Epoch)
		return r, true, err
	}
	r, err = x.Conn.Watch(ctx, c.Hold.Epoch, seq, wait)
	if err == nil && r.Incarnation != incarnation {
		r, err = x.Conn.Fence(ctx, c.Hold.Epoch)
		return r, true, err
	}
	return r, false, err
}

// handleReport updates members from a report. A target doesn't know tasks its full report omits.
func (c *Cell) handleReport(x *gangs.Node, r target.Report, sent time.Time, full bool) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	x.LastRenewal, x.UnansweredCalls = sent, 0
	restarted := x.Incarnation != "" && x.Incarnation != r.Incarnation
	x.Incarnation, x.Sequence = r.Incarnation, r.Sequence
	changedJobs := map[*active.Job]bool{}
	reported := map[target.TaskID]bool{}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		reported[t.ID] = true
		if j := c.updateMember(x, t); j != nil {
			changedJobs[j] = true
		}
	}
	if full {
		c.markMissing(x, reported, restarted, changedJobs)
	}
	if !x.Fenced {
		x.Fenced = true
		c.RequestPlan()
	}
	for j := range changedJobs {
		c.Advance(j)
	}
}

// updateMember updates a member from the reported state of its task and returns its job. For a task
// of no current attempt, which is stopped and forgotten, it returns nil. The caller holds Mu.
func (c *Cell) updateMember(x *gangs.Node, t *target.Task) *active.Job {
	j := c.Jobs[t.ID.Job]
	if j == nil || j.Attempt != t.ID.Attempt || t.ID.Member >= len(j.Members) {
		c.discardStray(x, t)
		return nil
	}
	m := &j.Members[t.ID.Member]
	if m.Target != x.ID || m.Ended() {
		return nil
	}
	m.State, m.Detail = t.State, t.Detail
	m.Started = m.Started || t.Started
	if t.State == target.Complete {
		m.SetOutput(t)
	}
	return j
}

// discardStray stops a task that belongs to no current attempt and makes its target forget it.
// The room of the task counts as in use until then. The caller holds Mu.
func (c *Cell) discardStray(x *gangs.Node, t *target.Task) {
	o := []target.Order{{Action: target.Stop, Task: t.ID}, {Action: target.Forget, Task: t.ID}}
	if t.State.Ended() {
		delete(x.StrayTasks, t.ID)
		o = o[1:]
	} else {
		x.StrayTasks[t.ID] = t.Room
	}
	c.Work.Add(1)
	go func() {
		defer c.Work.Done()
		r, err := c.Send(c.Ctx, x, o)
		c.Mu.Lock()
		defer c.Mu.Unlock()
		switch {
		case err != nil:
			x.Relist = true
		case r[len(r)-1] != target.WrongState:
			delete(x.StrayTasks, t.ID)
			c.RequestPlan()
		}
	}()
}

// markMissing marks the members of a target as lapsed that its full report leaves out. One
// that may have run before the target restarted counts as started. The caller holds Mu.
func (c *Cell) markMissing(x *gangs.Node, reported map[target.TaskID]bool, restarted bool, changedJobs map[*active.Job]bool) {
	for _, j := range c.Jobs {
		for i := range j.Members {
			m := &j.Members[i]
			id := target.TaskID{Job: j.Key(), Attempt: j.Attempt, Member: i}
			if m.Target != x.ID || m.Ended() || reported[id] || j.Record.State == jobs.Starting {
				continue
			}
			m.State, m.Detail = target.Lapsed, "unknown to its target"
			if m.Started || restarted || c.restartedSinceIntent(j, i, x.Incarnation) {
				m.Started = true
				j.TargetGone = j.TargetGone || j.Record.State == jobs.Settling
				m.Detail = "lost when its target restarted"
			}
			changedJobs[j] = true
		}
	}
}

// restartedSinceIntent reports whether the target of the member i has restarted since the
// intent of a non-idempotent job was written.
func (c *Cell) restartedSinceIntent(j *active.Job, i int, incarnation string) bool {
	r := j.Record
	return r.Attempt == j.Attempt && i < len(r.Incarnations) && r.Incarnations[i] != incarnation
}
