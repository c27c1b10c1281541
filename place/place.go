// Package place decides which waiting jobs start where, and which running
// ones make room. It is plain functions over plain data: the same input gives
// the same plan on every host.
package place

import (
	"citronbridge/jobs"
	"citronbridge/state"
)

// Start says that a request starts now.
type Start struct {
	Key       jobs.Key
	Targets   []string
	Guarantee string
}

// Stop says that a running job makes room.
type Stop struct {
	Key jobs.Key
	// For is the request that the room is for.
	For jobs.Key
}

// Wait says why a request waits.
type Wait struct {
	Key    jobs.Key
	Reason Reason
	Detail string
}

// Reason is why a request waits.
type Reason string

// The reasons. NeverFits says that the cell couldn't hold the job if it were
// empty.
const (
	Reclaiming        Reason = "Reclaiming"
	NoRoom            Reason = "NoRoom"
	BehindReservation Reason = "BehindReservation"
	NeverFits         Reason = "NeverFits"
	Backoff           Reason = "Backoff"
)

// Plan is a decision.
type Plan struct {
	Starts  []Start
	Stops   []Stop
	Waits   []Wait
	Backing state.Backing
	// Unbacked lists the guarantees that the cell can't hold right now.
	Unbacked []string
}
