package place

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"citronbridge/jobs"
	"citronbridge/rules"
)

// GuaranteeID names the guarantee of that number of an account.
func GuaranteeID(account string, i int) string { return fmt.Sprintf("%s/%d", account, i) }

// guarantee is a guarantee of the cell.
type guarantee struct {
	id      string
	account string
	shape   jobs.Shape
	// used tells that jobs of the account run on it, wanted that others wait.
	used, wanted bool
	// spots are the targets that it stands on, in the order of their IDs.
	spots []*spot
}

// each returns the room of a member, its slot included.
func (g *guarantee) each() jobs.Room {
	r := g.shape.Each
	r.Slots = max(1, r.Accelerators)
	return r
}

// guarantees lists those of a cell: the ones in use first, since they must
// stay, then those whose account waits, since they are seated where the
// borrowers to be stopped lose least, then the holder of the casting vote, then
// the order of the manifest.
func guarantees(in *Input) []guarantee {
	m, cell := in.Rules, in.Cell
	used, wanted := map[string]bool{}, map[string]bool{}
	for i := range in.Running {
		used[in.Running[i].Guarantee] = true
	}
	for i := range in.Waiting {
		wanted[in.Waiting[i].Spec.Account] = true
	}
	var l []guarantee
	for _, a := range m.Accounts {
		for i, g := range a.Guarantees {
			if g.DataCentre == cell {
				id := GuaranteeID(a.Name, i)
				l = append(l, guarantee{id: id, account: a.Name, shape: g.Shape, used: used[id], wanted: wanted[a.Name]})
			}
		}
	}
	rank := func(g guarantee) int {
		switch {
		case g.used:
			return 0
		case g.wanted && g.account == m.CastingVote:
			return 1
		case g.wanted:
			return 2
		case g.account == m.CastingVote:
			return 3
		}
		return 4
	}
	slices.SortStableFunc(l, func(a, b guarantee) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.shape.Accelerators(), a.shape.Accelerators()))
	})
	return l
}

// seat finds targets for every guarantee. Guarantees in use keep theirs, as do
// those that nobody calls for. The others go where least would have to stop.
func (b *board) seat() {
	b.seats = Seats{}
	for i := range b.guarantees {
		g := &b.guarantees[i]
		t := b.in.Seats[g.id]
		if !b.keeps(g, t) || g.wanted && !g.used && !b.vacant(g, t) {
			t = b.findSeat(g, t)
		}
		if t == nil {
			b.unseated = append(b.unseated, g.id)
			continue
		}
		b.seats[g.id] = t
		for _, id := range t {
			p := b.at[id]
			p.claimed = p.claimed.Plus(g.each())
			if _, ok := p.seats[g.id]; !ok {
				g.spots = append(g.spots, p)
			}
			p.seats[g.id] = p.seats[g.id].Plus(g.each())
		}
		for _, p := range g.spots {
			p.leave()
		}
		slices.SortFunc(g.spots, func(x, y *spot) int { return strings.Compare(x.ID, y.ID) })
	}
}

// vacant reports whether the targets t have a guarantee's room free already.
func (b *board) vacant(g *guarantee, t []string) bool {
	need := map[string]jobs.Room{}
	for _, id := range t {
		need[id] = need[id].Plus(g.each())
	}
	for id, r := range need {
		p := b.at[id]
		if !r.Fits(p.free.Plus(p.ending).Minus(p.claimed)) {
			return false
		}
	}
	return true
}

// keeps reports whether a guarantee can keep the targets t.
func (b *board) keeps(g *guarantee, t []string) bool {
	if len(t) != g.shape.Members {
		return false
	}
	need := map[string]jobs.Room{}
	for _, id := range t {
		need[id] = need[id].Plus(g.each())
	}
	for id, r := range need {
		p := b.at[id]
		if p == nil || !p.Open || !r.Fits(b.seatable(p, g.id)) {
			return false
		}
	}
	return true
}

// findSeat packs a guarantee onto room that nothing protected holds.
func (b *board) findSeat(g *guarantee, old []string) []string {
	c := make([]candidate, 0, len(b.places))
	for _, p := range b.places {
		if !p.Open {
			continue
		}
		x := candidate{id: p.ID, rack: p.Rack, room: b.seatable(p, g.id), limit: g.shape.Members}
		if !g.each().Fits(p.free.Plus(p.ending).Minus(p.claimed)) {
			x.cost += borrowedCost + p.loss
		}
		if !slices.Contains(old, p.ID) {
			x.cost++
		}
		if p.charged[g.id].Accelerators > 0 {
			x.cost -= 10 * borrowedCost
		}
		c = append(c, x)
	}
	return pack(g.shape, g.each(), c, false)
}

// borrowedCost weighs a member that displaces others against one that moves.
const borrowedCost = 1000

// seatable returns the room at p that a guarantee may claim: all but what
// other guarantees claim and what can't be stopped.
func (b *board) seatable(p *spot, id string) jobs.Room {
	return p.Room.Minus(p.claimed).Minus(p.fixedBeyond(id))
}

// Feasible reports which guarantees of the manifest the targets of their
// cells can't hold, all at once and empty.
func Feasible(m *rules.Manifest, cells map[string][]Target) []string {
	var bad []string
	for _, a := range m.Accounts {
		for i, g := range a.Guarantees {
			if _, ok := cells[g.DataCentre]; !ok {
				bad = append(bad, GuaranteeID(a.Name, i))
			}
		}
	}
	for cell, t := range cells {
		b := newBoard(&Input{Cell: cell, Rules: m, Targets: t})
		b.seat()
		bad = append(bad, b.unseated...)
	}
	slices.Sort(bad)
	return bad
}

// Lent returns the accelerators that others hold of what each account is
// guaranteed.
func Lent(in *Input) map[string]int {
	b := newBoard(in)
	b.seat()
	m := map[string]int{}
	for i := range b.guarantees {
		g := &b.guarantees[i]
		for _, id := range distinct(b.seats[g.id]) {
			p := b.at[id]
			own := p.seats[g.id].Accelerators - p.charged[g.id].Accelerators
			m[g.account] += max(0, own-max(0, p.free.Accelerators))
		}
	}
	return m
}
