package cells

import (
	"context"
	"time"

	"citronbridge/board"
	"citronbridge/jobs"
	"citronbridge/place"
	"citronbridge/target"
)

// plans makes a plan whenever one is asked for.
func (c *Cell) plans() {
	defer c.wg.Done()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.dirty:
		}
		began := time.Now()
		c.plan()
		select {
		case <-c.ctx.Done():
		case <-time.After(min(planShare*time.Since(began), maxPlanPause)):
		}
	}
}

// A plan is followed by a pause of planShare times its length, up to
// maxPlanPause, so that a flood of changes is decided together.
const (
	planShare    = 20
	maxPlanPause = 200 * time.Millisecond
)

// plan decides and acts on the decision.
func (c *Cell) plan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.c.Book.Fresh(c.now(), c.c.Bounds.Confirm) || c.quiet || c.ctx.Err() != nil {
		return
	}
	in := c.input()
	if len(in.Waiting) == 0 {
		return
	}
	began := time.Now()
	p := place.Decide(in)
	c.c.Meter.Decision.Observe(time.Since(began).Seconds())
	c.seats = p.Seats
	c.unseated = map[string]bool{}
	for _, g := range p.Unseated {
		c.unseated[g] = true
	}
	for _, s := range p.Stops {
		j := c.jobs[s.Key]
		c.c.Meter.Preempted.WithLabelValues(s.Key.Account).Inc()
		c.haltJob(j, haltPreempted, "room for "+s.For.String())
		if k := c.jobs[s.For]; k != nil {
			c.event(k, "Reclaims", "stops "+s.Key.String())
		}
	}
	for _, s := range p.Starts {
		c.begin(c.jobs[s.Key], s.Targets, s.Guarantee)
	}
	clear(c.waits)
	for _, w := range p.Waits {
		c.waits[w.Key] = w
	}
}

// input collects what a decision depends on. The lock is held.
func (c *Cell) input() *board.Input {
	now := c.now()
	in := &board.Input{Now: now, Cell: c.Name, Rules: &c.c.Book.Current().Manifest, Seats: c.seats, Policy: c.c.Policy}
	for id, x := range c.nodes {
		in.Targets = append(in.Targets, board.Target{
			ID: id, Rack: x.host.Rack, Room: x.room(), Probe: x.health.Probes > 0,
			Open: x.open() && now.Sub(x.contact) < c.c.Bounds.Lease,
		})
	}
	for _, j := range c.jobs {
		switch {
		case len(j.members) > 0:
			in.Running = append(in.Running, c.running(j))
		case j.Record.State == jobs.Waiting && !j.moving:
			in.Waiting = append(in.Waiting, board.Request{Spec: j.spec(), Arrived: j.Record.Accepted, Expected: c.expect(j.spec()), Avoid: j.avoided(now), Hold: now.Before(j.notBefore)})
		}
	}
	return in
}

// avoided returns the targets that the job is kept from now.
func (j *job) avoided(now time.Time) map[string]bool {
	if len(j.avoid) == 0 {
		return nil
	}
	m := map[string]bool{}
	for t, until := range j.avoid {
		if now.Before(until) {
			m[t] = true
		}
	}
	return m
}

// running describes a job that holds room. The lock is held.
func (c *Cell) running(j *job) board.Job {
	r := board.Job{
		Spec: j.spec(), Guarantee: j.guarantee, Started: j.Record.Started,
		Expected: c.expect(j.spec()), Starting: j.Record.State == jobs.Starting, Stuck: c.stuck(j),
	}
	r.Stopping = !r.Starting && j.Record.State != jobs.Running
	if r.Started.IsZero() {
		r.Started = c.now()
	}
	for i := range j.members {
		m := &j.members[i]
		if !m.ended() {
			r.Targets = append(r.Targets, m.target)
		}
	}
	return r
}

// tick does what time alone brings about.
func (c *Cell) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	c.meetTargets()
	for _, x := range c.nodes {
		x.health.Probe(c.c.Bounds.Probe, now)
	}
	waiting, held, offers := 0, 0, maxOffers
	for _, j := range c.jobs {
		c.lapse(j, now)
		switch j.Record.State {
		case jobs.Stopping:
			c.press(j)
		case jobs.Waiting:
			waiting++
			c.advance(j)
			if offers > 0 && c.offer(j, now) {
				offers--
			}
		}
		if len(j.members) > 0 {
			held += j.spec().Shape.Accelerators()
		}
	}
	c.c.Meter.Queue.WithLabelValues(c.Name, string(jobs.Waiting)).Set(float64(waiting))
	c.c.Meter.Queue.WithLabelValues(c.Name, "Placed").Set(float64(len(c.jobs) - waiting))
	c.c.Meter.Room.WithLabelValues(c.Name, "Held").Set(float64(held))
	if waiting > 0 && now.Sub(c.replanned) >= replanPeriod {
		c.replanned = now
		c.wake()
	}
}

// replanPeriod is how often a cell with waiting jobs plans though nothing has
// changed but the time.
const replanPeriod = 500 * time.Millisecond

// lapse marks the members whose targets have been silent for longer than
// their leases last. The lock is held.
func (c *Cell) lapse(j *job, now time.Time) {
	if j.saving || j.Record.State == jobs.Starting {
		return
	}
	changed := false
	for i := range j.members {
		m := &j.members[i]
		x := c.nodes[m.target]
		if m.ended() || x != nil && x.answers(now, c.c.Bounds.Lease) {
			continue
		}
		if c.doubtful(j, m, x) {
			continue
		}
		m.started = m.started || m.asked || m.state == ""
		m.state, m.detail = target.Lapsed, "target doesn't answer"
		changed = true
	}
	if changed {
		c.advance(j)
	}
}

// doubtful reports whether the fate of a member must stay open because its
// target may still tell it. The lock is held.
func (c *Cell) doubtful(j *job, m *member, x *node) bool {
	if !j.spec().NonIdempotent || j.Record.State != jobs.Settling || m.state != "" {
		return false
	}
	if x != nil && x.listed {
		return true
	}
	j.gone = true
	return false
}

// rescan takes in jobs of the cell that nobody told it of.
func (c *Cell) rescan() {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	keys, err := c.c.Records.Open(ctx, c.Name)
	if err != nil {
		return
	}
	c.mu.Lock()
	for k, d := range c.recent {
		if c.now().Sub(d.at) > recentFor {
			delete(c.recent, k)
		}
	}
	unknown := keys[:0]
	for _, k := range keys {
		if c.jobs[k] == nil {
			unknown = append(unknown, k)
		}
	}
	c.mu.Unlock()
	if len(unknown) == 0 {
		return
	}
	l, bad, err := c.c.Records.LoadAll(ctx, unknown)
	if err != nil {
		return
	}
	c.c.Meter.Malformed.WithLabelValues("Table").Add(float64(bad))
	for _, e := range l {
		c.Submit(e)
	}
}
