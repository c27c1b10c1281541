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

// Bounds of the conversation with a target.
const (
	redialWait = 100 * time.Millisecond
	maxWatch   = 3 * time.Second
)

// meet starts the conversation with a target. The lock is held.
func (c *Cell) meet(h fleet.Host) {
	x := &gangs.Node{ID: h.ID, Host: h, Listed: true, Conn: c.Config.Connect(h, c.Config.Bounds.Lease), Contact: c.Taken, Strays: map[target.TaskID]jobs.Room{}}
	if o := c.Nodes[h.ID]; o != nil {
		x.Health, x.Incarnation = o.Health, o.Incarnation
	}
	var ctx context.Context
	ctx, x.Cancel = context.WithCancel(c.Ctx)
	c.Nodes[h.ID] = x
	c.Work.Add(1)
	go c.watch(ctx, x)
}

// watch keeps up the conversation with a target until ctx ends.
func (c *Cell) watch(ctx context.Context, x *gangs.Node) {
	defer c.Work.Done()
	wait := min(c.Config.Bounds.Lease/3, maxWatch)
	for ctx.Err() == nil {
		sent := c.Now()
		r, full, err := c.ask(ctx, x, wait)
		switch {
		case errors.Is(err, target.ErrStaleEpoch):
			c.Lost("target " + x.ID + " has a newer epoch")
			return
		case err != nil:
			c.silent(x)
			select {
			case <-ctx.Done():
			case <-time.After(redialWait):
			}
		default:
			c.report(x, r, sent, full)
		}
	}
}

// silent counts a call that a target didn't answer.
func (c *Cell) silent(x *gangs.Node) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	x.Unanswered++
	if x.Unanswered == gangs.SilentCalls {
		c.Wake()
	}
}

// ask fences the target the first time, and then waits for changes.
func (c *Cell) ask(ctx context.Context, x *gangs.Node, wait time.Duration) (r target.Report, full bool, err error) {
	c.Mu.Lock()
	fenced, seq, inc := x.Fenced, x.Sequence, x.Incarnation
	c.Mu.Unlock()
	if !fenced {
		r, err = x.Conn.Fence(ctx, c.Hold.Epoch)
		return r, true, err
	}
	r, err = x.Conn.Watch(ctx, c.Hold.Epoch, seq, wait)
	if err == nil && r.Incarnation != inc {
		r, err = x.Conn.Fence(ctx, c.Hold.Epoch)
		return r, true, err
	}
	return r, false, err
}

// report takes in what a target said. A full report leaves out only tasks
// that the target doesn't know.
func (c *Cell) report(x *gangs.Node, r target.Report, sent time.Time, full bool) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	x.Contact, x.Unanswered = sent, 0
	restarted := x.Incarnation != "" && x.Incarnation != r.Incarnation
	x.Incarnation, x.Sequence = r.Incarnation, r.Sequence
	touched := map[*active.Job]bool{}
	said := map[target.TaskID]bool{}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		said[t.ID] = true
		if j := c.observe(x, t); j != nil {
			touched[j] = true
		}
	}
	if full {
		c.missing(x, said, restarted, touched)
	}
	if !x.Fenced {
		x.Fenced = true
		c.Wake()
	}
	for j := range touched {
		c.Advance(j)
	}
}

// observe takes in the state of a task and returns its job. A task of no
// current attempt is stopped and forgotten. The lock is held.
func (c *Cell) observe(x *gangs.Node, t *target.Task) *active.Job {
	j := c.Jobs[t.ID.Job]
	if j == nil || j.Attempt != t.ID.Attempt || t.ID.Member >= len(j.Members) {
		c.stray(x, t)
		return nil
	}
	m := &j.Members[t.ID.Member]
	if m.Target != x.ID || m.Ended() {
		return nil
	}
	m.State, m.Detail = t.State, t.Detail
	m.Started = m.Started || t.Started
	if t.State == target.Complete {
		m.Take(t)
	}
	return j
}

// stray gets rid of a task that belongs to no current attempt.
func (c *Cell) stray(x *gangs.Node, t *target.Task) {
	o := []target.Order{{Action: target.Stop, Task: t.ID}, {Action: target.Forget, Task: t.ID}}
	if t.State.Ended() {
		delete(x.Strays, t.ID)
		o = o[1:]
	} else {
		x.Strays[t.ID] = t.Room
	}
	c.Work.Add(1)
	go func() {
		defer c.Work.Done()
		r, err := c.Send(c.Ctx, x, o)
		if err != nil || r[len(r)-1] == target.WrongState {
			return
		}
		c.Mu.Lock()
		defer c.Mu.Unlock()
		delete(x.Strays, t.ID)
		c.Wake()
	}()
}

// missing marks the members that a full report leaves out. The lock is held.
func (c *Cell) missing(x *gangs.Node, said map[target.TaskID]bool, restarted bool, touched map[*active.Job]bool) {
	for _, j := range c.Jobs {
		for i := range j.Members {
			m := &j.Members[i]
			id := target.TaskID{Job: j.Key(), Attempt: j.Attempt, Member: i}
			if m.Target != x.ID || m.Ended() || said[id] || j.Record.State == jobs.Starting {
				continue
			}
			m.State, m.Detail = target.Lapsed, "unknown to its target"
			if m.Started || restarted || c.reborn(j, i, x.Incarnation) {
				m.Started = true
				j.Gone = j.Gone || j.Record.State == jobs.Settling
				m.Detail = "lost when its target restarted"
			}
			touched[j] = true
		}
	}
}

// reborn reports whether the target of a member has restarted since the
// intent of a non-idempotent job was written.
func (c *Cell) reborn(j *active.Job, i int, incarnation string) bool {
	r := j.Record
	return r.Attempt == j.Attempt && i < len(r.Incarnations) && r.Incarnations[i] != incarnation
}
