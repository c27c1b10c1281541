package model

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// grant is what a ticket allows: a step on one life of a worker.
type grant struct {
	step, worker string
	born         int64
}

// ticket is the ticket as it is handed out.
func (k grant) ticket() string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprint(k.step, "/", k.worker, "/", k.born)))
}

// refuseOneIn is of how many workers one may not run a step.
const refuseOneIn = 4

// allows reports whether the policy lets a worker run a step. There is a
// worker for each step.
func (c *Cluster) allows(step, worker string) bool {
	home := c.workerIDs[xxhash.Sum64String(step)>>32%uint64(len(c.workerIDs))]
	return worker == home || xxhash.Sum64String(step+"@"+worker)>>32%refuseOneIn != 0
}

// Advise returns tickets, by worker, for those that may run a step. They hold
// for a time.
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

// hasTicket reports whether an order carries a ticket that holds.
func (w *Worker) hasTicket(o Order) bool {
	step := o.Task[:strings.LastIndex(o.Task, ".")]
	k := grant{step, w.ID, w.Born}
	return o.Ticket == k.ticket() && w.c.now <= w.c.ticketExpiry[k]
}
