package place

import (
	"cmp"
	"slices"

	"citronbridge/jobs"
)

// fit is how well a group of targets can take a gang: the lower the better.
type fit struct {
	cost     int
	leftover int
	targets  []string
}

func (f fit) better(o fit) bool {
	return cmp.Or(cmp.Compare(f.cost, o.cost), cmp.Compare(f.leftover, o.leftover)) < 0
}

// candidate is a target with the room that a gang may take there.
type candidate struct {
	id   string
	rack string
	room jobs.Room
	// cost is what a member costs there, such as a borrower to be stopped.
	cost int
	// limit bounds the members that may go there.
	limit int
}

// pack places members of the room each on candidates within the adjacency. It
// returns the target of each member, or nil. With first it takes the first
// group and targets that fit, else the ones that leave least unused.
func pack(s jobs.Shape, each jobs.Room, c []candidate, first bool) []string {
	best, found := fit{}, false
	for _, g := range groups(s.Adjacency, c) {
		f, ok := fill(s, each, g, first)
		if !ok {
			continue
		}
		if first {
			return f.targets
		}
		if !found || f.better(best) {
			best, found = f, true
		}
	}
	return best.targets
}

// groups splits candidates, which are in the order of their IDs, into the
// parts of the fleet that the adjacency allows a gang to span.
func groups(a jobs.Adjacency, c []candidate) [][]candidate {
	switch a {
	case jobs.AdjacentHost:
		g := make([][]candidate, len(c))
		for i := range c {
			g[i] = c[i : i+1]
		}
		return g
	case jobs.AdjacentRack:
		return byRack(c)
	}
	return [][]candidate{c}
}

// byRack groups candidates by rack, in the order of the racks' names.
func byRack(c []candidate) [][]candidate {
	if !slices.IsSortedFunc(c, compareRack) {
		slices.SortStableFunc(c, compareRack)
	}
	var g [][]candidate
	for from, i := 0, 1; i <= len(c); i++ {
		if i == len(c) || c[i].rack != c[from].rack {
			g = append(g, c[from:i])
			from = i
		}
	}
	return g
}

func compareRack(a, b candidate) int { return cmp.Compare(a.rack, b.rack) }

// fill puts members onto the candidates of one group.
func fill(s jobs.Shape, each jobs.Room, g []candidate, first bool) (fit, bool) {
	holds := 0
	for i := range g {
		holds += count(each, g[i])
	}
	if holds < s.Members {
		return fit{}, false
	}
	if !first {
		g = snuggest(s.Adjacency, each, g)
	}
	f := fit{targets: make([]string, 0, s.Members)}
	for _, x := range g {
		n := min(count(each, x), s.Members-len(f.targets))
		for range n {
			f.targets = append(f.targets, x.id)
		}
		f.cost += n * x.cost
		f.leftover += x.room.Accelerators
		if n > 0 {
			f.leftover -= n * each.Accelerators
		}
	}
	return f, true
}

// snuggest orders candidates by cost, whole racks together, then by how little
// they have left.
func snuggest(a jobs.Adjacency, each jobs.Room, g []candidate) []candidate {
	if a != jobs.AdjacentDataCentre {
		return snuggestOf(g, nil)
	}
	racks := map[string]int{}
	for _, x := range g {
		racks[x.rack] += count(each, x)
	}
	return snuggestOf(g, racks)
}

// snuggestOf is snuggest with the members that each rack could take.
func snuggestOf(g []candidate, racks map[string]int) []candidate {
	g = slices.Clone(g)
	slices.SortStableFunc(g, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(racks[b.rack], racks[a.rack]),
			cmp.Compare(a.rack, b.rack),
			cmp.Compare(a.room.Accelerators, b.room.Accelerators),
			cmp.Compare(a.id, b.id),
		)
	})
	return g
}

// count returns how many members fit on a candidate.
func count(each jobs.Room, c candidate) int {
	n := c.limit
	n = fits(n, c.room.Accelerators, each.Accelerators)
	n = fits(n, c.room.Processors, each.Processors)
	n = fits(n, c.room.Slots, each.Slots)
	if each.Memory > 0 {
		n = min(n, int(c.room.Memory/each.Memory))
	}
	return max(n, 0)
}

func fits(n, have, each int) int {
	if each == 0 {
		return n
	}
	return min(n, have/each)
}

// Holds reports whether targets could hold a job if they were empty.
func Holds(t []Target, s *jobs.Spec) bool {
	c := make([]candidate, 0, len(t))
	for _, x := range t {
		c = append(c, candidate{id: x.ID, rack: x.Rack, room: x.Room, limit: s.Shape.Members})
	}
	return pack(s.Shape, s.Task(), c, true) != nil
}
