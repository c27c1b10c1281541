// Package cells decides for the targets of a data centre: it holds a cell under
// an epoch, plans, watches its targets and answers for its jobs.
package cells

import (
	"context"
	"time"

	"citronbridge/active"
	"citronbridge/fleet"
	"citronbridge/gangs"
	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/setup"
	"citronbridge/state"
	"citronbridge/timer"
)

// Run starts the cell's work.
func (c *Cell) Run() {
	c.Mu.Lock()
	c.meetTargets()
	c.Mu.Unlock()
	c.subs = append(c.subs,
		c.Config.Timer.Every(tickPeriod, c.tick),
		c.Config.Timer.Every(rescanPeriod, func(time.Time) { c.rescan() }))
	c.Work.Add(1)
	go c.plans()
	c.Wake()
}

// Close ends the cell's work on this host. Its tasks go on at the targets.
func (c *Cell) Close() {
	c.End()
	for _, s := range c.subs {
		s.Cancel()
	}
	c.Work.Wait()
}

// Epoch returns the epoch that the cell is held under.
func (c *Cell) Epoch() int64 { return c.Hold.Epoch }

// Size returns the number of jobs.
func (c *Cell) Size() int {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	return len(c.Jobs)
}

// Submit takes a job that was inserted or moved here. A job that is known
// already stays as it is.
func (c *Cell) Submit(e ledger.Entry) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	k := e.Record.Spec.Key()
	if d, gone := c.Recent[k]; gone && e.Version <= d.Version {
		return
	}
	if c.Jobs[k] != nil || e.Record.Final() || e.Record.Cell != c.Name {
		return
	}
	if e.Record.State != jobs.Waiting || e.Record.Attempt.Epoch > 0 {
		return
	}
	c.Jobs[k] = active.NewJob(e)
	c.Wake()
}

// Cancel stops a job, and reports whether the cell has it.
func (c *Cell) Cancel(k jobs.Key) bool {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	j := c.Jobs[k]
	if j == nil || j.Moving {
		return false
	}
	if !j.Cancelled && !j.Saving {
		j.Cancelled = true
		c.Event(j, "CancelRequested", "")
		c.Advance(j)
		c.Wake()
	}
	return true
}

// Wait returns a copy of a job's record when it has ended or wait is over. It
// reports whether the cell has the job.
func (c *Cell) Wait(ctx context.Context, k jobs.Key, wait time.Duration) (jobs.Record, bool) {
	c.Mu.Lock()
	j := c.Jobs[k]
	c.Mu.Unlock()
	if j == nil {
		return jobs.Record{}, false
	}
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-j.Done:
		case <-t.C:
		case <-ctx.Done():
		case <-c.Ctx.Done():
			return jobs.Record{}, false
		}
	}
	c.Mu.Lock()
	defer c.Mu.Unlock()
	r := *j.Record
	if j.Saving {
		// The outcome counts only once it is written.
		r.State, r.Outcome, r.Answer = jobs.Stopping, "", nil
	}
	r.Events = append([]jobs.Event(nil), r.Events...)
	return r, true
}

// Free returns the accelerators that no task holds.
func (c *Cell) Free() int {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	n := 0
	for _, x := range c.Nodes {
		if x.Open() {
			n += x.Room().Accelerators
		}
	}
	for _, j := range c.Jobs {
		if len(j.Members) > 0 {
			n -= j.Spec().Shape.Accelerators()
		}
	}
	return max(n, 0)
}

// meetTargets starts and ends conversations as the list of hosts says. The
// lock is held.
func (c *Cell) meetTargets() {
	listed := map[string]fleet.Host{}
	for _, h := range c.Config.Hosts.Targets(c.Name) {
		listed[h.ID] = h
	}
	for id, h := range listed {
		x := c.Nodes[id]
		if x != nil && x.Host.Address == h.Address {
			x.Host, x.Listed = h, true
			continue
		}
		if x != nil {
			x.Cancel()
		}
		c.meet(h)
	}
	for id, x := range c.Nodes {
		if _, ok := listed[id]; !ok {
			x.Listed = false
			if !x.Answers(c.Now(), c.Config.Bounds.Lease) && !c.uses(id) {
				x.Cancel()
				delete(c.Nodes, id)
			}
		}
	}
}

// uses reports whether a job has a member on a target. The lock is held.
func (c *Cell) uses(id string) bool {
	for _, j := range c.Jobs {
		for i := range j.Members {
			if j.Members[i].Target == id && !j.Members[i].Ended() {
				return true
			}
		}
	}
	return false
}

// Quiesce makes the cell start nothing new.
func (c *Cell) Quiesce() {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	c.quiet = true
}

// Launching reports whether a gang is between placement and start.
func (c *Cell) Launching() bool {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	for _, j := range c.Jobs {
		if j.Record.State == jobs.Starting {
			return true
		}
	}
	return false
}

// Bounds of a cell's own work.
const (
	tickPeriod   = 250 * time.Millisecond
	rescanPeriod = 5 * time.Second
	// recentFor is how long an ended job is remembered.
	recentFor   = time.Minute
	callTimeout = 2 * time.Second
)

// Cell is a cell that this host decides for. All its state is under the lock
// of its gangs.
type Cell struct {
	*gangs.Gangs
	subs     []*timer.Subscription
	backing  state.Backing
	unbacked map[string]bool
	// quiet says that nothing new is started before a planned handover.
	quiet bool
	// replanned is when time alone last asked for a plan.
	replanned time.Time
}

// New returns a cell held under h. It does nothing until Run. It calls deposed
// once another decider has fenced it.
func New(c *setup.Config, h ledger.Ownership, taken time.Time, deposed func(why string)) *Cell {
	return &Cell{Gangs: gangs.New(c, h, taken, deposed), backing: state.Backing{}, unbacked: map[string]bool{}}
}
