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

// maxBlocked bounds the requests that a decision finds no room for before it
// stops looking at the rest.
const maxBlocked = 64

// planner is a decision in the making.
type planner struct {
	*state.Cell
	shadow *shadow
	// claims holds which shapes fit into what is left of an account's
	// guarantees.
	claims map[claimKey]bool
	// lines holds the waiting requests by account.
	lines map[string][]*line
	// scratch is reused by each packing.
	scratch []state.Candidate
}

func newPlanner(in *state.Input) *planner {
	return &planner{Cell: state.New(in), claims: map[claimKey]bool{}, lines: map[string][]*line{}}
}

// place counts a request that starts now.
func (b *planner) place(s *jobs.Spec, targets []string, guarantee string) {
	b.Start(s, targets, guarantee)
	if guarantee == "" {
		return
	}
	for k := range b.claims {
		if k.account == s.Account {
			delete(b.claims, k)
		}
	}
}

// Decide plans what starts and what stops.
func Decide(in *state.Input) Plan {
	b := newPlanner(in)
	b.FindBacking()
	p := Plan{Backing: b.Backing, Unbacked: b.Unbacked}
	l := lines(in)
	for _, g := range l {
		b.lines[g.account] = append(b.lines[g.account], g)
	}
	a := newAgenda(b, l)
	misses := map[miss]Wait{}
	for blocked := 0; blocked < maxBlocked && (blocked == 0 || !in.Policy.NoBackfill); {
		r := a.pop()
		if r == nil {
			return p
		}
		k, plain := missOf(r), len(r.Avoid) == 0 && !r.Hold
		if w, ok := misses[k]; ok && plain && !b.guaranteed(r.Spec) {
			w.Key = r.Spec.Key()
			p.Waits = append(p.Waits, w)
			continue
		}
		if b.try(r, &p) {
			a.started(r.Spec)
			continue
		}
		blocked++
		w := b.block(r)
		p.Waits = append(p.Waits, w)
		if plain {
			misses[k] = w
		}
	}
	a.rest(func(r *state.Request) {
		p.Waits = append(p.Waits, Wait{r.Spec.Key(), Behind, "behind requests that are blocked"})
	})
	slices.SortFunc(p.Waits, func(x, y Wait) int {
		return cmp.Or(strings.Compare(x.Key.Account, y.Key.Account), strings.Compare(x.Key.ID, y.Key.ID))
	})
	return p
}

// miss is what makes two requests find no free room alike.
type miss struct {
	shape jobs.Shape
	fixed bool
	// brief is the order of magnitude of the expected run time.
	brief int
}

func missOf(r *state.Request) miss {
	n := 0
	for d := r.Expected; d > time.Second; d /= 2 {
		n++
	}
	return miss{r.Spec.Shape, state.Fixed(r.Spec), n}
}

// try starts a request, or begins to reclaim room for it, and reports whether
// it did.
func (b *planner) try(r *state.Request, p *Plan) bool {
	for _, g := range b.ByAccount[r.Spec.Account] {
		if t := b.packBacking(g, r.Spec); t != nil && b.claim(g, r, t, p) {
			return true
		}
	}
	if r.Hold {
		p.Waits = append(p.Waits, Wait{r.Spec.Key(), Held, "waits for its next attempt"})
		return true
	}
	t := b.packFree(r)
	if t == nil {
		return false
	}
	b.place(r.Spec, t, "")
	p.Starts = append(p.Starts, Start{Key: r.Spec.Key(), Targets: t})
	return true
}

// guaranteed reports whether a request fits into what is left of one of its
// account's guarantees.
func (b *planner) guaranteed(s *jobs.Spec) bool {
	own := b.ByAccount[s.Account]
	if len(own) == 0 {
		return false
	}
	k := claimKey{s.Account, s.Shape}
	if v, ok := b.claims[k]; ok {
		return v
	}
	v := slices.ContainsFunc(own, func(g *state.Guarantee) bool {
		return s.Shape.Accelerators() <= g.Shape.Accelerators() && b.packBacking(g, s) != nil
	})
	b.claims[k] = v
	return v
}

// claimKey is what decides whether a request fits into a guarantee, until
// another request of the account starts on it.
type claimKey struct {
	account string
	shape   jobs.Shape
}

// packBacking places a request on what is left of the targets behind a
// guarantee, or returns nil.
func (b *planner) packBacking(g *state.Guarantee, s *jobs.Spec) []string {
	if s.Shape.Each.Accelerators == 0 {
		return nil
	}
	c := b.scratch[:0]
	for _, p := range g.Spots {
		room := p.Backing[g.ID].Minus(p.Charged[g.ID])
		c = append(c, state.Candidate{ID: p.ID, Rack: p.Rack, Room: room, Limit: s.Shape.Members, Cost: b.shortage(p, s)})
	}
	b.scratch = c
	return state.Pack(s.Shape, s.Task(), c, b.In.Policy.FirstFit)
}

// shortage is 1 if a member wouldn't fit at p now.
func (b *planner) shortage(p *state.Spot, s *jobs.Spec) int {
	if s.Task().Fits(p.Free) {
		return 0
	}
	return 1
}

// claim starts a request on its guarantee, or stops borrowers for it.
func (b *planner) claim(g *state.Guarantee, r *state.Request, t []string, p *Plan) bool {
	need := map[string]jobs.Room{}
	for _, id := range t {
		need[id] = need[id].Plus(r.Spec.Task())
	}
	free := true
	for id, n := range need {
		free = free && n.Fits(b.At[id].Free)
	}
	if free {
		b.place(r.Spec, t, g.ID)
		if r.Hold {
			p.Waits = append(p.Waits, Wait{r.Spec.Key(), Held, "its guarantee's room is kept until the next attempt"})
			return true
		}
		p.Starts = append(p.Starts, Start{r.Spec.Key(), t, g.ID})
		return true
	}
	if b.In.Policy.NoReclaim {
		return false
	}
	v, ok := b.victims(need)
	if !ok {
		return false
	}
	for _, j := range v {
		b.Stop(j)
		p.Stops = append(p.Stops, Stop{Key: j.Spec.Key(), For: r.Spec.Key()})
	}
	// The room is held by counting the request as started.
	b.place(r.Spec, t, g.ID)
	p.Waits = append(p.Waits, Wait{r.Spec.Key(), Reclaiming, "borrowers make room on " + strings.Join(state.Distinct(t), ", ")})
	return true
}

// packFree places a request on free room. Room that nobody has a claim on
// goes first; a job that can't be stopped gets nothing else.
func (b *planner) packFree(r *state.Request) []string {
	s := r.Spec
	c := b.scratch[:0]
	for _, p := range b.Places {
		if x, ok := b.freeAt(p, r); ok {
			c = append(c, x)
		}
	}
	b.scratch = c
	return state.Pack(s.Shape, s.Task(), c, b.In.Policy.FirstFit)
}

// freeAt returns what a borrower may take at p.
func (b *planner) freeAt(p *state.Spot, r *state.Request) (state.Candidate, bool) {
	if !p.Open || r.Avoid[p.ID] || p.Shadowed && !b.endsInTime(r) {
		return state.Candidate{}, false
	}
	x := state.Candidate{ID: p.ID, Rack: p.Rack, Room: p.Free, Limit: r.Spec.Shape.Members}
	if p.Probe {
		x.Limit = max(0, 1-p.Tasks)
	}
	unclaimed := b.Unclaimed(p)
	if state.Fixed(r.Spec) {
		x.Room = state.Least(p.Free, unclaimed)
	} else if !r.Spec.Task().Fits(unclaimed) {
		x.Cost = 1
	}
	return x, true
}

// block explains why a request waits. The first one that is blocked gets a
// reservation, behind which only what ends in time may start.
func (b *planner) block(r *state.Request) Wait {
	s := r.Spec
	if !b.everFits(r) {
		return Wait{s.Key(), NeverFits, fmt.Sprintf("no part of cell %s could hold %s", b.In.Cell, s.Shape.String())}
	}
	if b.shadow == nil && !b.In.Policy.NoReservation {
		b.shadow = b.cast(r)
	}
	if b.shadow != nil && b.shadow.key != s.Key() {
		return Wait{s.Key(), Behind, fmt.Sprintf("%s waits behind %s, reserved for %s", s.Shape.String(), b.shadow.key, b.shadow.at.Format(time.TimeOnly))}
	}
	d := "needs " + s.Shape.String()
	if b.shadow != nil {
		d += ", reserved for " + b.shadow.at.Format(time.TimeOnly)
	}
	return Wait{s.Key(), NoRoom, d}
}

// everFits reports whether the cell could hold the request if only what can't
// be stopped ran.
func (b *planner) everFits(r *state.Request) bool {
	c := b.scratch[:0]
	for _, p := range b.Places {
		x := state.Candidate{ID: p.ID, Rack: p.Rack, Room: p.Room, Limit: r.Spec.Shape.Members}
		if state.Fixed(r.Spec) {
			x.Room = p.Room.Minus(p.Claimed)
		}
		c = append(c, x)
	}
	b.scratch = c
	if state.Pack(r.Spec.Shape, r.Spec.Task(), c, true) != nil {
		return true
	}
	return slices.ContainsFunc(b.ByAccount[r.Spec.Account], func(g *state.Guarantee) bool { return b.emptyBackingHolds(g, r.Spec) })
}

// emptyBackingHolds reports whether the targets behind a guarantee would hold
// the request if nothing ran on them.
func (b *planner) emptyBackingHolds(g *state.Guarantee, s *jobs.Spec) bool {
	c := b.scratch[:0]
	for _, p := range g.Spots {
		c = append(c, state.Candidate{ID: p.ID, Rack: p.Rack, Room: p.Backing[g.ID], Limit: s.Shape.Members})
	}
	b.scratch = c
	return state.Pack(s.Shape, s.Task(), c, true) != nil
}

// shadow is a reservation in time.
type shadow struct {
	key jobs.Key
	at  time.Time
}

// cast finds when the running jobs are expected to have left enough room for a
// request, and keeps that room from what would not end by then.
func (b *planner) cast(r *state.Request) *shadow {
	ends := make([]*state.Job, 0, len(b.In.Running))
	for i := range b.In.Running {
		ends = append(ends, &b.In.Running[i])
	}
	slices.SortFunc(ends, func(x, y *state.Job) int {
		return cmp.Or(b.end(x).Compare(b.end(y)), strings.Compare(x.Spec.Account, y.Spec.Account), strings.Compare(x.Spec.ID, y.Spec.ID))
	})
	// The first n jobs to end free enough room, if any number does: the more
	// end, the more is free, so the least n is found by bisection.
	n := sort.Search(len(ends)+1, func(n int) bool { return n > 0 && b.packLater(r, b.freeBehind(ends[:n])) != nil })
	if n > len(ends) {
		return nil
	}
	for _, id := range b.packLater(r, b.freeBehind(ends[:n])) {
		b.At[id].Shadowed = true
	}
	return &shadow{r.Spec.Key(), b.end(ends[n-1])}
}

// freeBehind returns the free room of each target once jobs have ended.
func (b *planner) freeBehind(ended []*state.Job) map[string]jobs.Room {
	room := make(map[string]jobs.Room, len(b.Places))
	for _, p := range b.Places {
		room[p.ID] = p.Free
	}
	for _, j := range ended {
		for _, id := range j.Targets {
			room[id] = room[id].Plus(j.Spec.Task())
		}
	}
	return room
}

// end returns when a running job is expected to end. One that is overdue is
// expected to end soon.
func (b *planner) end(j *state.Job) time.Time {
	e := j.Started.Add(j.Expected)
	if e.Before(b.In.Now) {
		return b.In.Now.Add(overdue)
	}
	return e
}

// overdue is how much longer a job is expected to run that should have ended.
const overdue = time.Minute

// packLater places a request on the room that will be free.
func (b *planner) packLater(r *state.Request, room map[string]jobs.Room) []string {
	c := make([]state.Candidate, 0, len(b.Places))
	for _, p := range b.Places {
		if !p.Open {
			continue
		}
		x := state.Candidate{ID: p.ID, Rack: p.Rack, Room: room[p.ID], Limit: r.Spec.Shape.Members}
		if state.Fixed(r.Spec) {
			x.Room = state.Least(x.Room, p.Room.Minus(p.Claimed).Minus(p.Fixed))
		}
		c = append(c, x)
	}
	return state.Pack(r.Spec.Shape, r.Spec.Task(), c, false)
}

// endsInTime reports whether a request is expected to end before the reserved
// room is needed.
func (b *planner) endsInTime(r *state.Request) bool {
	return b.shadow == nil || !b.In.Now.Add(r.Expected).After(b.shadow.at)
}
