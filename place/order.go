package place

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"

	"citronbridge/jobs"
	"citronbridge/state"
)

// requestQueue is the requests of one caller for one kind, in the order of arrival.
type requestQueue struct {
	account, caller, kind string
	urgency               int
	requests              []*state.Request
	// headRank is that of the head, index the line's place on the agenda.
	headRank  rank
	heapIndex int
}

// splitQueues splits the requests.
func splitQueues(in *state.Input) []*requestQueue {
	type id struct{ account, caller, kind string }
	m := map[id]*requestQueue{}
	var l []*requestQueue
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
			g = &requestQueue{account: k.account, caller: k.caller, kind: k.kind, urgency: u, heapIndex: len(l)}
			m[k] = g
			l = append(l, g)
		}
		g.requests = append(g.requests, r)
	}
	for _, g := range l {
		slices.SortFunc(g.requests, compareArrival)
	}
	return l
}

func compareArrival(a, b *state.Request) int {
	return cmp.Or(a.Arrived.Compare(b.Arrived), strings.Compare(a.Spec.Account, b.Spec.Account), strings.Compare(a.Spec.ID, b.Spec.ID))
}

// rank is the place of a line in the order: the lower goes first.
type rank struct {
	guaranteed    bool
	belowFloor    bool
	urgency       int
	borrowedShare float64
	callerUsage   int
	castingVote   bool
}

// rankHead ranks the head of a line.
func (b *planner) rankHead(l *requestQueue) rank {
	if b.In.Policy.Arrival {
		return rank{}
	}
	s := l.requests[0].Spec
	return rank{
		guaranteed:    b.fitsGuarantee(s),
		belowFloor:    b.belowFloor(l.kind),
		urgency:       l.urgency,
		borrowedShare: state.DominantShare(b.Usage.Borrowed[l.account], b.Total),
		callerUsage:   b.Usage.Callers[state.CallerKey{Account: l.account, Caller: l.caller}],
		castingVote:   l.account == b.In.Rules.CastingVote,
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

func compareRanks(a, b rank) int {
	return cmp.Or(
		trueFirst(a.guaranteed, b.guaranteed),
		trueFirst(a.belowFloor, b.belowFloor),
		cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(a.borrowedShare, b.borrowedShare),
		cmp.Compare(a.callerUsage, b.callerUsage),
		trueFirst(a.castingVote, b.castingVote),
	)
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// queueHeap is the lines by the ranks of their heads, the first on top. A rank is
// computed anew only when something that it depends on has changed.
type queueHeap struct {
	planner *planner
	queues  []*requestQueue
	// belowFloor tells which kinds were below their floors.
	belowFloor map[string]bool
}

var _ heap.Interface = (*queueHeap)(nil)

// newQueueHeap returns the agenda of the lines.
func newQueueHeap(b *planner, l []*requestQueue) *queueHeap {
	a := &queueHeap{planner: b, queues: l, belowFloor: map[string]bool{}}
	a.rerankAll()
	return a
}

// rerankAll ranks every line.
func (a *queueHeap) rerankAll() {
	for _, k := range a.planner.In.Rules.Kinds {
		a.belowFloor[k.Name] = a.planner.belowFloor(k.Name)
	}
	for _, g := range a.queues {
		g.headRank = a.planner.rankHead(g)
	}
	heap.Init(a)
}

// popRequest takes the request off that goes first, or returns nil.
func (a *queueHeap) popRequest() *state.Request {
	if len(a.queues) == 0 {
		return nil
	}
	g := a.queues[0]
	r := g.requests[0]
	g.requests = g.requests[1:]
	if len(g.requests) == 0 {
		heap.Pop(a)
		return r
	}
	g.headRank = a.planner.rankHead(g)
	heap.Fix(a, 0)
	return r
}

// rerankAfterStart ranks the lines anew that the start of a request of s has touched.
func (a *queueHeap) rerankAfterStart(s *jobs.Spec) {
	if a.planner.In.Policy.Arrival {
		return
	}
	for k, low := range a.belowFloor {
		if a.planner.belowFloor(k) != low {
			a.rerankAll()
			return
		}
	}
	for _, g := range a.planner.queuesByAccount[s.Account] {
		if len(g.requests) > 0 {
			g.headRank = a.planner.rankHead(g)
			heap.Fix(a, g.heapIndex)
		}
	}
}

// eachRemaining calls f for every request that is left, in no particular order.
func (a *queueHeap) eachRemaining(f func(*state.Request)) {
	for _, g := range a.queues {
		for _, r := range g.requests {
			f(r)
		}
	}
}

func (a *queueHeap) Len() int { return len(a.queues) }

func (a *queueHeap) Less(i, j int) bool {
	x, y := a.queues[i], a.queues[j]
	return cmp.Or(compareRanks(x.headRank, y.headRank), compareArrival(x.requests[0], y.requests[0])) < 0
}

func (a *queueHeap) Swap(i, j int) {
	a.queues[i], a.queues[j] = a.queues[j], a.queues[i]
	a.queues[i].heapIndex, a.queues[j].heapIndex = i, j
}

// Push implements heap.Interface. Lines are never added.
func (a *queueHeap) Push(any) {}

// Pop implements heap.Interface.
func (a *queueHeap) Pop() any {
	n := len(a.queues) - 1
	g := a.queues[n]
	a.queues = a.queues[:n]
	return g
}
