package state

import (
	"cmp"
	"slices"

	"citronbridge/jobs"
)

// packing is how well a group of targets can take a gang: the lower the better.
type packing struct {
	cost     int
	leftover int
	targets  []string
}

func (f packing) better(o packing) bool {
	return cmp.Or(cmp.Compare(f.cost, o.cost), cmp.Compare(f.leftover, o.leftover)) < 0
}

// Candidate is a target with the room that a gang may take there.
type Candidate struct {
	ID   string
	Rack string
	Room jobs.Room
	// Cost is what a member costs there, such as a borrower to be stopped.
	Cost int
	// Limit bounds the members that may go there.
	Limit int
}

// Pack places members of the room each on candidates within the adjacency. It
// returns the target of each member, or nil. With first it takes the first
// group and targets that fit, else the ones that leave least unused.
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

// adjacencyGroups splits candidates, which are in the order of their IDs, into the
// parts of the fleet that the adjacency allows a gang to span.
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

// byRack groups candidates by rack, in the order of the racks' names.
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

func compareRack(a, b Candidate) int { return cmp.Compare(a.Rack, b.Rack) }

// fill puts members onto the candidates of one group.
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

// orderByFit orders candidates by cost, whole racks together, then by how little
// they have left.
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

// sortByFit is snuggest with the members that each rack could take.
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

func limitByDimension(n, have, each int) int {
	if each == 0 {
		return n
	}
	return min(n, have/each)
}

// FitsEmpty reports whether targets could hold a job if they were empty.
func FitsEmpty(t []Target, s *jobs.Spec) bool {
	c := make([]Candidate, 0, len(t))
	for _, x := range t {
		c = append(c, Candidate{ID: x.ID, Rack: x.Rack, Room: x.Room, Limit: s.Shape.Members})
	}
	return Pack(s.Shape, s.TaskRoom(), c, true) != nil
}
