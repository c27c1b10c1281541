package cells

import (
	"slices"
	"strings"

	"citronbridge/board"
	"citronbridge/jobs"
	"citronbridge/views"
)

// Explain explains a job that the cell has.
func (c *Cell) Explain(k jobs.Key) (views.Explanation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[k]
	if j == nil {
		return views.Explanation{}, false
	}
	e := views.Of(j.Record)
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
func (c *Cell) explainWait(j *job, e *views.Explanation) {
	for _, o := range c.jobs {
		if o.Record.State == jobs.Waiting && o.Record.Accepted.Before(j.Record.Accepted) {
			e.Ahead++
		}
	}
	w, ok := c.waits[j.key()]
	switch {
	case ok:
		e.Reason, e.Hint = string(w.Reason)+": "+w.Detail, views.Hints[w.Reason]
	case !c.c.Book.Fresh(c.now(), c.c.Bounds.Confirm):
		e.Reason, e.Hint = "RulesUnconfirmed: nothing starts until the manifest is confirmed", "bring back the table service, or the connection to another data centre"
	default:
		e.Reason = "Pending: not decided yet"
	}
}

// Targets describes the cell's targets in the order of their IDs.
func (c *Cell) Targets() []views.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := map[string]*views.Target{}
	for id, x := range c.nodes {
		m[id] = &views.Target{ID: id, Cell: c.Name, Rack: x.host.Rack, Room: x.host.Room, Free: x.room(), State: c.nodeState(x), Jobs: []string{}, Failed: len(x.health.Failed), Guarantees: []string{}}
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
	l := make([]views.Target, 0, len(m))
	for _, v := range m {
		slices.Sort(v.Jobs)
		slices.Sort(v.Guarantees)
		l = append(l, *v)
	}
	slices.SortFunc(l, func(a, b views.Target) int { return strings.Compare(a.ID, b.ID) })
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
	case x.health.Suspect:
		return "Suspect"
	}
	return "Open"
}

// Accounts describes the accounts in the order of the manifest.
func (c *Cell) Accounts() []views.Account {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.c.Book.Current()
	if r == nil {
		return nil
	}
	l := make([]views.Account, 0, len(r.Manifest.Accounts))
	at := map[string]*views.Account{}
	for _, a := range r.Manifest.Accounts {
		v := views.Account{Account: a.Name, Cell: c.Name, Unseated: []string{}}
		for i, g := range a.Guarantees {
			if g.DataCentre != c.Name {
				continue
			}
			v.Guaranteed += g.Shape.Accelerators()
			if id := board.GuaranteeID(a.Name, i); c.unseated[id] {
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
	lent := board.Lent(c.input())
	for i := range l {
		l[i].Lent = lent[l[i].Account]
	}
	return l
}

// count adds a job to its account's view.
func count(v *views.Account, j *job) {
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
