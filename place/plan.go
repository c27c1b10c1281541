package place

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"citronbridge/jobs"
	"citronbridge/state"
)

// maxBlocked limits the failed searches for room in one decision. The requests behind them wait
// without a search.
const maxBlocked = 64

// planner holds the state of one decision while it is made.
type planner struct {
	*state.Cell
	reservation *reservation
	// fitCache holds which shapes fit into the unused part of an account's guarantees.
	fitCache map[fitKey]bool
	// queuesByAccount holds the queues of waiting requests of each account.
	queuesByAccount map[string][]*requestQueue
	// candidates is a buffer that all packings but packFutureRoom reuse.
	candidates []state.Candidate
}

func newPlanner(in *state.Input) *planner {
	return &planner{Cell: state.New(in), fitCache: map[fitKey]bool{}, queuesByAccount: map[string][]*requestQueue{}}
}

// placeRequest counts a request as running, and drops the cached fits of its account if it is
// charged to a guarantee.
func (b *planner) placeRequest(s *jobs.Spec, targets []string, guarantee string) {
	b.RecordStart(s, targets, guarantee)
	if guarantee == "" {
		return
	}
	for k := range b.fitCache {
		if k.account == s.Account {
			delete(b.fitCache, k)
		}
	}
}

// Decide returns the plan for the input: what starts, what is stopped for it, and why each
// other request waits.
func Decide(in *state.Input) Plan {
	b := newPlanner(in)
	b.FindBacking()
	p := Plan{Backing: b.Backing, Unbacked: b.Unbacked}
	l := splitQueues(in)
	for _, g := range l {
		b.queuesByAccount[g.account] = append(b.queuesByAccount[g.account], g)
	}
	a := newQueueHeap(b, l)
	unplaceable := map[requirement]Wait{}
	for blocked := 0; blocked < maxBlocked && (blocked == 0 || !in.Policy.NoBackfill); {
		r := a.popRequest()
		if r == nil {
			return p
		}
		k, cacheable := requirementOf(r), len(r.Avoid) == 0 && !r.BackingOff
		if w, ok := unplaceable[k]; ok && cacheable && !b.fitsGuarantee(r.Spec) {
			w.Key = r.Spec.Key()
			p.Waits = append(p.Waits, w)
			continue
		}
		if b.tryPlace(r, &p) {
			a.rerankAfterStart(r.Spec)
			continue
		}
		blocked++
		w := b.explainBlocked(r)
		p.Waits = append(p.Waits, w)
		if cacheable {
			unplaceable[k] = w
		}
	}
	a.eachRemaining(func(r *state.Request) {
		p.Waits = append(p.Waits, Wait{r.Spec.Key(), BehindReservation, "behind requests that are blocked"})
	})
	slices.SortFunc(p.Waits, func(x, y Wait) int {
		return cmp.Or(strings.Compare(x.Key.Account, y.Key.Account), strings.Compare(x.Key.ID, y.Key.ID))
	})
	return p
}

// requirement is what decides whether a request finds free room. Once one request was blocked,
// all with an equal requirement are, unless they fit a guarantee.
type requirement struct {
	shape          jobs.Shape
	nonPreemptible bool
	// runTimeMagnitude is the binary order of magnitude of the expected run time in seconds.
	runTimeMagnitude int
}

func requirementOf(r *state.Request) requirement {
	n := 0
	for d := r.Expected; d > time.Second; d /= 2 {
		n++
	}
	return requirement{r.Spec.Shape, state.NonPreemptible(r.Spec), n}
}

// tryPlace starts a request, begins to reclaim room for it, or lets it wait for the end of its
// backoff. It returns false if there is no room for the request.
func (b *planner) tryPlace(r *state.Request, p *Plan) bool {
	for _, g := range b.GuaranteesByAccount[r.Spec.Account] {
		if t := b.packBacking(g, r.Spec); t != nil && b.placeOnGuarantee(g, r, t, p) {
			return true
		}
	}
	if r.BackingOff {
		p.Waits = append(p.Waits, Wait{r.Spec.Key(), Backoff, "waits for its next attempt"})
		return true
	}
	t := b.packFree(r)
	if t == nil {
		return false
	}
	b.placeRequest(r.Spec, t, "")
	p.Starts = append(p.Starts, Start{Key: r.Spec.Key(), Targets: t})
	return true
}

// fitsGuarantee reports whether a request fits into the unused part of one of its account's
// guarantees.
func (b *planner) fitsGuarantee(s *jobs.Spec) bool {
	own := b.GuaranteesByAccount[s.Account]
	if len(own) == 0 {
		return false
	}
	k := fitKey{s.Account, s.Shape}
	if v, ok := b.fitCache[k]; ok {
		return v
	}
	v := slices.ContainsFunc(own, func(g *state.Guarantee) bool {
		return s.Shape.Accelerators() <= g.Shape.Accelerators() && b.packBacking(g, s) != nil
	})
	b.fitCache[k] = v
	return v
}

// fitKey identifies an entry of fitCache. The entry is valid until another request of the
// account starts on a guarantee.
type fitKey struct {
	account string
	shape   jobs.Shape
}

// packBacking returns a target for each member of a request within the unused part of a
// guarantee's backing, or nil.
func (b *planner) packBacking(g *state.Guarantee, s *jobs.Spec) []string {
	if s.Shape.Each.Accelerators == 0 {
		return nil
	}
	c := b.candidates[:0]
	for _, p := range g.Targets {
		room := p.Backing[g.ID].Minus(p.Charged[g.ID])
		c = append(c, state.Candidate{ID: p.ID, Rack: p.Rack, Room: room, Limit: s.Shape.Members, Cost: b.shortageCost(p, s)})
	}
	b.candidates = c
	return state.Pack(s.Shape, s.TaskRoom(), c, b.Input.Policy.FirstFit)
}

// shortageCost returns 1 if a member doesn't fit into the free room at p, otherwise 0.
func (b *planner) shortageCost(p *state.TargetState, s *jobs.Spec) int {
	if s.TaskRoom().Fits(p.Free) {
		return 0
	}
	return 1
}

// placeOnGuarantee starts a request on the targets t that back a guarantee. If their room
// isn't free it stops borrowers, and keeps the room for the request. It returns false if the
// room can't be freed.
func (b *planner) placeOnGuarantee(g *state.Guarantee, r *state.Request, t []string, p *Plan) bool {
	need := map[string]jobs.Room{}
	for _, id := range t {
		need[id] = need[id].Plus(r.Spec.TaskRoom())
	}
	free := true
	for id, n := range need {
		free = free && n.Fits(b.TargetByID[id].Free)
	}
	if free {
		b.placeRequest(r.Spec, t, g.ID)
		if r.BackingOff {
			p.Waits = append(p.Waits, Wait{r.Spec.Key(), Backoff, "its guarantee's room is kept until the next attempt"})
			return true
		}
		p.Starts = append(p.Starts, Start{r.Spec.Key(), t, g.ID})
		return true
	}
	if b.Input.Policy.NoReclaim {
		return false
	}
	v, ok := b.selectVictims(need)
	if !ok {
		return false
	}
	for _, j := range v {
		b.RecordStop(j)
		p.Stops = append(p.Stops, Stop{Key: j.Spec.Key(), For: r.Spec.Key()})
	}
	// Counting the request as running reserves the room until the borrowers have stopped.
	b.placeRequest(r.Spec, t, g.ID)
	p.Waits = append(p.Waits, Wait{r.Spec.Key(), Reclaiming, "borrowers make room on " + strings.Join(state.Distinct(t), ", ")})
	return true
}

// packFree returns a target for each member of a request in free room, or nil. Room that no
// guarantee claims is preferred; a job that can't be preempted gets no other.
func (b *planner) packFree(r *state.Request) []string {
	s := r.Spec
	c := b.candidates[:0]
	for _, p := range b.Targets {
		if x, ok := b.freeCandidate(p, r); ok {
			c = append(c, x)
		}
	}
	b.candidates = c
	return state.Pack(s.Shape, s.TaskRoom(), c, b.Input.Policy.FirstFit)
}

// freeCandidate returns the room that a borrower may take at p, and false if it may take none.
func (b *planner) freeCandidate(p *state.TargetState, r *state.Request) (state.Candidate, bool) {
	if !p.Open || r.Avoid[p.ID] || p.Reserved && !b.endsBeforeReservation(r) {
		return state.Candidate{}, false
	}
	x := state.Candidate{ID: p.ID, Rack: p.Rack, Room: p.Free, Limit: r.Spec.Shape.Members}
	if p.Probe {
		x.Limit = max(0, 1-p.Tasks)
	}
	unclaimed := b.Unclaimed(p)
	if state.NonPreemptible(r.Spec) {
		x.Room = state.Min(p.Free, unclaimed)
	} else if !r.Spec.TaskRoom().Fits(unclaimed) {
		x.Cost = 1
	}
	return x, true
}

// explainBlocked returns why a request for which there is no room waits. The first one that can
// ever fit gets a reservation; what starts on the reserved targets from then on must end before
// the reservation.
func (b *planner) explainBlocked(r *state.Request) Wait {
	s := r.Spec
	if !b.canEverFit(r) {
		return Wait{s.Key(), NeverFits, fmt.Sprintf("no part of cell %s could hold %s", b.Input.Cell, s.Shape.String())}
	}
	if b.reservation == nil && !b.Input.Policy.NoReservation {
		b.reservation = b.reserve(r)
	}
	if b.reservation != nil && b.reservation.key != s.Key() {
		return Wait{s.Key(), BehindReservation, fmt.Sprintf("%s waits behind %s, reserved for %s", s.Shape.String(), b.reservation.key, b.reservation.expectedStart.Format(time.TimeOnly))}
	}
	d := "needs " + s.Shape.String()
	if b.reservation != nil {
		d += ", reserved for " + b.reservation.expectedStart.Format(time.TimeOnly)
	}
	return Wait{s.Key(), NoRoom, d}
}

// canEverFit reports whether the cell could hold the request if nothing ran: anywhere, or, for
// a job that can't be preempted, in room that no guarantee claims or within one of its
// account's guarantees.
func (b *planner) canEverFit(r *state.Request) bool {
	c := b.candidates[:0]
	for _, p := range b.Targets {
		x := state.Candidate{ID: p.ID, Rack: p.Rack, Room: p.Room, Limit: r.Spec.Shape.Members}
		if state.NonPreemptible(r.Spec) {
			x.Room = p.Room.Minus(p.Claimed)
		}
		c = append(c, x)
	}
	b.candidates = c
	if state.Pack(r.Spec.Shape, r.Spec.TaskRoom(), c, true) != nil {
		return true
	}
	return slices.ContainsFunc(b.GuaranteesByAccount[r.Spec.Account], func(g *state.Guarantee) bool { return b.fitsEmptyBacking(g, r.Spec) })
}

// fitsEmptyBacking reports whether the targets that back a guarantee could hold the request if
// nothing ran on them.
func (b *planner) fitsEmptyBacking(g *state.Guarantee, s *jobs.Spec) bool {
	c := b.candidates[:0]
	for _, p := range g.Targets {
		c = append(c, state.Candidate{ID: p.ID, Rack: p.Rack, Room: p.Backing[g.ID], Limit: s.Shape.Members})
	}
	b.candidates = c
	return state.Pack(s.Shape, s.TaskRoom(), c, true) != nil
}

// reservation keeps targets for a blocked request from the time at which it is expected to
// start.
type reservation struct {
	key           jobs.Key
	expectedStart time.Time
}

// reserve finds the time at which enough running jobs are expected to have ended for a request
// to start, and marks its targets as reserved, so that only jobs that end by then start there.
// It returns nil if there is no such time.
func (b *planner) reserve(r *state.Request) *reservation {
	ends := make([]*state.Job, 0, len(b.Input.Running))
	for i := range b.Input.Running {
		ends = append(ends, &b.Input.Running[i])
	}
	slices.SortFunc(ends, func(x, y *state.Job) int {
		return cmp.Or(b.expectedEnd(x).Compare(b.expectedEnd(y)), strings.Compare(x.Spec.Account, y.Spec.Account), strings.Compare(x.Spec.ID, y.Spec.ID))
	})
	// The more jobs have ended, the more room is free, so a binary search finds the least
	// number of them, in the order of their ends, that frees enough room.
	n := sort.Search(len(ends)+1, func(n int) bool { return n > 0 && b.packFutureRoom(r, b.freeAfter(ends[:n])) != nil })
	if n > len(ends) {
		return nil
	}
	for _, id := range b.packFutureRoom(r, b.freeAfter(ends[:n])) {
		b.TargetByID[id].Reserved = true
	}
	return &reservation{r.Spec.Key(), b.expectedEnd(ends[n-1])}
}

// freeAfter returns the free room of each target once the given jobs have ended.
func (b *planner) freeAfter(ended []*state.Job) map[string]jobs.Room {
	room := make(map[string]jobs.Room, len(b.Targets))
	for _, p := range b.Targets {
		room[p.ID] = p.Free
	}
	for _, j := range ended {
		for _, id := range j.Targets {
			room[id] = room[id].Plus(j.Spec.TaskRoom())
		}
	}
	return room
}

// expectedEnd returns when a running job is expected to end. For an overdue job it is
// overdueExtension from now.
func (b *planner) expectedEnd(j *state.Job) time.Time {
	e := j.Started.Add(j.Expected)
	if e.Before(b.Input.Now) {
		return b.Input.Now.Add(overdueExtension)
	}
	return e
}

// overdueExtension is how much longer an overdue job is expected to run.
const overdueExtension = time.Minute

// packFutureRoom returns a target for each member of a request in the given free room of each
// target, or nil.
func (b *planner) packFutureRoom(r *state.Request, room map[string]jobs.Room) []string {
	c := make([]state.Candidate, 0, len(b.Targets))
	for _, p := range b.Targets {
		if !p.Open {
			continue
		}
		x := state.Candidate{ID: p.ID, Rack: p.Rack, Room: room[p.ID], Limit: r.Spec.Shape.Members}
		if state.NonPreemptible(r.Spec) {
			x.Room = state.Min(x.Room, p.Room.Minus(p.Claimed).Minus(p.NonPreemptible))
		}
		c = append(c, x)
	}
	return state.Pack(r.Spec.Shape, r.Spec.TaskRoom(), c, false)
}

// endsBeforeReservation reports whether a request that starts now is expected to end before
// the reserved room is needed.
func (b *planner) endsBeforeReservation(r *state.Request) bool {
	return b.reservation == nil || !b.Input.Now.Add(r.Expected).After(b.reservation.expectedStart)
}
