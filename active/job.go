// Package active holds a job in its decider's memory: the members of its current
// attempt, and what follows from their states.
package active

import (
	"time"

	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/target"
)

// All reports whether f holds for every member.
func (j *Job) All(f func(*Member) bool) bool {
	for i := range j.Members {
		if !f(&j.Members[i]) {
			return false
		}
	}
	return len(j.Members) > 0
}

// FailedMember returns a member that ended without completing, a broken one first.
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

// HasStarted reports whether a member may have run.
func (j *Job) HasStarted() bool {
	for i := range j.Members {
		if j.Members[i].Started {
			return true
		}
	}
	return false
}

// Job is a job in memory.
type Job struct {
	ledger.Entry
	Attempt   jobs.Attempt
	Members   []Member
	Guarantee string
	// Requeues counts the attempts of which nothing was started.
	Requeues int
	// HaltReason is why the members are being stopped, and since when.
	HaltReason HaltReason
	HaltDetail string
	HaltedAt   time.Time
	// Avoid tells until when the job is kept from targets that failed it,
	// Failures counts its broken attempts, and restarts the attempts that ended
	// for other reasons.
	Avoid    map[string]time.Time
	Failures int
	Restarts int
	// NotBefore keeps a job that was refused from being placed at once again.
	NotBefore time.Time
	// TargetGone says that a target is gone for good that may have run a member.
	TargetGone bool
	// Cancelled says that the caller wants the job stopped.
	Cancelled bool
	// Saving says that its outcome is being written.
	Saving bool
	// Verifying says that large outputs are being read.
	Verifying bool
	// Moving says that it is being handed to another cell.
	Moving bool
	Done   chan struct{}
}

// Departure is when a job left the cell, and the version of its row before.
type Departure struct {
	At      time.Time
	Version int64
}

// HaltReason is why a gang is stopped.
type HaltReason string

const (
	HaltNone      HaltReason = ""
	HaltCancelled HaltReason = "Cancelled"
	HaltPreempted HaltReason = "Preempted"
	HaltFailed    HaltReason = "Failed"
	HaltLost      HaltReason = "Lost"
)

func NewJob(e ledger.Entry) *Job {
	return &Job{Entry: e, Avoid: map[string]time.Time{}, Done: make(chan struct{})}
}

// Key returns the job's identity.
func (j *Job) Key() jobs.Key { return j.Record.Spec.Key() }

// Spec returns what the caller asked for.
func (j *Job) Spec() *jobs.Spec { return &j.Record.Spec }

// LaterAttempt reports whether attempt a came after b.
func LaterAttempt(a, b jobs.Attempt) bool {
	return a.Epoch > b.Epoch || a.Epoch == b.Epoch && a.Number > b.Number
}

// AvoidedTargets returns the targets that the job is kept from now.
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
