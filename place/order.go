package place

import (
	"cmp"
	"slices"
	"strings"

	"citronbridge/jobs"
)

// usage is what accounts, callers and kinds hold.
type usage struct {
	borrowed map[string]jobs.Room
	callers  map[callerKey]int
	kinds    map[string]int
}

type callerKey struct{ account, caller string }

func newUsage() usage {
	return usage{map[string]jobs.Room{}, map[callerKey]int{}, map[string]int{}}
}

func (u *usage) add(s *jobs.Spec, guarantee string) {
	r := s.Task().Times(s.Shape.Members)
	if guarantee == "" {
		u.borrowed[s.Account] = u.borrowed[s.Account].Plus(r)
	}
	u.callers[callerKey{s.Account, s.Caller}] += r.Slots + r.Accelerators
	u.kinds[s.Kind] += r.Accelerators
}

// share returns the dominant share of the total that r is.
func share(r, total jobs.Room) float64 {
	f := func(a, b int64) float64 {
		if b == 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	return max(
		f(int64(r.Accelerators), int64(total.Accelerators)),
		f(int64(r.Processors), int64(total.Processors)),
		f(int64(r.Memory), int64(total.Memory)),
	)
}

// line is the requests of one caller for one kind, in the order of arrival.
type line struct {
	account, caller, kind string
	urgency               int
	queue                 []*Request
}

// lines splits the requests.
func lines(in *Input) []*line {
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
			g = &line{account: k.account, caller: k.caller, kind: k.kind, urgency: u}
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

func byArrival(a, b *Request) int {
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
func (b *board) rank(l *line) rank {
	if b.in.Policy.Arrival {
		return rank{}
	}
	s := l.queue[0].Spec
	return rank{
		guaranteed: b.guaranteed(s),
		floor:      b.belowFloor(l.kind),
		urgency:    l.urgency,
		share:      share(b.usage.borrowed[l.account], b.total),
		caller:     b.usage.callers[callerKey{l.account, l.caller}],
		casting:    l.account == b.in.Rules.CastingVote,
	}
}

// belowFloor reports whether a kind holds less than its floor.
func (b *board) belowFloor(kind string) bool {
	if b.in.Policy.NoFloors {
		return false
	}
	u := b.in.Rules.Urgency(kind)
	if u < 0 {
		return false
	}
	return b.usage.kinds[kind]*100 < b.in.Rules.Kinds[u].FloorPercent*b.total.Accelerators
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

// next returns the line whose head goes first, or nil.
func (b *board) next(l []*line) *line {
	var best *line
	var top rank
	for _, g := range l {
		if len(g.queue) == 0 {
			continue
		}
		r := b.rank(g)
		if best == nil || cmp.Or(compare(r, top), byArrival(g.queue[0], best.queue[0])) < 0 {
			best, top = g, r
		}
	}
	return best
}
