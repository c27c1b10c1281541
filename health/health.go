// Package health judges from what breaks at a target whether the target is at
// fault.
package health

import (
	"time"

	"citronbridge/jobs"
)

// Rules of suspicion.
const (
	// suspectFailures is how many different jobs must break in a row at a target.
	suspectFailures = 3
	// maxSuspectShare is the share of a cell's targets that can be suspect: if
	// more fail, the fault is likely not theirs.
	maxSuspectShare = 0.25
	// maxDoublings bounds how often the wait for a probe doubles.
	maxDoublings = 6
)

// Record is what is known of a target's reliability. The zero value is a
// target that works.
type Record struct {
	// Failed holds the jobs that broke since one last worked.
	Failed map[jobs.Key]bool
	// Suspect says that the target gets no work.
	Suspect bool
	// Probes counts how often it was given a task to prove itself.
	Probes       int
	suspectSince time.Time
}

// RecordFailure counts a job that broke.
func (r *Record) RecordFailure(k jobs.Key) {
	if r.Failed == nil {
		r.Failed = map[jobs.Key]bool{}
	}
	r.Failed[k] = true
}

// Evaluate makes the target a suspect if it fails all it starts while its peers,
// of which that many are suspect already, don't. It reports whether it did.
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

// Probe lets a suspect have a task once wait, doubled for each probe before,
// has passed.
func (r *Record) Probe(wait time.Duration, now time.Time) {
	if r.Suspect && now.Sub(r.suspectSince) >= wait<<min(r.Probes, maxDoublings) {
		r.Suspect = false
		r.Probes++
	}
}
