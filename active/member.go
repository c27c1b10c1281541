package active

import (
	"citronbridge/jobs"
	"citronbridge/target"
)

func IsComplete(m *Member) bool { return m.State == target.Complete }

func IsSaved(m *Member) bool { return m.State == target.Saved || m.State == target.Complete }

// Member is one task of the current attempt.
type Member struct {
	Target  string
	State   target.TaskState
	Started bool
	// StartSent says that an order to start was sent, so that the member may run
	// even if its target never answered.
	StartSent bool
	Detail    string
	Output    jobs.Part
	// Verified says that the output was read and is whole.
	Verified bool
}

// Ended reports whether the member is known to run no more.
func (m *Member) Ended() bool { return m.State != "" && m.State.Ended() }

// SetOutput keeps the output of a complete task. An output that isn't whole makes
// the task a broken one.
func (m *Member) SetOutput(t *target.Task) {
	o := t.Output
	m.Output = o
	if o.Member != t.ID.Member || o.Object == "" && !o.Verify(o.Data) {
		m.MarkOutputBroken()
		return
	}
	m.Verified = o.Object == ""
}

// MarkOutputBroken makes a complete task a broken one, because its output isn't whole.
func (m *Member) MarkOutputBroken() { m.State, m.Detail = target.Broken, "output is not whole" }

func AnyMember(*Member) bool { return true }

// RecordAccepted notes an accepted order, unless a report was faster.
func (m *Member) RecordAccepted(a target.Action) {
	if a == target.Reserve && m.State == "" {
		m.State = target.Reserved
	}
}
