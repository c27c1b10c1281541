package state

import (
	"cmp"
	"slices"

	"citronbridge/jobs"
)

// packing is one way to place a gang within a group of targets. Lower cost is better, then
// fewer accelerators left over.
type packing struct {
	cost     int
	leftover int
	targets  []string
}

// better reports whether f is preferred to o.
func (f packing) better(o packing) bool {
	return cmp.Or(cmp.Compare(f.cost, o.cost), cmp.Compare(f.leftover, o.leftover)) < 0
}

// Candidate is a target with the room that a gang may take there.
type Candidate struct {
	ID   string
	Rack string
	Room jobs.Room
	// Cost is the cost of each member that is placed there, such as for stopping borrowers.
	Cost int
	// Limit is the most members that may be placed there.
	Limit int
}

// Pack places the members of a shape, each of which needs the room each, on candidates within
// the shape's adjacency. It returns the target of each member, or nil if they don't fit. If
// first is set it takes the first group and targets that fit, otherwise the cheapest, and of
// these the ones that leave the fewest accelerators unused.
func Pack(s jobs.Shape, each jobs.Room, c []Candidate, first bool) []string {
	best, found := packing{}, false
	for _, g := range adjacencyGroups(s.Adjacency, c) {
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

// adjacencyGroups splits candidates, which are ordered by ID, into the groups within which the
// adjacency allows a gang.
func adjacencyGroups(a jobs.Adjacency, c []Candidate) [][]Candidate {
	switch a {
	case jobs.AdjacentHost:
		g := make([][]Candidate, len(c))
		for i := range c {
			g[i] = c[i : i+1]
		}
		return g
	case jobs.AdjacentRack:
		return byRack(c)
	}
	return [][]Candidate{c}
}

// byRack groups candidates by rack, in the order of the racks' names. It may sort c.
func byRack(c []Candidate) [][]Candidate {
	if !slices.IsSortedFunc(c, compareRack) {
		slices.SortStableFunc(c, compareRack)
	}
	var g [][]Candidate
	for from, i := 0, 1; i <= len(c); i++ {
		if i == len(c) || c[i].Rack != c[from].Rack {
			g = append(g, c[from:i])
			from = i
		}
	}
	return g
}

// compareRack orders candidates by rack.
func compareRack(a, b Candidate) int { return cmp.Compare(a.Rack, b.Rack) }

// fill places all members on the candidates of one group, and returns false if they don't fit.
func fill(s jobs.Shape, each jobs.Room, g []Candidate, first bool) (packing, bool) {
	holds := 0
	for i := range g {
		holds += memberCapacity(each, g[i])
	}
	if holds < s.Members {
		return packing{}, false
	}
	if !first {
		g = orderByFit(s.Adjacency, each, g)
	}
	f := packing{targets: make([]string, 0, s.Members)}
	for _, x := range g {
		n := min(memberCapacity(each, x), s.Members-len(f.targets))
		for range n {
			f.targets = append(f.targets, x.ID)
		}
		f.cost += n * x.Cost
		f.leftover += x.Room.Accelerators
		if n > 0 {
			f.leftover -= n * each.Accelerators
		}
	}
	return f, true
}

// orderByFit returns the candidates in the order in which fill takes them: by cost, and those
// with the least room first. If a gang may span racks, the racks that hold the most members go
// first.
func orderByFit(a jobs.Adjacency, each jobs.Room, g []Candidate) []Candidate {
	if a != jobs.AdjacentDataCentre {
		return sortByFit(g, nil)
	}
	racks := map[string]int{}
	for _, x := range g {
		racks[x.Rack] += memberCapacity(each, x)
	}
	return sortByFit(g, racks)
}

// sortByFit sorts a copy of g as orderByFit describes. racks holds how many members each rack
// can take, or is nil.
func sortByFit(g []Candidate, racks map[string]int) []Candidate {
	g = slices.Clone(g)
	slices.SortStableFunc(g, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Cost, b.Cost),
			cmp.Compare(racks[b.Rack], racks[a.Rack]),
			cmp.Compare(a.Rack, b.Rack),
			cmp.Compare(a.Room.Accelerators, b.Room.Accelerators),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return g
}

// memberCapacity returns how many members fit on a candidate.
func memberCapacity(each jobs.Room, c Candidate) int {
	n := c.Limit
	n = limitByDimension(n, c.Room.Accelerators, each.Accelerators)
	n = limitByDimension(n, c.Room.Processors, each.Processors)
	n = limitByDimension(n, c.Room.Slots, each.Slots)
	if each.Memory > 0 {
		n = min(n, int(c.Room.Memory/each.Memory))
	}
	return max(n, 0)
}

// limitByDimension returns n, limited to how often each fits into have.
func limitByDimension(n, have, each int) int {
	if each == 0 {
		return n
	}
	return min(n, have/each)
}

// FitsEmpty reports whether the targets could hold a job if nothing ran on them.
func FitsEmpty(t []Target, s *jobs.Spec) bool {
	c := make([]Candidate, 0, len(t))
	for _, x := range t {
		c = append(c, Candidate{ID: x.ID, Rack: x.Rack, Room: x.Room, Limit: s.Shape.Members})
	}
	return Pack(s.Shape, s.TaskRoom(), c, true) != nil
}
