package place

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"

	"citronbridge/jobs"
	"citronbridge/state"
)

// line is the requests of one caller for one kind, in the order of arrival.
type line struct {
	account, caller, kind string
	urgency               int
	queue                 []*state.Request
	// rank is that of the head, index the line's place on the agenda.
	rank  rank
	index int
}

// lines splits the requests.
func lines(in *state.Input) []*line {
	type id struct{ account, caller, kind string }
	m := map[id]*line{}
	var l []*line
	for i := range in.Waiting {
		r := &in.Waiting[i]
		k := id{r.Spec.Account, r.Spec.Caller, r.Spec.Kind}
		if in.Policy.Arrival {
			k = id{}
		}
		g := m[k]
		if g == nil {
			u := in.Rules.Urgency(r.Spec.Kind)
			if u < 0 {
				u = len(in.Rules.Kinds)
			}
			g = &line{account: k.account, caller: k.caller, kind: k.kind, urgency: u, index: len(l)}
			m[k] = g
			l = append(l, g)
		}
		g.queue = append(g.queue, r)
	}
	for _, g := range l {
		slices.SortFunc(g.queue, byArrival)
	}
	return l
}

func byArrival(a, b *state.Request) int {
	return cmp.Or(a.Arrived.Compare(b.Arrived), strings.Compare(a.Spec.Account, b.Spec.Account), strings.Compare(a.Spec.ID, b.Spec.ID))
}

// rank is the place of a line in the order: the lower goes first.
type rank struct {
	guaranteed bool
	floor      bool
	urgency    int
	share      float64
	caller     int
	casting    bool
}

// rank ranks the head of a line.
func (b *planner) rank(l *line) rank {
	if b.In.Policy.Arrival {
		return rank{}
	}
	s := l.queue[0].Spec
	return rank{
		guaranteed: b.guaranteed(s),
		floor:      b.belowFloor(l.kind),
		urgency:    l.urgency,
		share:      state.Share(b.Usage.Borrowed[l.account], b.Total),
		caller:     b.Usage.Callers[state.CallerKey{Account: l.account, Caller: l.caller}],
		casting:    l.account == b.In.Rules.CastingVote,
	}
}

// belowFloor reports whether a kind holds less than its floor.
func (b *planner) belowFloor(kind string) bool {
	if b.In.Policy.NoFloors {
		return false
	}
	u := b.In.Rules.Urgency(kind)
	if u < 0 {
		return false
	}
	return b.Usage.Kinds[kind]*100 < b.In.Rules.Kinds[u].FloorPercent*b.Total.Accelerators
}

func compare(a, b rank) int {
	return cmp.Or(
		first(a.guaranteed, b.guaranteed),
		first(a.floor, b.floor),
		cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(a.share, b.share),
		cmp.Compare(a.caller, b.caller),
		first(a.casting, b.casting),
	)
}

// first orders true before false.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// agenda is the lines by the ranks of their heads, the first on top. A rank is
// computed anew only when something that it depends on has changed.
type agenda struct {
	b    *planner
	heap []*line
	// low tells which kinds were below their floors.
	low map[string]bool
}

var _ heap.Interface = (*agenda)(nil)

// newAgenda returns the agenda of the lines.
func newAgenda(b *planner, l []*line) *agenda {
	a := &agenda{b: b, heap: l, low: map[string]bool{}}
	a.rankAll()
	return a
}

// rankAll ranks every line.
func (a *agenda) rankAll() {
	for _, k := range a.b.In.Rules.Kinds {
		a.low[k.Name] = a.b.belowFloor(k.Name)
	}
	for _, g := range a.heap {
		g.rank = a.b.rank(g)
	}
	heap.Init(a)
}

// pop takes the request off that goes first, or returns nil.
func (a *agenda) pop() *state.Request {
	if len(a.heap) == 0 {
		return nil
	}
	g := a.heap[0]
	r := g.queue[0]
	g.queue = g.queue[1:]
	if len(g.queue) == 0 {
		heap.Pop(a)
		return r
	}
	g.rank = a.b.rank(g)
	heap.Fix(a, 0)
	return r
}

// started ranks the lines anew that the start of a request of s has touched.
func (a *agenda) started(s *jobs.Spec) {
	if a.b.In.Policy.Arrival {
		return
	}
	for k, low := range a.low {
		if a.b.belowFloor(k) != low {
			a.rankAll()
			return
		}
	}
	for _, g := range a.b.lines[s.Account] {
		if len(g.queue) > 0 {
			g.rank = a.b.rank(g)
			heap.Fix(a, g.index)
		}
	}
}

// rest calls f for every request that is left, in no particular order.
func (a *agenda) rest(f func(*state.Request)) {
	for _, g := range a.heap {
		for _, r := range g.queue {
			f(r)
		}
	}
}

func (a *agenda) Len() int { return len(a.heap) }

func (a *agenda) Less(i, j int) bool {
	x, y := a.heap[i], a.heap[j]
	return cmp.Or(compare(x.rank, y.rank), byArrival(x.queue[0], y.queue[0])) < 0
}

func (a *agenda) Swap(i, j int) {
	a.heap[i], a.heap[j] = a.heap[j], a.heap[i]
	a.heap[i].index, a.heap[j].index = i, j
}

// Push implements heap.Interface. Lines are never added.
func (a *agenda) Push(any) {}

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	n := len(a.heap) - 1
	g := a.heap[n]
	a.heap = a.heap[:n]
	return g
}
