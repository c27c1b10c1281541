package cells

import (
	"context"
	"time"

	"citronbridge/board"
	"citronbridge/jobs"
	"citronbridge/place"
)

// offer moves a job that the cell can't start soon to a cell that has room, and
// reports whether it looked for one.
// The lock is held.
func (c *Cell) offer(j *job, now time.Time) bool {
	w, ok := c.waits[j.key()]
	if !ok || j.saving || j.moving || j.cancelled || now.Sub(j.Record.Accepted) < c.c.Bounds.Offer || now.Before(j.notBefore) {
		return false
	}
	if w.Reason == place.Reclaiming || c.c.Offered == nil {
		return false
	}
	cell := c.elsewhere(j.spec())
	if cell == "" {
		return true
	}
	j.moving = true
	c.wg.Add(1)
	go c.move(j, cell)
	return true
}

// maxOffers bounds the jobs that another cell is sought for at once.
const maxOffers = 16

// offerSlack is how many times the room that a job needs another cell must
// have free before the job is moved there.
const offerSlack = 2

// elsewhere returns the cell with the most free accelerators that could take
// a job, or "".
func (c *Cell) elsewhere(s *jobs.Spec) string {
	best, free := "", int64(offerSlack*s.Shape.Accelerators())
	for _, b := range c.c.Live() {
		for _, h := range b.Holds {
			if h.Cell != c.Name && h.Free >= free && Holds(c.c.Hosts, h.Cell, s) {
				best, free = h.Cell, h.Free+1
			}
		}
	}
	return best
}

// Holds reports whether a cell could hold a job if it were empty.
func Holds(l hosts, cell string, s *jobs.Spec) bool {
	var t []board.Target
	for _, h := range l.Targets(cell) {
		t = append(t, board.Target{ID: h.ID, Rack: h.Rack, Room: h.Room, Open: true})
	}
	return board.Holds(t, s)
}

// move hands a job to another cell.
func (c *Cell) move(j *job, cell string) {
	defer c.wg.Done()
	ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	c.mu.Lock()
	c.event(j, "Moved", "to cell "+cell)
	j.Record.Attempt, j.Record.Targets, j.Record.Incarnations = jobs.Attempt{}, nil, nil
	c.mu.Unlock()
	_, err := c.c.Records.Move(ctx, c.hold, j.Entry, cell)
	if err != nil {
		c.reload(j)
		c.mu.Lock()
		j.moving = false
		j.notBefore = c.now().Add(maxBackoff)
		c.mu.Unlock()
		return
	}
	c.mu.Lock()
	c.forget(j)
	c.mu.Unlock()
	c.c.Offered(cell, j.key())
}
