// Package moves moves waiting jobs that a cell can't start soon to cells that have room.
package moves

import (
	"context"
	"time"

	"citronbridge/active"
	"citronbridge/gangs"
	"citronbridge/jobs"
	"citronbridge/place"
	"citronbridge/setup"
)

// TryMove looks for another cell with room for a job that has waited for Bounds.Offer, and
// moves the job there in the background. It reports whether it searched for one. The caller
// holds Mu.
func TryMove(c *gangs.Controller, j *active.Job, now time.Time) bool {
	w, ok := c.Waits[j.Key()]
	if !ok || j.Saving || j.Moving || j.Cancelled || now.Sub(j.Record.Accepted) < c.Config.Bounds.Offer || now.Before(j.NotBefore) {
		return false
	}
	if w.Reason == place.Reclaiming || c.Config.NotifyMoved == nil {
		return false
	}
	cell := chooseCell(c, j.Spec())
	if cell == "" {
		return true
	}
	j.Moving = true
	c.Work.Add(1)
	go moveJob(c, j, cell)
	return true
}

// MaxMovesPerTick limits the jobs for which a cell searches for another cell in one tick.
const MaxMovesPerTick = 16

const (
	// retryAfter is how long a job whose move failed is neither placed nor moved.
	retryAfter = 5 * time.Second
	// writeTimeout bounds the move of a job's row.
	writeTimeout = 10 * time.Second
)

// freeRoomFactor is how many times the accelerators that a job needs must be free in another
// cell for the job to be moved there.
const freeRoomFactor = 2

// chooseCell returns the cell with the most free accelerators, of those that live peers hold and
// in which the job fits, or "" if none has freeRoomFactor times the accelerators of the job.
func chooseCell(c *gangs.Controller, s *jobs.Spec) string {
	best, free := "", int64(freeRoomFactor*s.Shape.Accelerators())
	for _, b := range c.Config.LivePeers() {
		for _, h := range b.Holds {
			if h.Cell != c.Name && h.Free >= free && setup.FitsEmptyCell(c.Config.Hosts, h.Cell, s) {
				best, free = h.Cell, h.Free+1
			}
		}
	}
	return best
}

// moveJob changes the cell in the job's row and notifies the decider of that cell. If the write
// fails the job stays, and may move again after retryAfter.
func moveJob(c *gangs.Controller, j *active.Job, cell string) {
	defer c.Work.Done()
	ctx, cancel := context.WithTimeout(c.Ctx, writeTimeout)
	defer cancel()
	c.Mu.Lock()
	c.AddEvent(j, "Moved", "to cell "+cell)
	j.Record.Attempt, j.Record.Targets, j.Record.Incarnations = jobs.Attempt{}, nil, nil
	c.Mu.Unlock()
	_, err := c.Config.Records.Move(ctx, c.Hold, j.Entry, cell)
	if err != nil {
		c.ReloadVersion(j)
		c.Mu.Lock()
		j.Moving = false
		j.NotBefore = c.Now().Add(retryAfter)
		c.Mu.Unlock()
		return
	}
	c.Mu.Lock()
	c.RemoveJob(j)
	c.Mu.Unlock()
	c.Config.NotifyMoved(cell, j.Key())
}
