// Package state holds the state of a cell as a decision sees it: what is free,
// what guarantees stand on, and how gangs fit.
package state

import (
	"time"

	"citronbridge/jobs"
	"citronbridge/rules"
)

// Target is a target as a decision sees it.
type Target struct {
	ID   string
	Rack string
	Room jobs.Room
	// Open says that the target may get new work.
	Open bool
	// Probe says that the target may get one task, to show that it works.
	Probe bool
}

// Job is a job that holds room.
type Job struct {
	Spec *jobs.Spec
	// Targets names the target of each member.
	Targets []string
	// Guarantee names the guarantee that the job is charged to. A job without
	// one is a borrower.
	Guarantee string
	Started   time.Time
	// Expected is the run time, corrected by what the account's declarations
	// turned out to mean.
	Expected time.Duration
	// Stopping says that the job's room will be free soon.
	Stopping bool
	// Starting says that the job is between placement and start, where it
	// can't be stopped yet.
	Starting bool
	// Stuck says that the job was told to stop and didn't in time.
	Stuck bool
}

// NonPreemptible reports whether the job can't be stopped for another: it must run at
// most once, and stopping it would end it for good.
func (j *Job) NonPreemptible() bool { return j.Stuck || NonPreemptible(j.Spec) }

func NonPreemptible(s *jobs.Spec) bool { return s.NonIdempotent && !s.Checkpoints }

// Request is a job that waits.
type Request struct {
	Spec     *jobs.Spec
	Arrived  time.Time
	Expected time.Duration
	// Avoid holds the targets that failed the job before.
	Avoid map[string]bool
	// BackingOff says that the request must not start yet, but that the room that its
	// guarantee gives it is kept.
	BackingOff bool
}

// Input is all that a decision depends on.
type Input struct {
	Now     time.Time
	Cell    string
	Rules   *rules.Manifest
	Targets []Target
	Running []Job
	Waiting []Request
	// Backing is what the last plan said.
	Backing Backing
	// Policy switches rules off for comparison.
	Policy Policy
}

// Policy switches rules off, so that a measurement can show what they buy.
// The zero value is the whole policy.
type Policy struct {
	// FirstFit takes the first targets that fit.
	FirstFit bool `yaml:"FirstFit"`
	// Arrival orders requests by arrival alone.
	Arrival bool `yaml:"Arrival"`
	// NoReclaim never stops a job for a guarantee.
	NoReclaim bool `yaml:"NoReclaim"`
	// NoBackfill lets nothing start behind a blocked request.
	NoBackfill bool `yaml:"NoBackfill"`
	// NoReservation keeps no room for a request that is blocked.
	NoReservation bool `yaml:"NoReservation"`
	// NoFloors ignores the floors of kinds.
	NoFloors bool `yaml:"NoFloors"`
}

// Backing holds the targets that stand behind each guarantee, a target for each
// member of the guaranteed shape.
type Backing map[string][]string
