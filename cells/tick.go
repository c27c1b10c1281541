package cells

import (
	"context"
	"time"

	"citronbridge/active"
	"citronbridge/gangs"
	"citronbridge/jobs"
	"citronbridge/moves"
	"citronbridge/target"
)

// tick does what time alone brings about.
func (c *Cell) tick(now time.Time) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	if c.Ctx.Err() != nil {
		return
	}
	c.meetTargets()
	for _, x := range c.Nodes {
		x.Health.Probe(c.Config.Bounds.Probe, now)
	}
	waiting, held, left := 0, 0, moves.Most
	for _, j := range c.Jobs {
		c.lapse(j, now)
		switch j.Record.State {
		case jobs.Stopping:
			c.Press(j)
		case jobs.Waiting:
			waiting++
			c.Advance(j)
			if left > 0 && moves.Away(c.Gangs, j, now) {
				left--
			}
		}
		if len(j.Members) > 0 {
			held += j.Spec().Shape.Accelerators()
		}
	}
	c.Config.Meter.Queue.WithLabelValues(c.Name, string(jobs.Waiting)).Set(float64(waiting))
	c.Config.Meter.Queue.WithLabelValues(c.Name, "Placed").Set(float64(len(c.Jobs) - waiting))
	c.Config.Meter.Room.WithLabelValues(c.Name, "Held").Set(float64(held))
	if waiting > 0 && now.Sub(c.replanned) >= replanPeriod {
		c.replanned = now
		c.Wake()
	}
}

// replanPeriod is how often a cell with waiting jobs plans though nothing has
// changed but the time.
const replanPeriod = 500 * time.Millisecond

// lapse marks the members whose targets have been silent for longer than
// their leases last. The lock is held.
func (c *Cell) lapse(j *active.Job, now time.Time) {
	if j.Saving || j.Record.State == jobs.Starting {
		return
	}
	changed := false
	for i := range j.Members {
		m := &j.Members[i]
		x := c.Nodes[m.Target]
		if m.Ended() || x != nil && x.Answers(now, c.Config.Bounds.Lease) {
			continue
		}
		if c.doubtful(j, m, x) {
			continue
		}
		m.Started = m.Started || m.Asked || m.State == ""
		m.State, m.Detail = target.Lapsed, "target doesn't answer"
		changed = true
	}
	if changed {
		c.Advance(j)
	}
}

// doubtful reports whether the fate of a member must stay open because its
// target may still tell it. The lock is held.
func (c *Cell) doubtful(j *active.Job, m *active.Member, x *gangs.Node) bool {
	if !j.Spec().NonIdempotent || j.Record.State != jobs.Settling || m.State != "" {
		return false
	}
	if x != nil && x.Listed {
		return true
	}
	j.Gone = true
	return false
}

// rescan takes in jobs of the cell that nobody told it of.
func (c *Cell) rescan() {
	ctx, cancel := context.WithTimeout(c.Ctx, callTimeout)
	defer cancel()
	keys, err := c.Config.Records.ListOpen(ctx, c.Name)
	if err != nil {
		return
	}
	c.Mu.Lock()
	for k, d := range c.Recent {
		if c.Now().Sub(d.At) > recentFor {
			delete(c.Recent, k)
		}
	}
	unknown := keys[:0]
	for _, k := range keys {
		if c.Jobs[k] == nil {
			unknown = append(unknown, k)
		}
	}
	c.Mu.Unlock()
	if len(unknown) == 0 {
		return
	}
	l, bad, err := c.Config.Records.LoadAll(ctx, unknown)
	if err != nil {
		return
	}
	c.Config.Meter.Malformed.WithLabelValues("Table").Add(float64(bad))
	for _, e := range l {
		c.Submit(e)
	}
}
