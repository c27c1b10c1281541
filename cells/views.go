package cells

import (
	"slices"
	"strings"

	"citronbridge/active"
	"citronbridge/gangs"
	"citronbridge/jobs"
	"citronbridge/state"
	"citronbridge/views"
)

// Explain returns the explanation of a job, and false if the cell doesn't have the job.
func (c *Cell) Explain(k jobs.Key) (views.Explanation, bool) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	j := c.Jobs[k]
	if j == nil {
		return views.Explanation{}, false
	}
	e := views.ExplainRecord(j.Record)
	e.Events = slices.Clone(e.Events)
	e.Guarantee, e.Revision = j.Guarantee, c.Config.Revisions.Number()
	for i := range j.Members {
		e.Targets = append(e.Targets, j.Members[i].Target)
	}
	if j.Record.State != jobs.Waiting {
		return e, true
	}
	c.explainWait(j, &e)
	return e, true
}

// explainWait adds the reason for which a job waits. The caller holds Mu.
func (c *Cell) explainWait(j *active.Job, e *views.Explanation) {
	for _, o := range c.Jobs {
		if o.Record.State == jobs.Waiting && o.Record.Accepted.Before(j.Record.Accepted) {
			e.Ahead++
		}
	}
	w, ok := c.Waits[j.Key()]
	switch {
	case ok:
		e.Reason, e.Hint = string(w.Reason)+": "+w.Detail, views.WaitHints[w.Reason]
	case !c.Config.Revisions.Fresh(c.Now(), c.Config.Bounds.Confirm):
		e.Reason, e.Hint = "RulesUnconfirmed: nothing starts until the manifest is confirmed", "bring back the table service, or the connection to another data centre"
	default:
		e.Reason = "Pending: not decided yet"
	}
}

// Targets returns the cell's targets in the order of their IDs.
func (c *Cell) Targets() []views.Target {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	m := map[string]*views.Target{}
	for id, x := range c.Nodes {
		m[id] = &views.Target{ID: id, Cell: c.Name, Rack: x.Host.Rack, Room: x.Host.Room, Free: x.Room(), State: c.nodeState(x), Jobs: []string{}, Failed: len(x.Health.Failed), Guarantees: []string{}}
	}
	for _, j := range c.Jobs {
		for i := range j.Members {
			if v := m[j.Members[i].Target]; v != nil && !j.Members[i].Ended() {
				v.Free = v.Free.Minus(j.Spec().TaskRoom())
				v.Jobs = append(v.Jobs, j.Key().String())
			}
		}
	}
	for g, t := range c.backing {
		for _, id := range t {
			if v := m[id]; v != nil && !slices.Contains(v.Guarantees, g) {
				v.Guarantees = append(v.Guarantees, g)
			}
		}
	}
	l := make([]views.Target, 0, len(m))
	for _, v := range m {
		slices.Sort(v.Jobs)
		slices.Sort(v.Guarantees)
		l = append(l, *v)
	}
	slices.SortFunc(l, func(a, b views.Target) int { return strings.Compare(a.ID, b.ID) })
	return l
}

// nodeState returns the state of a target as shown in views. The caller holds Mu.
func (c *Cell) nodeState(x *gangs.Node) string {
	switch {
	case !x.Listed:
		return "Unlisted"
	case x.Host.Leaving:
		return "Leaving"
	case !x.Fenced || x.UnansweredCalls >= gangs.MaxUnansweredCalls || c.Now().Sub(x.LastRenewal) > c.Config.Bounds.Lease:
		return "Silent"
	case x.Health.Suspect:
		return "Suspect"
	}
	return "Open"
}

// Accounts returns what each account has in the cell, in the order of the manifest.
func (c *Cell) Accounts() []views.Account {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	r := c.Config.Revisions.Current()
	if r == nil {
		return nil
	}
	l := make([]views.Account, 0, len(r.Manifest.Accounts))
	at := map[string]*views.Account{}
	for _, a := range r.Manifest.Accounts {
		v := views.Account{Account: a.Name, Cell: c.Name, Unbacked: []string{}}
		for i, g := range a.Guarantees {
			if g.DataCentre != c.Name {
				continue
			}
			v.Guaranteed += g.Shape.Accelerators()
			if id := state.GuaranteeID(a.Name, i); c.unbacked[id] {
				v.Unbacked = append(v.Unbacked, id)
			}
		}
		l = append(l, v)
	}
	for i := range l {
		at[l[i].Account] = &l[i]
	}
	for _, j := range c.Jobs {
		if v := at[j.Key().Account]; v != nil {
			addToAccount(v, j)
		}
	}
	lent := state.Lent(c.decisionInput())
	for i := range l {
		l[i].Lent = lent[l[i].Account]
	}
	return l
}

// addToAccount adds a job to the view of its account.
func addToAccount(v *views.Account, j *active.Job) {
	n := j.Spec().Shape.Accelerators()
	switch {
	case len(j.Members) == 0:
		v.Waiting++
		return
	case j.Guarantee != "":
		v.Used += n
	default:
		v.Borrowed += n
	}
	v.Placed++
}
