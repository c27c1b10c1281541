package active

import (
	"citronbridge/jobs"
	"citronbridge/target"
)

// IsComplete reports whether the member has completed.
func IsComplete(m *Member) bool { return m.State == target.Complete }

// IsSaved reports whether the member has stopped with a checkpoint or has completed.
func IsSaved(m *Member) bool { return m.State == target.Saved || m.State == target.Complete }

// Member is one task of the current attempt.
type Member struct {
	Target  string
	State   target.TaskState
	Started bool
	// StartSent says that a start order was sent, so that the member may run even if its
	// target never answered.
	StartSent bool
	Detail    string
	Output    jobs.Part
	// Verified says that the output is known to be complete.
	Verified bool
}

// Ended reports whether the member is known to have ended.
func (m *Member) Ended() bool { return m.State != "" && m.State.Ended() }

// SetOutput sets the output of a completed task. If the output is inline and doesn't match its
// length and checksum, or is another member's, the member becomes broken.
func (m *Member) SetOutput(t *target.Task) {
	o := t.Output
	m.Output = o
	if o.Member != t.ID.Member || o.Object == "" && !o.Verify(o.Data) {
		m.MarkOutputBroken()
		return
	}
	m.Verified = o.Object == ""
}

// MarkOutputBroken turns a completed member into a broken one, because its output is
// incomplete or doesn't match its checksum.
func (m *Member) MarkOutputBroken() { m.State, m.Detail = target.Broken, "output is not whole" }

// AnyMember is true for every member.
func AnyMember(*Member) bool { return true }

// RecordAccepted records that the target accepted an order, unless a report has set the state
// already.
func (m *Member) RecordAccepted(a target.Action) {
	if a == target.Reserve && m.State == "" {
		m.State = target.Reserved
	}
}
