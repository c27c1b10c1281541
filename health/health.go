// Package health decides from the jobs that fail at a target whether the target is at fault.
package health

import (
	"time"

	"citronbridge/jobs"
)

// Thresholds of suspicion.
const (
	// suspectFailures is how many different jobs must fail at a target, without one that
	// completes, to make it suspect.
	suspectFailures = 3
	// maxSuspectShare is the largest share of a cell's targets that can be suspect, though one
	// target always can. If more fail, the fault is probably not theirs.
	maxSuspectShare = 0.25
	// maxDoublings limits how often the wait before a probe doubles.
	maxDoublings = 6
)

// Record holds the recent failures at a target. The zero value is that of a target that works.
type Record struct {
	// Failed holds the jobs that failed there since one last completed.
	Failed map[jobs.Key]bool
	// Suspect says that the target gets no new work.
	Suspect bool
	// Probes counts how often the target, after being suspect, was given one task to show that
	// it works.
	Probes       int
	suspectSince time.Time
}

// RecordFailure records that a job failed at the target.
func (r *Record) RecordFailure(k jobs.Key) {
	if r.Failed == nil {
		r.Failed = map[jobs.Key]bool{}
	}
	r.Failed[k] = true
}

// Evaluate makes the target suspect if suspectFailures jobs have failed there in a row, unless
// too many of the cell's targets would then be suspect. It takes the numbers of suspects and
// of all targets, and reports whether the target became suspect.
func (r *Record) Evaluate(suspects, targets int, now time.Time) bool {
	if len(r.Failed) < suspectFailures || r.Suspect {
		return false
	}
	if float64(suspects+1) > max(1, maxSuspectShare*float64(targets)) {
		return false
	}
	r.Suspect, r.suspectSince = true, now
	return true
}

// Probe ends the suspicion, so that the target can be probed with one task, once wait has
// passed since it became suspect. The wait doubles with each earlier probe.
func (r *Record) Probe(wait time.Duration, now time.Time) {
	if r.Suspect && now.Sub(r.suspectSince) >= wait<<min(r.Probes, maxDoublings) {
		r.Suspect = false
		r.Probes++
	}
}
