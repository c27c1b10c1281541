// Package active holds the in-memory state of open jobs at their decider: the members of the
// current attempt, and what follows from their states.
package active

import (
	"time"

	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/target"
)

// All reports whether f holds for every member. It is false for a job without members.
func (j *Job) All(f func(*Member) bool) bool {
	for i := range j.Members {
		if !f(&j.Members[i]) {
			return false
		}
	}
	return len(j.Members) > 0
}

// FailedMember returns a member that ended without completing, preferably a broken one, or
// nil.
func (j *Job) FailedMember() *Member {
	var b *Member
	for i := range j.Members {
		m := &j.Members[i]
		if !m.Ended() || m.State == target.Complete {
			continue
		}
		if m.State == target.Broken {
			return m
		}
		if b == nil {
			b = m
		}
	}
	return b
}

// HasStarted reports whether a member may have run in the current attempt.
func (j *Job) HasStarted() bool {
	for i := range j.Members {
		if j.Members[i].Started {
			return true
		}
	}
	return false
}

// Job is an open job in its decider's memory.
type Job struct {
	ledger.Entry
	Attempt   jobs.Attempt
	Members   []Member
	Guarantee string
	// Requeues counts the attempts after which the job was requeued. The backoff grows with
	// it.
	Requeues int
	// HaltReason and HaltDetail say why the members are being stopped, HaltedAt since when.
	HaltReason HaltReason
	HaltDetail string
	HaltedAt   time.Time
	// Avoid holds until when the job isn't placed on targets that failed or refused it.
	// Failures counts the attempts that broke through the job's own fault, and Restarts those
	// after which it was restarted because they failed or were lost.
	Avoid    map[string]time.Time
	Failures int
	Restarts int
	// NotBefore is the end of the backoff before which the job isn't placed again.
	NotBefore time.Time
	// TargetGone says that a target that may have run a member is gone for good, so that its
	// outcome can't be known.
	TargetGone bool
	// Cancelled says that the caller has cancelled the job.
	Cancelled bool
	// Saving says that the outcome of the job is being written.
	Saving bool
	// Verifying says that the large outputs of the job are being read from the object store.
	Verifying bool
	// Moving says that the job is being moved to another cell.
	Moving bool
	// Done is closed when the job has left the cell.
	Done chan struct{}
}

// Departure records when a job left the cell, and the version of its row that the cell knew
// then.
type Departure struct {
	At      time.Time
	Version int64
}

// HaltReason is why a gang is stopped.
type HaltReason string

// The reasons. HaltFailed says that a member broke or didn't start, HaltLost that what became
// of a member can't be learned or that the gang is incomplete.
const (
	HaltNone      HaltReason = ""
	HaltCancelled HaltReason = "Cancelled"
	HaltPreempted HaltReason = "Preempted"
	HaltFailed    HaltReason = "Failed"
	HaltLost      HaltReason = "Lost"
)

// NewJob returns a Job without members for an entry of the ledger.
func NewJob(e ledger.Entry) *Job {
	return &Job{Entry: e, Avoid: map[string]time.Time{}, Done: make(chan struct{})}
}

// Key returns the key of the job.
func (j *Job) Key() jobs.Key { return j.Record.Spec.Key() }

// Spec returns the caller's request.
func (j *Job) Spec() *jobs.Spec { return &j.Record.Spec }

// LaterAttempt reports whether attempt a began after b.
func LaterAttempt(a, b jobs.Attempt) bool {
	return a.Epoch > b.Epoch || a.Epoch == b.Epoch && a.Number > b.Number
}

// AvoidedTargets returns the targets on which the job must not be placed at the time now.
func (j *Job) AvoidedTargets(now time.Time) map[string]bool {
	if len(j.Avoid) == 0 {
		return nil
	}
	m := map[string]bool{}
	for t, until := range j.Avoid {
		if now.Before(until) {
			m[t] = true
		}
	}
	return m
}
