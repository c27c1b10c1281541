package model

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// grant is what a ticket allows: to run a step on one incarnation of a worker.
type grant struct {
	step, worker string
	born         int64
}

// ticket returns the text of the grant's ticket.
func (k grant) ticket() string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprint(k.step, "/", k.worker, "/", k.born)))
}

// refuseOneIn makes the policy refuse a step on about one worker in 4.
const refuseOneIn = 4

// allows reports whether the policy lets a worker run a step, which hashes of their
// names decide. Each step is allowed on at least one worker, its home, and on the workers
// that replace it. The home is chosen when the step is first asked for, so that the policy
// doesn't change as workers are added.
func (c *Cluster) allows(step, worker string) bool {
	if c.homes[step] == "" {
		c.homes[step] = c.original(c.workerIDs[xxhash.Sum64String(step)>>32%uint64(len(c.workerIDs))])
	}
	worker = c.original(worker)
	return worker == c.homes[step] || xxhash.Sum64String(step+"@"+worker)>>32%refuseOneIn != 0
}

// Allows reports whether the policy lets a worker run a step. It doesn't choose a home for a
// step that nobody has asked for yet.
func (c *Cluster) Allows(step, worker string) bool {
	return c.homes[step] != "" && c.allows(step, worker)
}

// original returns the worker that a worker replaces, directly or through others, or the
// worker itself.
func (c *Cluster) original(id string) string {
	for c.Workers[id] != nil && c.Workers[id].Replaces != "" {
		id = c.Workers[id].Replaces
	}
	return id
}

// Advise returns the tickets, by worker, of those workers that may run a step. The
// tickets expire after valid.
func (c *Cluster) Advise(step string, workers []string, valid time.Duration) map[string]string {
	m := map[string]string{}
	for _, id := range workers {
		w := c.Workers[id]
		if w == nil || !w.up || !c.allows(step, id) {
			continue
		}
		k := grant{step, id, w.Born}
		c.ticketExpiry[k] = c.now + valid
		m[id] = k.ticket()
	}
	return m
}

// hasTicket reports whether an order carries a valid ticket for its step and this
// incarnation of the worker.
func (w *Worker) hasTicket(o Order) bool {
	step := o.Task[:strings.LastIndex(o.Task, ".")]
	k := grant{step, w.ID, w.Born}
	return o.Ticket == k.ticket() && w.c.now <= w.c.ticketExpiry[k]
}
