package cells

import (
	"time"

	"citronbridge/active"
	"citronbridge/jobs"
	"citronbridge/place"
	"citronbridge/state"
)

// planLoop makes a plan whenever one is requested.
func (c *Cell) planLoop() {
	defer c.Work.Done()
	for {
		select {
		case <-c.Ctx.Done():
			return
		case <-c.PlanRequests:
		}
		began := time.Now()
		c.plan()
		select {
		case <-c.Ctx.Done():
		case <-time.After(min(planPauseFactor*time.Since(began), maxPlanPause)):
		}
	}
}

// planLoop pauses after each plan, so that one plan handles the changes of a burst together.
const (
	planPauseFactor = 20                     // pause as a multiple of the plan's duration
	maxPlanPause    = 200 * time.Millisecond // upper limit of the pause
)

// plan makes a plan and carries it out, unless the manifest is unconfirmed or the cell is quiesced.
func (c *Cell) plan() {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	if !c.Config.Revisions.Fresh(c.Now(), c.Config.Bounds.Confirm) || c.quiesced || c.Ctx.Err() != nil {
		return
	}
	in := c.decisionInput()
	if len(in.Waiting) == 0 {
		return
	}
	began := time.Now()
	p := place.Decide(in)
	c.Config.Meter.Decision.Observe(time.Since(began).Seconds())
	c.backing = p.Backing
	c.unbacked = map[string]bool{}
	for _, g := range p.Unbacked {
		c.unbacked[g] = true
	}
	for _, s := range p.Stops {
		j := c.Jobs[s.Key]
		c.Config.Meter.Preempted.WithLabelValues(s.Key.Account).Inc()
		c.HaltJob(j, active.HaltPreempted, "room for "+s.For.String())
		if k := c.Jobs[s.For]; k != nil {
			c.AddEvent(k, "Reclaims", "stops "+s.Key.String())
		}
	}
	for _, s := range p.Starts {
		c.BeginLaunch(c.Jobs[s.Key], s.Targets, s.Guarantee)
	}
	clear(c.Waits)
	for _, w := range p.Waits {
		c.Waits[w.Key] = w
	}
}

// decisionInput returns all that a decision depends on. The caller holds Mu.
func (c *Cell) decisionInput() *state.Input {
	now := c.Now()
	in := &state.Input{Now: now, Cell: c.Name, Manifest: &c.Config.Revisions.Current().Manifest, Backing: c.backing, Policy: c.Config.Policy}
	for id, x := range c.Nodes {
		in.Targets = append(in.Targets, state.Target{
			ID: id, Rack: x.Host.Rack, Room: x.Room(), Probe: x.Health.Probes > 0,
			Open: x.Open() && now.Sub(x.LastRenewal) < c.Config.Bounds.Lease,
		})
	}
	for _, j := range c.Jobs {
		switch {
		case len(j.Members) > 0:
			in.Running = append(in.Running, c.runningJob(j))
		case j.Record.State == jobs.Waiting && !j.Moving:
			in.Waiting = append(in.Waiting, state.Request{Spec: j.Spec(), Arrived: j.Record.Accepted, Expected: c.ExpectedRunTime(j.Spec()), Avoid: j.AvoidedTargets(now), BackingOff: now.Before(j.NotBefore)})
		}
	}
	return in
}

// runningJob describes a job that holds room. The caller holds Mu.
func (c *Cell) runningJob(j *active.Job) state.Job {
	r := state.Job{
		Spec: j.Spec(), Guarantee: j.Guarantee, Started: j.Record.Started,
		Expected: c.ExpectedRunTime(j.Spec()), Starting: j.Record.State == jobs.Starting, Stuck: c.Stuck(j),
	}
	r.Stopping = !r.Starting && j.Record.State != jobs.Running
	if r.Started.IsZero() {
		r.Started = c.Now()
	}
	for i := range j.Members {
		m := &j.Members[i]
		if !m.Ended() {
			r.Targets = append(r.Targets, m.Target)
		}
	}
	return r
}
