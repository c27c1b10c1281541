package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"citronbridge/fault"
)

// State is the state of a job.
type State string

// The states of a job. A job in Stopping has members that are being stopped, and one in
// Settling was found at takeover with members whose states aren't known yet. Finished is the
// only final state.
const (
	Waiting  State = "Waiting"
	Starting State = "Starting"
	Running  State = "Running"
	Stopping State = "Stopping"
	Settling State = "Settling"
	Finished State = "Finished"
)

// Outcome is how a job ended.
type Outcome string

// The outcomes. NotRun is used only if the job can't run any more. Unknown is used if a target
// that may have run the job is gone for good, or if the job ends while it waits and a former
// decider may have started it.
const (
	Done    Outcome = "Done"
	Failed  Outcome = "Failed"
	Stopped Outcome = "Stopped"
	NotRun  Outcome = "NotRun"
	Unknown Outcome = "Unknown"
)

// Valid reports whether o is a known outcome.
func (o Outcome) Valid() bool {
	switch o {
	case Done, Failed, Stopped, NotRun, Unknown:
		return true
	}
	return false
}

// Past says whether earlier attempts of a job ran a member.
type Past string

// NeverRan says that no decider has started the job, MayHaveRan that a former decider may have
// started it, and HasRan that a member ran.
const (
	NeverRan   Past = ""
	MayHaveRan Past = "MayHaveRan"
	HasRan     Past = "HasRan"
)

// Outcome returns the outcome of a job that ends while it waits.
func (p Past) Outcome() Outcome {
	switch p {
	case NeverRan:
		return NotRun
	case HasRan:
		return Stopped
	}
	return Unknown
}

// Attempt identifies one attempt to run a gang. Epoch is the decider's, and Number counts the
// attempts of that decider in all its jobs, so no two attempts are equal.
type Attempt struct {
	Epoch  int64
	Number int64
}

// String returns the text form Epoch.Number.
func (a Attempt) String() string { return fmt.Sprintf("%d.%d", a.Epoch, a.Number) }

// Part is the output of one member of a gang.
type Part struct {
	Member   int
	Target   string
	Length   int64
	Checksum string
	// Data holds a small output, Object is the name of a large one in the object store.
	Data   []byte `json:",omitempty"`
	Object string `json:",omitempty"`
}

// Verify reports whether data has the length and the checksum of the part.
func (p *Part) Verify(data []byte) bool {
	return int64(len(data)) == p.Length && Checksum(data) == p.Checksum
}

// Checksum returns the SHA-256 hash of data in hexadecimal.
func Checksum(data []byte) string {
	h := sha256.Sum256(data)
	return hex.EncodeToString(h[:])
}

// Event is one entry in the history of a job, as shown in its explanation.
type Event struct {
	Time     time.Time
	What     string
	Detail   string `json:",omitempty"`
	Host     string `json:",omitempty"`
	Epoch    int64  `json:",omitempty"`
	Revision int64  `json:",omitempty"`
}

// MaxEvents limits the events that a record keeps.
const MaxEvents = 40

// Record is the stored state of a job, one row.
type Record struct {
	Spec   Spec
	Digest string
	// Cell is the data centre whose decider owns the job.
	Cell     string
	State    State
	Outcome  Outcome `json:",omitempty"`
	Detail   string  `json:",omitempty"`
	Accepted time.Time
	Started  time.Time `json:",omitzero"`
	Finished time.Time `json:",omitzero"`
	Revision int64
	// Attempt and Targets are the intent of a non-idempotent job, written before its first
	// start order, or the last attempt of a finished job.
	Attempt Attempt
	Targets []string `json:",omitempty"`
	// Incarnations are the incarnations of Targets when the intent was written. A target that
	// has restarted since can't tell whether it ran the job.
	Incarnations []string `json:",omitempty"`
	// Past says what the decider that wrote the row knew of earlier attempts.
	Past Past `json:",omitempty"`
	// Answer has one part for each member if Outcome is Done.
	Answer []Part  `json:",omitempty"`
	Events []Event `json:",omitempty"`
}

// Check returns the faults of a record that was read.
func (r *Record) Check() fault.List {
	l := r.Spec.Check().WithPrefix("Spec.")
	l.Check(ValidName(r.Cell), "Cell", r.Cell, NameRule)
	l.Check(r.State != Finished || r.Outcome.Valid(), "Outcome", r.Outcome, "a known outcome")
	l.Check(r.Outcome != Done || len(r.Answer) == r.Spec.Shape.Members, "Answer", len(r.Answer), "one part for each member")
	return l
}

// Final reports whether the job has ended.
func (r *Record) Final() bool { return r.State == Finished }

// AddEvent appends an event. If the record has MaxEvents already it drops the oldest event but
// the first, which is that of the acceptance.
func (r *Record) AddEvent(e Event) {
	if len(r.Events) >= MaxEvents {
		r.Events = append(r.Events[:1], r.Events[2:]...)
	}
	r.Events = append(r.Events, e)
}
