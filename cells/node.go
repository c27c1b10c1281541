package cells

import (
	"context"
	"errors"
	"time"

	"citronbridge/fleet"
	"citronbridge/health"
	"citronbridge/jobs"
	"citronbridge/target"
)

// Bounds of the conversation with a target.
const (
	redialWait = 100 * time.Millisecond
	maxWatch   = 3 * time.Second
	// silentCalls is how many calls in a row a target leaves unanswered before
	// it gets no new work.
	silentCalls = 2
)

// node is a target as its decider knows it.
type node struct {
	host        fleet.Host
	conn        conn
	listed      bool
	fenced      bool
	incarnation string
	sequence    int64
	// contact is when the last renewal that arrived was sent.
	contact time.Time
	// strays is the room of tasks that belong to no current attempt.
	strays map[target.TaskID]jobs.Room
	health health.Record
	// unanswered counts the calls in a row that the target didn't answer.
	unanswered int
	cancel     context.CancelFunc
}

// open reports whether a target may get new work. The cell's lock is held.
func (x *node) open() bool {
	return x.listed && x.fenced && !x.host.Leaving && !x.health.Suspect && x.unanswered < silentCalls
}

// room returns what the target has for jobs of the cell.
func (x *node) room() jobs.Room {
	r := x.host.Room
	for _, s := range x.strays {
		r = r.Minus(s)
	}
	return r
}

// answers reports whether the target may hold leases that were renewed.
func (x *node) answers(now time.Time, lease time.Duration) bool {
	return now.Sub(x.contact) <= lease+leaseMargin
}

// meet starts the conversation with a target. The lock is held.
func (c *Cell) meet(h fleet.Host) {
	x := &node{host: h, listed: true, conn: c.c.Connect(h, c.c.Bounds.Lease), contact: c.taken, strays: map[target.TaskID]jobs.Room{}}
	if o := c.nodes[h.ID]; o != nil {
		x.health, x.incarnation = o.health, o.incarnation
	}
	var ctx context.Context
	ctx, x.cancel = context.WithCancel(c.ctx)
	c.nodes[h.ID] = x
	c.wg.Add(1)
	go c.watch(ctx, x)
}

// watch keeps up the conversation with a target until ctx ends.
func (c *Cell) watch(ctx context.Context, x *node) {
	defer c.wg.Done()
	wait := min(c.c.Bounds.Lease/3, maxWatch)
	for ctx.Err() == nil {
		sent := c.now()
		r, full, err := c.ask(ctx, x, wait)
		switch {
		case errors.Is(err, target.ErrStale):
			c.lost("target " + x.host.ID + " has a newer epoch")
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
func (c *Cell) silent(x *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.unanswered++
	if x.unanswered == silentCalls {
		c.wake()
	}
}

// ask fences the target the first time, and then waits for changes.
func (c *Cell) ask(ctx context.Context, x *node, wait time.Duration) (r target.Report, full bool, err error) {
	c.mu.Lock()
	fenced, seq, inc := x.fenced, x.sequence, x.incarnation
	c.mu.Unlock()
	if !fenced {
		r, err = x.conn.Fence(ctx, c.hold.Epoch)
		return r, true, err
	}
	r, err = x.conn.Watch(ctx, c.hold.Epoch, seq, wait)
	if err == nil && r.Incarnation != inc {
		r, err = x.conn.Fence(ctx, c.hold.Epoch)
		return r, true, err
	}
	return r, false, err
}

// report takes in what a target said. A full report leaves out only tasks
// that the target doesn't know.
func (c *Cell) report(x *node, r target.Report, sent time.Time, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.contact, x.unanswered = sent, 0
	restarted := x.incarnation != "" && x.incarnation != r.Incarnation
	x.incarnation, x.sequence = r.Incarnation, r.Sequence
	touched := map[*job]bool{}
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
	if !x.fenced {
		x.fenced = true
		c.wake()
	}
	for j := range touched {
		c.advance(j)
	}
}

// observe takes in the state of a task and returns its job. A task of no
// current attempt is stopped and forgotten. The lock is held.
func (c *Cell) observe(x *node, t *target.Task) *job {
	j := c.jobs[t.ID.Job]
	if j == nil || j.attempt != t.ID.Attempt || t.ID.Member >= len(j.members) {
		c.stray(x, t)
		return nil
	}
	m := &j.members[t.ID.Member]
	if m.target != x.host.ID || m.ended() {
		return nil
	}
	m.state, m.detail = t.State, t.Detail
	m.started = m.started || t.Started
	if t.State == target.Complete {
		m.take(t)
	}
	return j
}

// stray gets rid of a task that belongs to no current attempt.
func (c *Cell) stray(x *node, t *target.Task) {
	o := []target.Order{{Action: target.Stop, Task: t.ID}, {Action: target.Forget, Task: t.ID}}
	if t.State.Ended() {
		delete(x.strays, t.ID)
		o = o[1:]
	} else {
		x.strays[t.ID] = t.Room
	}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		r, err := c.send(c.ctx, x, o)
		if err != nil || r[len(r)-1] == target.WrongState {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(x.strays, t.ID)
		c.wake()
	}()
}

// missing marks the members that a full report leaves out. The lock is held.
func (c *Cell) missing(x *node, said map[target.TaskID]bool, restarted bool, touched map[*job]bool) {
	for _, j := range c.jobs {
		for i := range j.members {
			m := &j.members[i]
			id := target.TaskID{Job: j.key(), Attempt: j.attempt, Member: i}
			if m.target != x.host.ID || m.ended() || said[id] || j.Record.State == jobs.Starting {
				continue
			}
			m.state, m.detail = target.Lapsed, "unknown to its target"
			if m.started || restarted || c.reborn(j, i, x.incarnation) {
				m.started = true
				j.gone = j.gone || j.Record.State == jobs.Settling
				m.detail = "lost when its target restarted"
			}
			touched[j] = true
		}
	}
}

// reborn reports whether the target of a member has restarted since the
// intent of a non-idempotent job was written.
func (c *Cell) reborn(j *job, i int, incarnation string) bool {
	r := j.Record
	return r.Attempt == j.attempt && i < len(r.Incarnations) && r.Incarnations[i] != incarnation
}

// send gives orders to a target and counts their results.
func (c *Cell) send(ctx context.Context, x *node, o []target.Order) ([]target.Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := x.conn.Send(ctx, c.hold.Epoch, o)
	if errors.Is(err, target.ErrStale) {
		c.lost("target " + x.host.ID + " has a newer epoch")
	}
	for i := range o {
		res := "Unanswered"
		if err == nil {
			res = string(r[i])
		}
		if res == "" {
			res = "Accepted"
		}
		c.c.Meter.Orders.WithLabelValues(string(o[i].Action), res).Inc()
	}
	return r, err
}
