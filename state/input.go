// Package state models the state of a cell for one decision: which room is free, which targets
// back the guarantees, and how gangs are packed.
package state

import (
	"time"

	"citronbridge/jobs"
	"citronbridge/rules"
)

// Target is a target as input of a decision.
type Target struct {
	ID   string
	Rack string
	Room jobs.Room
	// Open says that the target may get new work.
	Open bool
	// Probe says that the target was suspect and may run only one task, to show that it works.
	Probe bool
}

// Job is a job that holds room at targets.
type Job struct {
	Spec *jobs.Spec
	// Targets names the target of each member that has not ended.
	Targets []string
	// Guarantee is the ID of the guarantee to which the job is charged. A job without one is a
	// borrower.
	Guarantee string
	Started   time.Time
	// Expected is the declared run time, corrected by how the account's earlier declarations
	// compared with the actual run times.
	Expected time.Duration
	// Stopping says that the job is being stopped, so that its room will be free soon.
	Stopping bool
	// Starting says that the job is being launched and can't be stopped yet.
	Starting bool
	// Stuck says that the job was ordered to stop and didn't within the time allowed.
	Stuck bool
}

// NonPreemptible reports whether the job can't be stopped for another one: it is stuck, or its
// request is non-preemptible.
func (j *Job) NonPreemptible() bool { return j.Stuck || NonPreemptible(j.Spec) }

// NonPreemptible reports whether jobs of the request can't be stopped for others. A
// non-idempotent job runs at most once, so without a checkpoint a stop ends it for good.
func NonPreemptible(s *jobs.Spec) bool { return s.NonIdempotent && !s.Checkpoints }

// Request is a waiting job.
type Request struct {
	Spec     *jobs.Spec
	Arrived  time.Time
	Expected time.Duration
	// Avoid holds the targets that failed or refused the job recently.
	Avoid map[string]bool
	// BackingOff says that the job must not start yet. Room that a guarantee gives it is kept
	// nevertheless.
	BackingOff bool
}

// Input holds all that a decision depends on.
type Input struct {
	Now      time.Time
	Cell     string
	Manifest *rules.Manifest
	Targets  []Target
	Running  []Job
	Waiting  []Request
	// Backing is the backing of the last plan.
	Backing Backing
	// Policy disables rules for comparison.
	Policy Policy
}

// Policy disables rules of placement, so that measurements can show the effect of each. The
// zero value applies all rules.
type Policy struct {
	// FirstFit takes the first targets that fit instead of the best ones.
	FirstFit bool `yaml:"FirstFit"`
	// Arrival orders requests by arrival alone.
	Arrival bool `yaml:"Arrival"`
	// NoReclaim never stops a job for a guarantee.
	NoReclaim bool `yaml:"NoReclaim"`
	// NoBackfill starts nothing behind a blocked request.
	NoBackfill bool `yaml:"NoBackfill"`
	// NoReservation reserves no room for a blocked request.
	NoReservation bool `yaml:"NoReservation"`
	// NoFloors ignores the floors of kinds.
	NoFloors bool `yaml:"NoFloors"`
}

// Backing holds the targets that back each guarantee by its ID, one target for each member of
// the guaranteed shape.
type Backing map[string][]string
