package state

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"citronbridge/jobs"
	"citronbridge/rules"
)

// GuaranteeID returns the ID of the guarantee with index i of an account, such as account/0.
func GuaranteeID(account string, i int) string { return fmt.Sprintf("%s/%d", account, i) }

// Guarantee is a guarantee of the manifest for this cell.
type Guarantee struct {
	ID      string
	Account string
	Shape   jobs.Shape
	// Used says that jobs of the account run on the guarantee, Wanted that requests of the
	// account wait.
	Used, Wanted bool
	// Targets are the targets that back the guarantee, in the order of their IDs.
	Targets []*TargetState
}

// MemberRoom returns the room of one member. Its slots are as many as its accelerators, at
// least one.
func (g *Guarantee) MemberRoom() jobs.Room {
	r := g.Shape.Each
	r.Slots = max(1, r.Accelerators)
	return r
}

// guarantees returns the guarantees of a cell in the order in which they get targets. Those in
// use go first, as they can't move, then those whose account has waiting requests, as they go
// where stopping borrowers loses least, then the rest. Within the latter two groups the holder
// of the casting vote goes first. Otherwise larger shapes go first, then the order of the
// manifest decides.
func guarantees(in *Input) []Guarantee {
	m, cell := in.Manifest, in.Cell
	used, wanted := map[string]bool{}, map[string]bool{}
	for i := range in.Running {
		used[in.Running[i].Guarantee] = true
	}
	for i := range in.Waiting {
		wanted[in.Waiting[i].Spec.Account] = true
	}
	var l []Guarantee
	for _, a := range m.Accounts {
		for i, g := range a.Guarantees {
			if g.DataCentre == cell {
				id := GuaranteeID(a.Name, i)
				l = append(l, Guarantee{ID: id, Account: a.Name, Shape: g.Shape, Used: used[id], Wanted: wanted[a.Name]})
			}
		}
	}
	rank := func(g Guarantee) int {
		switch {
		case g.Used:
			return 0
		case g.Wanted && g.Account == m.CastingVote:
			return 1
		case g.Wanted:
			return 2
		case g.Account == m.CastingVote:
			return 3
		}
		return 4
	}
	slices.SortStableFunc(l, func(a, b Guarantee) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.Shape.Accelerators(), a.Shape.Accelerators()))
	})
	return l
}

// FindBacking assigns targets to every guarantee. A guarantee keeps its targets if it can,
// unless it is wanted, not in use, and its targets aren't free; it then moves to where
// stopping borrowers loses least.
func (c *Cell) FindBacking() {
	c.Backing = Backing{}
	for i := range c.Guarantees {
		g := &c.Guarantees[i]
		t := c.Input.Backing[g.ID]
		if !c.CanKeepBacking(g, t) || g.Wanted && !g.Used && !c.HasRoomFree(g, t) {
			t = c.packGuarantee(g, t)
		}
		if t == nil {
			c.Unbacked = append(c.Unbacked, g.ID)
			continue
		}
		c.Backing[g.ID] = t
		for _, id := range t {
			p := c.TargetByID[id]
			p.Claimed = p.Claimed.Plus(g.MemberRoom())
			if _, ok := p.Backing[g.ID]; !ok {
				g.Targets = append(g.Targets, p)
			}
			p.Backing[g.ID] = p.Backing[g.ID].Plus(g.MemberRoom())
		}
		for _, p := range g.Targets {
			p.UpdateUnusedBacking()
		}
		slices.SortFunc(g.Targets, func(x, y *TargetState) int { return strings.Compare(x.ID, y.ID) })
	}
}

// HasRoomFree reports whether the room of a guarantee is free on the targets t, or will be
// once the stopping jobs have ended.
func (c *Cell) HasRoomFree(g *Guarantee, t []string) bool {
	need := map[string]jobs.Room{}
	for _, id := range t {
		need[id] = need[id].Plus(g.MemberRoom())
	}
	for id, r := range need {
		p := c.TargetByID[id]
		if !r.Fits(p.Free.Plus(p.Ending).Minus(p.Claimed)) {
			return false
		}
	}
	return true
}

// CanKeepBacking reports whether the targets t can still back a guarantee.
func (c *Cell) CanKeepBacking(g *Guarantee, t []string) bool {
	if len(t) != g.Shape.Members {
		return false
	}
	need := map[string]jobs.Room{}
	for _, id := range t {
		need[id] = need[id].Plus(g.MemberRoom())
	}
	for id, r := range need {
		p := c.TargetByID[id]
		if p == nil || !p.Open || !r.Fits(c.AvailableForBacking(p, g.ID)) {
			return false
		}
	}
	return true
}

// packGuarantee returns a target for each member of a guarantee in room that neither other
// guarantees nor jobs that can't be preempted hold, or nil. It prefers targets where jobs are
// charged to the guarantee, then free room, then the old targets.
func (c *Cell) packGuarantee(g *Guarantee, old []string) []string {
	l := make([]Candidate, 0, len(c.Targets))
	for _, p := range c.Targets {
		if !p.Open {
			continue
		}
		x := Candidate{ID: p.ID, Rack: p.Rack, Room: c.AvailableForBacking(p, g.ID), Limit: g.Shape.Members}
		if !g.MemberRoom().Fits(p.Free.Plus(p.Ending).Minus(p.Claimed)) {
			x.Cost += displacementCost + p.BorrowerLoss
		}
		if !slices.Contains(old, p.ID) {
			x.Cost++
		}
		if p.Charged[g.ID].Accelerators > 0 {
			x.Cost -= 10 * displacementCost
		}
		l = append(l, x)
	}
	return Pack(g.Shape, g.MemberRoom(), l, false)
}

// displacementCost is the cost of a member that displaces borrowers, relative to that of one
// that moves to another target, which is 1.
const displacementCost = 1000

// AvailableForBacking returns the room at p that the guarantee with the given ID may claim:
// all but what other guarantees claim and what jobs hold that can't be preempted.
func (c *Cell) AvailableForBacking(p *TargetState, id string) jobs.Room {
	return p.Room.Minus(p.Claimed).Minus(p.NonPreemptibleExcept(id))
}

// Infeasible returns the IDs of the guarantees of a manifest that the targets of their cells,
// if they were empty, couldn't back together with the others.
func Infeasible(m *rules.Manifest, cells map[string][]Target) []string {
	var infeasible []string
	for _, a := range m.Accounts {
		for i, g := range a.Guarantees {
			if _, ok := cells[g.DataCentre]; !ok {
				infeasible = append(infeasible, GuaranteeID(a.Name, i))
			}
		}
	}
	for cell, t := range cells {
		c := New(&Input{Cell: cell, Manifest: m, Targets: t})
		c.FindBacking()
		infeasible = append(infeasible, c.Unbacked...)
	}
	slices.Sort(infeasible)
	return infeasible
}

// Lent returns, for each account, how many accelerators of its guarantees are held by others.
func Lent(in *Input) map[string]int {
	c := New(in)
	c.FindBacking()
	m := map[string]int{}
	for i := range c.Guarantees {
		g := &c.Guarantees[i]
		for _, id := range Distinct(c.Backing[g.ID]) {
			p := c.TargetByID[id]
			idle := p.Backing[g.ID].Accelerators - p.Charged[g.ID].Accelerators
			m[g.Account] += max(0, idle-max(0, p.Free.Accelerators))
		}
	}
	return m
}

// Distinct returns the elements of t sorted and without duplicates.
func Distinct(t []string) []string {
	t = slices.Clone(t)
	slices.Sort(t)
	return slices.Compact(t)
}
