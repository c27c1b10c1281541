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

// tick does the periodic work: it updates the watches, times out leases and jobs, repeats stop
// orders, moves jobs to other cells and sets the gauges.
func (c *Cell) tick(now time.Time) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	if c.Ctx.Err() != nil {
		return
	}
	c.syncTargets()
	for _, x := range c.Nodes {
		x.Health.Probe(c.Config.Bounds.Probe, now)
	}
	waiting, heldAccelerators, movesLeft := 0, 0, moves.MaxMovesPerTick
	for _, j := range c.Jobs {
		c.lapseMembers(j, now)
		switch j.Record.State {
		case jobs.Stopping:
			c.ResendStop(j)
		case jobs.Waiting:
			waiting++
			c.Advance(j)
			if movesLeft > 0 && moves.TryMove(c.Controller, j, now) {
				movesLeft--
			}
		}
		if len(j.Members) > 0 {
			heldAccelerators += j.Spec().Shape.Accelerators()
		}
	}
	c.Config.Meter.CellJobs.WithLabelValues(c.Name, string(jobs.Waiting)).Set(float64(waiting))
	c.Config.Meter.CellJobs.WithLabelValues(c.Name, "Placed").Set(float64(len(c.Jobs) - waiting))
	c.Config.Meter.CellAccelerators.WithLabelValues(c.Name, "Held").Set(float64(heldAccelerators))
	if waiting > 0 && now.Sub(c.lastTimedPlan) >= replanPeriod {
		c.lastTimedPlan = now
		c.RequestPlan()
	}
}

// replanPeriod is how often a cell with waiting jobs plans even if nothing has changed, as
// backoffs and reservations depend on the time.
const replanPeriod = 500 * time.Millisecond

// lapseMembers marks the members of a job as lapsed whose targets haven't answered for longer
// than their leases last. The caller holds Mu.
func (c *Cell) lapseMembers(j *active.Job, now time.Time) {
	if j.Saving || j.Record.State == jobs.Starting {
		return
	}
	changed := false
	for i := range j.Members {
		m := &j.Members[i]
		x := c.Nodes[m.Target]
		if m.Ended() || x != nil && x.MayHoldLease(now, c.Config.Bounds.Lease) {
			continue
		}
		if c.outcomeMayBeReported(j, m, x) {
			continue
		}
		m.Started = m.Started || m.StartSent || m.State == ""
		m.State, m.Detail = target.Lapsed, "target doesn't answer"
		changed = true
	}
	if changed {
		c.Advance(j)
	}
}

// outcomeMayBeReported reports whether a member must not be marked as lapsed, because its target
// may still report what became of it. That is so for a non-idempotent job found at takeover as
// long as the target is listed; once it isn't, TargetGone is set. The caller holds Mu.
func (c *Cell) outcomeMayBeReported(j *active.Job, m *active.Member, x *gangs.Node) bool {
	if !j.Spec().NonIdempotent || j.Record.State != jobs.Settling || m.State != "" {
		return false
	}
	if x != nil && x.Listed {
		return true
	}
	j.TargetGone = true
	return false
}

// rescan adds open jobs whose submission or move was not reported, and drops old Departed entries.
func (c *Cell) rescan() {
	ctx, cancel := context.WithTimeout(c.Ctx, callTimeout)
	defer cancel()
	keys, err := c.Config.Records.ListOpen(ctx, c.Name)
	if err != nil {
		return
	}
	c.Mu.Lock()
	for k, d := range c.Departed {
		if c.Now().Sub(d.At) > departedRetention {
			delete(c.Departed, k)
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
	l, malformed, err := c.Config.Records.LoadAll(ctx, unknown)
	if err != nil {
		return
	}
	c.Config.Meter.Malformed.WithLabelValues("Table").Add(float64(malformed))
	for _, e := range l {
		c.Submit(e)
	}
}
