// Package views holds what people are shown of jobs, targets and accounts.
package views

import (
	"fmt"
	"io"
	"time"

	"citronbridge/jobs"
	"citronbridge/place"
)

// Explanation tells what became of a job, or why it waits.
type Explanation struct {
	Account, ID string
	Cell        string
	State       jobs.State
	Outcome     jobs.Outcome `json:",omitempty"`
	Detail      string       `json:",omitempty"`
	// Reason says why a waiting job waits.
	Reason string `json:",omitempty"`
	// Guarantee names the guarantee that the job is charged to.
	Guarantee string   `json:",omitempty"`
	Targets   []string `json:",omitempty"`
	// Ahead counts the waiting jobs of the cell that arrived before.
	Ahead    int
	Revision int64
	// Hint says what an operator could change.
	Hint   string `json:",omitempty"`
	Events []jobs.Event
}

// ExplainRecord explains a record as it is.
func ExplainRecord(r *jobs.Record) Explanation {
	return Explanation{
		Account: r.Spec.Account, ID: r.Spec.ID, Cell: r.Cell, State: r.State, Outcome: r.Outcome,
		Detail: r.Detail, Targets: r.Targets, Revision: r.Revision, Events: r.Events,
	}
}

// Target is a target as its decider sees it.
type Target struct {
	ID, Cell, Rack string
	Room, Free     jobs.Room
	// State is Open, Leaving, Suspect, Silent or Unlisted.
	State string
	Jobs  []string
	// Failed counts the jobs that broke there since one last worked.
	Failed int
	// Guarantees names those that stand on the target.
	Guarantees []string
}

// Account is what an account has in a cell, in accelerators.
type Account struct {
	Account, Cell string
	// Guaranteed is what the manifest promises, Used what the account's jobs
	// hold of it, Borrowed what they hold beyond, and Lent what others hold of
	// what the account is guaranteed.
	Guaranteed, Used, Borrowed, Lent int
	Waiting, Placed                  int
	// Unbacked names guarantees that the cell can't hold right now.
	Unbacked []string
}

// Print writes the explanation for people.
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

// WaitHints says what could be changed about a wait.
var WaitHints = map[place.Reason]string{
	place.NoRoom:            "add targets, or a guarantee of this shape for the account",
	place.BehindReservation: "nothing: a larger job has waited longer and holds a reservation",
	place.Reclaiming:        "nothing: borrowers are being stopped",
	place.Backoff:           "nothing: the last attempt ended just now",
	place.NeverFits:         "add a rack or targets that hold the shape, or submit a smaller shape",
}
