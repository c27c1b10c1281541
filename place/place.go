// Package place decides which waiting jobs start on which targets, and which running jobs are
// preempted for them. It consists of pure functions: the same input gives the same plan on
// every host.
package place

import (
	"citronbridge/jobs"
	"citronbridge/state"
)

// Start is the decision to start a request now.
type Start struct {
	Key       jobs.Key
	Targets   []string
	Guarantee string
}

// Stop is the decision to preempt a running job.
type Stop struct {
	Key jobs.Key
	// For is the request that gets the room.
	For jobs.Key
}

// Wait says why a request doesn't start yet.
type Wait struct {
	Key    jobs.Key
	Reason Reason
	Detail string
}

// Reason is the kind of cause for which a request waits.
type Reason string

// The reasons. Reclaiming says that borrowers are being stopped for the request, and Backoff
// that it waits for its next attempt. NeverFits says that the cell couldn't hold the job even
// if nothing ran.
const (
	Reclaiming        Reason = "Reclaiming"
	NoRoom            Reason = "NoRoom"
	BehindReservation Reason = "BehindReservation"
	NeverFits         Reason = "NeverFits"
	Backoff           Reason = "Backoff"
)

// Plan is the result of Decide: what starts, what stops, why the rest waits, and which targets
// back each guarantee.
type Plan struct {
	Starts  []Start
	Stops   []Stop
	Waits   []Wait
	Backing state.Backing
	// Unbacked lists the IDs of the guarantees for which the cell has no room now.
	Unbacked []string
}
