// Package views holds the representations of jobs, targets and accounts that are shown to
// callers and operators.
package views

import (
	"fmt"
	"io"
	"time"

	"citronbridge/jobs"
	"citronbridge/place"
)

// Explanation says what became of a job, or why it waits.
type Explanation struct {
	Account, ID string
	Cell        string
	State       jobs.State
	Outcome     jobs.Outcome `json:",omitempty"`
	Detail      string       `json:",omitempty"`
	// Reason says why the job waits, if it does.
	Reason string `json:",omitempty"`
	// Guarantee is the ID of the guarantee to which the job is charged.
	Guarantee string   `json:",omitempty"`
	Targets   []string `json:",omitempty"`
	// Ahead counts the waiting jobs of the cell that were accepted earlier.
	Ahead    int
	Revision int64
	// Hint says what an operator could change so that the job starts.
	Hint   string `json:",omitempty"`
	Events []jobs.Event
}

// ExplainRecord returns the explanation that a job's record alone gives.
func ExplainRecord(r *jobs.Record) Explanation {
	return Explanation{
		Account: r.Spec.Account, ID: r.Spec.ID, Cell: r.Cell, State: r.State, Outcome: r.Outcome,
		Detail: r.Detail, Targets: r.Targets, Revision: r.Revision, Events: r.Events,
	}
}

// Target is a target as seen by its decider.
type Target struct {
	ID, Cell, Rack string
	Room, Free     jobs.Room
	// State is Open, Leaving, Suspect, Silent or Unlisted.
	State string
	Jobs  []string
	// Failed counts the jobs that failed there since one last completed.
	Failed int
	// Guarantees holds the IDs of the guarantees that the target backs.
	Guarantees []string
}

// Account is what an account has in a cell, in accelerators.
type Account struct {
	Account, Cell string
	// Guaranteed is what the manifest guarantees, Used what the account's jobs hold of it,
	// Borrowed what they hold beyond it, and Lent what other accounts hold of what this one is
	// guaranteed.
	Guaranteed, Used, Borrowed, Lent int
	// Waiting and Placed count jobs.
	Waiting, Placed int
	// Unbacked holds the IDs of the guarantees for which the cell has no room now.
	Unbacked []string
}

// Print writes the explanation to w as text.
func (v *Explanation) Print(w io.Writer) {
	fmt.Fprintf(w, "%s/%s: %s %s %s\n", v.Account, v.ID, v.State, v.Outcome, v.Detail)
	fmt.Fprintf(w, "  cell %s, revision %d, guarantee %q, targets %v\n", v.Cell, v.Revision, v.Guarantee, v.Targets)
	if v.Reason != "" {
		fmt.Fprintf(w, "  waits: %s (%d arrived before)\n  to change that: %s\n", v.Reason, v.Ahead, v.Hint)
	}
	for _, e := range v.Events {
		fmt.Fprintf(w, "  %s %-18s host %s epoch %d revision %d %s\n", e.Time.Format(time.TimeOnly+".000"), e.What, e.Host, e.Epoch, e.Revision, e.Detail)
	}
}

// WaitHints holds, for each reason to wait, what could be changed about it.
var WaitHints = map[place.Reason]string{
	place.NoRoom:            "add targets, or a guarantee of this shape for the account",
	place.BehindReservation: "nothing: a larger job has waited longer and holds a reservation",
	place.Reclaiming:        "nothing: borrowers are being stopped",
	place.Backoff:           "nothing: the last attempt ended just now",
	place.NeverFits:         "add a rack or targets that hold the shape, or submit a smaller shape",
}
