// Package cells implements the decider of a cell, the targets of one data centre: it holds the
// cell under an epoch, plans, watches the targets and answers queries about its jobs.
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

// Run starts the watches of the targets, the periodic work and the planning in the background.
func (c *Cell) Run() {
	c.Mu.Lock()
	c.syncTargets()
	c.Mu.Unlock()
	c.subscriptions = append(c.subscriptions,
		c.Config.Timer.Every(tickPeriod, c.tick),
		c.Config.Timer.Every(rescanPeriod, func(time.Time) { c.rescan() }))
	c.Work.Add(1)
	go c.planLoop()
	c.RequestPlan()
}

// Close stops the cell's work on this host and waits for its end. Tasks keep running at targets.
func (c *Cell) Close() {
	c.CancelCtx()
	for _, s := range c.subscriptions {
		s.Cancel()
	}
	c.Work.Wait()
}

// Epoch returns the epoch under which the cell is held.
func (c *Cell) Epoch() int64 { return c.Hold.Epoch }

// JobCount returns the number of open jobs.
func (c *Cell) JobCount() int {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	return len(c.Jobs)
}

// Submit adds a job inserted into or moved to this cell. It ignores one that the cell has, that
// left it at this version of its row or later, that has ended, has an attempt or is another cell's.
func (c *Cell) Submit(e ledger.Entry) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	k := e.Record.Spec.Key()
	if d, gone := c.Departed[k]; gone && e.Version <= d.Version {
		return
	}
	if c.Jobs[k] != nil || e.Record.Final() || e.Record.Cell != c.Name {
		return
	}
	if e.Record.State != jobs.Waiting || e.Record.Attempt.Epoch > 0 {
		return
	}
	c.Jobs[k] = active.NewJob(e)
	c.RequestPlan()
}

// Cancel begins to stop a job. It returns false if the cell doesn't have the job or is moving it.
func (c *Cell) Cancel(k jobs.Key) bool {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	j := c.Jobs[k]
	if j == nil || j.Moving {
		return false
	}
	if !j.Cancelled && !j.Saving {
		j.Cancelled = true
		c.AddEvent(j, "CancelRequested", "")
		c.Advance(j)
		c.RequestPlan()
	}
	return true
}

// Wait waits until a job has ended or moved, but no longer than wait, and returns a copy of
// its record. It returns false if the cell doesn't have the job or is released while it waits.
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
		// The outcome isn't valid until it is written.
		r.State, r.Outcome, r.Answer = jobs.Stopping, "", nil
	}
	r.Events = append([]jobs.Event(nil), r.Events...)
	return r, true
}

// FreeAccelerators returns the accelerators of targets open to new work, less those that jobs hold.
func (c *Cell) FreeAccelerators() int {
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

// syncTargets starts and ends watches of targets as the list of hosts changes. An unlisted target
// is watched until its leases have expired and no job has a member there. The caller holds Mu.
func (c *Cell) syncTargets() {
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
		c.startWatch(h)
	}
	for id, x := range c.Nodes {
		if _, ok := listed[id]; !ok {
			x.Listed = false
			if !x.MayHoldLease(c.Now(), c.Config.Bounds.Lease) && !c.hasRunningMember(id) {
				x.Cancel()
				delete(c.Nodes, id)
			}
		}
	}
}

// hasRunningMember reports whether a member on the target id has not ended. The caller holds Mu.
func (c *Cell) hasRunningMember(id string) bool {
	for _, j := range c.Jobs {
		for i := range j.Members {
			if j.Members[i].Target == id && !j.Members[i].Ended() {
				return true
			}
		}
	}
	return false
}

// Quiesce makes the cell start no more jobs.
func (c *Cell) Quiesce() {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	c.quiesced = true
}

// Launching reports whether a gang is being launched: placed, but not yet running.
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

const (
	tickPeriod        = 250 * time.Millisecond
	rescanPeriod      = 5 * time.Second
	departedRetention = time.Minute // how long a job that ended or moved is kept in Departed
	callTimeout       = 2 * time.Second
)

// Cell is a cell that this host decides for. Its Controller.Mu guards all fields but subscriptions.
type Cell struct {
	*gangs.Controller
	subscriptions []*timer.Subscription
	backing       state.Backing
	unbacked      map[string]bool
	quiesced      bool      // no more jobs are started, because a planned handover is ahead
	lastTimedPlan time.Time // when a plan was last requested just because time had passed
}

// New returns a cell held under h, idle until Run. It calls onDeposed if another decider fences it.
func New(c *setup.Config, h ledger.Ownership, acquiredAt time.Time, onDeposed func(why string)) *Cell {
	return &Cell{Controller: gangs.New(c, h, acquiredAt, onDeposed), backing: state.Backing{}, unbacked: map[string]bool{}}
}
