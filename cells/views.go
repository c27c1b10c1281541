package cells

import (
	"slices"
	"strings"

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

// Explain explains a record as it is.
func Explain(r *jobs.Record) Explanation {
	return Explanation{
		Account: r.Spec.Account, ID: r.Spec.ID, Cell: r.Cell, State: r.State, Outcome: r.Outcome,
		Detail: r.Detail, Targets: r.Targets, Revision: r.Revision, Events: r.Events,
	}
}

// hints says what could be changed about a wait.
var hints = map[place.Reason]string{
	place.NoRoom:     "add targets, or a guarantee of this shape for the account",
	place.Behind:     "nothing: a larger job has waited longer and holds a reservation",
	place.Reclaiming: "nothing: borrowers are being stopped",
	place.Held:       "nothing: the last attempt ended just now",
	place.NeverFits:  "add a rack or targets that hold the shape, or submit a smaller shape",
}

// Explain explains a job that the cell has.
func (c *Cell) Explain(k jobs.Key) (Explanation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[k]
	if j == nil {
		return Explanation{}, false
	}
	e := Explain(j.Record)
	e.Events = slices.Clone(e.Events)
	e.Guarantee, e.Revision = j.guarantee, c.c.Book.Number()
	for i := range j.members {
		e.Targets = append(e.Targets, j.members[i].target)
	}
	if j.Record.State != jobs.Waiting {
		return e, true
	}
	c.explainWait(j, &e)
	return e, true
}

// explainWait adds why a job waits. The lock is held.
func (c *Cell) explainWait(j *job, e *Explanation) {
	for _, o := range c.jobs {
		if o.Record.State == jobs.Waiting && o.Record.Accepted.Before(j.Record.Accepted) {
			e.Ahead++
		}
	}
	w, ok := c.waits[j.key()]
	switch {
	case ok:
		e.Reason, e.Hint = string(w.Reason)+": "+w.Detail, hints[w.Reason]
	case !c.c.Book.Fresh(c.now(), c.c.Bounds.Confirm):
		e.Reason, e.Hint = "RulesUnconfirmed: nothing starts until the manifest is confirmed", "bring back the table service, or the connection to another data centre"
	default:
		e.Reason = "Pending: not decided yet"
	}
}

// TargetView is a target as its decider sees it.
type TargetView struct {
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

// Targets describes the cell's targets in the order of their IDs.
func (c *Cell) Targets() []TargetView {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := map[string]*TargetView{}
	for id, x := range c.nodes {
		m[id] = &TargetView{ID: id, Cell: c.Name, Rack: x.host.Rack, Room: x.host.Room, Free: x.room(), State: c.nodeState(x), Jobs: []string{}, Failed: len(x.health.failed), Guarantees: []string{}}
	}
	for _, j := range c.jobs {
		for i := range j.members {
			if v := m[j.members[i].target]; v != nil && !j.members[i].ended() {
				v.Free = v.Free.Minus(j.spec().Task())
				v.Jobs = append(v.Jobs, j.key().String())
			}
		}
	}
	for g, t := range c.seats {
		for _, id := range t {
			if v := m[id]; v != nil && !slices.Contains(v.Guarantees, g) {
				v.Guarantees = append(v.Guarantees, g)
			}
		}
	}
	l := make([]TargetView, 0, len(m))
	for _, v := range m {
		slices.Sort(v.Jobs)
		slices.Sort(v.Guarantees)
		l = append(l, *v)
	}
	slices.SortFunc(l, func(a, b TargetView) int { return strings.Compare(a.ID, b.ID) })
	return l
}

// nodeState names the state of a target. The lock is held.
func (c *Cell) nodeState(x *node) string {
	switch {
	case !x.listed:
		return "Unlisted"
	case x.host.Leaving:
		return "Leaving"
	case !x.fenced || x.unanswered >= silentCalls || c.now().Sub(x.contact) > c.c.Bounds.Lease:
		return "Silent"
	case x.health.suspect:
		return "Suspect"
	}
	return "Open"
}

// AccountView is what an account has in a cell, in accelerators.
type AccountView struct {
	Account, Cell string
	// Guaranteed is what the manifest promises, Used what the account's jobs
	// hold of it, Borrowed what they hold beyond, and Lent what others hold of
	// what the account is guaranteed.
	Guaranteed, Used, Borrowed, Lent int
	Waiting, Placed                  int
	// Unseated names guarantees that the cell can't hold right now.
	Unseated []string
}

// Accounts describes the accounts in the order of the manifest.
func (c *Cell) Accounts() []AccountView {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.c.Book.Current()
	if r == nil {
		return nil
	}
	l := make([]AccountView, 0, len(r.Manifest.Accounts))
	at := map[string]*AccountView{}
	for _, a := range r.Manifest.Accounts {
		v := AccountView{Account: a.Name, Cell: c.Name, Unseated: []string{}}
		for i, g := range a.Guarantees {
			if g.DataCentre != c.Name {
				continue
			}
			v.Guaranteed += g.Shape.Accelerators()
			if id := place.GuaranteeID(a.Name, i); c.unseated[id] {
				v.Unseated = append(v.Unseated, id)
			}
		}
		l = append(l, v)
	}
	for i := range l {
		at[l[i].Account] = &l[i]
	}
	for _, j := range c.jobs {
		if v := at[j.key().Account]; v != nil {
			count(v, j)
		}
	}
	lent := place.Lent(c.input())
	for i := range l {
		l[i].Lent = lent[l[i].Account]
	}
	return l
}

// count adds a job to its account's view.
func count(v *AccountView, j *job) {
	n := j.spec().Shape.Accelerators()
	switch {
	case len(j.members) == 0:
		v.Waiting++
		return
	case j.guarantee != "":
		v.Used += n
	default:
		v.Borrowed += n
	}
	v.Placed++
}
