package active

import (
	"citronbridge/jobs"
	"citronbridge/target"
)

func Complete(m *Member) bool { return m.State == target.Complete }

func Saved(m *Member) bool { return m.State == target.Saved || m.State == target.Complete }

// Member is one task of the current attempt.
type Member struct {
	Target  string
	State   target.TaskState
	Started bool
	// Asked says that an order to start was sent, so that the member may run
	// even if its target never answered.
	Asked  bool
	Detail string
	Output jobs.Part
	// Verified says that the output was read and is whole.
	Verified bool
}

// Ended reports whether the member is known to run no more.
func (m *Member) Ended() bool { return m.State != "" && m.State.Ended() }

// Take keeps the output of a complete task. An output that isn't whole makes
// the task a broken one.
func (m *Member) Take(t *target.Task) {
	o := t.Output
	m.Output = o
	if o.Member != t.ID.Member || o.Object == "" && !o.Verify(o.Data) {
		m.Spoil()
		return
	}
	m.Verified = o.Object == ""
}

// Spoil makes a complete task a broken one, because its output isn't whole.
func (m *Member) Spoil() { m.State, m.Detail = target.Broken, "output is not whole" }

func Every(*Member) bool { return true }

// Ordered notes an accepted order, unless a report was faster.
func (m *Member) Ordered(a target.Action) {
	if a == target.Reserve && m.State == "" {
		m.State = target.Reserved
	}
}
