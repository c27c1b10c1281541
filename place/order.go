package place

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"

	"citronbridge/jobs"
	"citronbridge/state"
)

// requestQueue holds the waiting requests of one caller for one kind in the order of arrival.
// If Policy.Arrival is set, one queue holds all requests.
type requestQueue struct {
	account, caller, kind string
	urgency               int
	requests              []*state.Request
	// headRank is the rank of the first request; heapIndex is the position of the queue in the
	// queueHeap.
	headRank  rank
	heapIndex int
}

// splitQueues groups the waiting requests by account, caller and kind. A kind that the
// manifest doesn't list ranks behind all others.
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
			u := in.Manifest.Urgency(r.Spec.Kind)
			if u < 0 {
				u = len(in.Manifest.Kinds)
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

// compareArrival orders requests by arrival, then by account and ID, so that the order is
// total.
func compareArrival(a, b *state.Request) int {
	return cmp.Or(a.Arrived.Compare(b.Arrived), strings.Compare(a.Spec.Account, b.Spec.Account), strings.Compare(a.Spec.ID, b.Spec.ID))
}

// rank is the priority of the first request of a queue. Ranks are compared field by field, and
// the lower one goes first.
type rank struct {
	// guaranteed says that the request fits into the unused part of one of its account's
	// guarantees.
	guaranteed bool
	// belowFloor says that the kind holds less than its floor.
	belowFloor bool
	// urgency is the index of the kind in the manifest, 0 being the most urgent.
	urgency int
	// borrowedShare is the account's dominant share of the cell, counting only what it holds
	// without a guarantee.
	borrowedShare float64
	// callerUsage counts the slots and accelerators that the caller holds.
	callerUsage int
	// castingVote says that the account wins ties between accounts.
	castingVote bool
}

// rankHead returns the rank of the first request of a queue.
func (b *planner) rankHead(l *requestQueue) rank {
	if b.Input.Policy.Arrival {
		return rank{}
	}
	s := l.requests[0].Spec
	return rank{
		guaranteed:    b.fitsGuarantee(s),
		belowFloor:    b.belowFloor(l.kind),
		urgency:       l.urgency,
		borrowedShare: state.DominantShare(b.Usage.Borrowed[l.account], b.Total),
		callerUsage:   b.Usage.Callers[state.CallerKey{Account: l.account, Caller: l.caller}],
		castingVote:   l.account == b.Input.Manifest.CastingVote,
	}
}

// belowFloor reports whether a kind holds less than its floor, a percentage of the
// accelerators of the cell.
func (b *planner) belowFloor(kind string) bool {
	if b.Input.Policy.NoFloors {
		return false
	}
	u := b.Input.Manifest.Urgency(kind)
	if u < 0 {
		return false
	}
	return b.Usage.Kinds[kind]*100 < b.Input.Manifest.Kinds[u].FloorPercent*b.Total.Accelerators
}

// compareRanks returns a negative number if a goes before b.
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

// queueHeap is a heap of the queues by the rank of their first requests, then by arrival. A
// rank is computed again only when something that it depends on has changed.
type queueHeap struct {
	planner *planner
	queues  []*requestQueue
	// belowFloor holds for each kind whether it was below its floor when the queues were last
	// ranked.
	belowFloor map[string]bool
}

var _ heap.Interface = (*queueHeap)(nil)

// newQueueHeap returns a heap of the queues l, ranked.
func newQueueHeap(b *planner, l []*requestQueue) *queueHeap {
	a := &queueHeap{planner: b, queues: l, belowFloor: map[string]bool{}}
	a.rerankAll()
	return a
}

// rerankAll computes the rank of every queue and restores the heap.
func (a *queueHeap) rerankAll() {
	for _, k := range a.planner.Input.Manifest.Kinds {
		a.belowFloor[k.Name] = a.planner.belowFloor(k.Name)
	}
	for _, g := range a.queues {
		g.headRank = a.planner.rankHead(g)
	}
	heap.Init(a)
}

// popRequest removes and returns the request that goes first, or returns nil if none is left.
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

// rerankAfterStart updates the ranks that the start of a request of s affects: all of them if
// a kind has crossed its floor, otherwise those of the account's queues.
func (a *queueHeap) rerankAfterStart(s *jobs.Spec) {
	if a.planner.Input.Policy.Arrival {
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

// eachRemaining calls f for every request that is still queued, in no particular order.
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

// Push implements heap.Interface. It does nothing, as no queue is added after newQueueHeap.
func (a *queueHeap) Push(any) {}

// Pop implements heap.Interface.
func (a *queueHeap) Pop() any {
	n := len(a.queues) - 1
	g := a.queues[n]
	a.queues = a.queues[:n]
	return g
}
