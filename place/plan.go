package place

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"citronbridge/jobs"
)

// maxBlocked bounds the requests that a decision finds no room for before it
// stops looking at the rest.
const maxBlocked = 64

// Decide plans what starts and what stops.
func Decide(in *Input) Plan {
	b := newBoard(in)
	b.seat()
	p := Plan{Seats: b.seats, Unseated: b.unseated}
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
	a.rest(func(r *Request) {
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

func missOf(r *Request) miss {
	n := 0
	for d := r.Expected; d > time.Second; d /= 2 {
		n++
	}
	return miss{r.Spec.Shape, fixed(r.Spec), n}
}

// try starts a request, or begins to reclaim room for it, and reports whether
// it did.
func (b *board) try(r *Request, p *Plan) bool {
	for _, g := range b.byAccount[r.Spec.Account] {
		if t := b.packSeat(g, r.Spec); t != nil && b.claim(g, r, t, p) {
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
	b.start(r.Spec, t, "")
	p.Starts = append(p.Starts, Start{Key: r.Spec.Key(), Targets: t})
	return true
}

// guaranteed reports whether a request fits into what is left of one of its
// account's guarantees.
func (b *board) guaranteed(s *jobs.Spec) bool {
	own := b.byAccount[s.Account]
	if len(own) == 0 {
		return false
	}
	k := claimKey{s.Account, s.Shape}
	if v, ok := b.claims[k]; ok {
		return v
	}
	v := slices.ContainsFunc(own, func(g *guarantee) bool {
		return s.Shape.Accelerators() <= g.shape.Accelerators() && b.packSeat(g, s) != nil
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

// packSeat places a request on what is left of a guarantee's seat, or returns
// nil.
func (b *board) packSeat(g *guarantee, s *jobs.Spec) []string {
	if s.Shape.Each.Accelerators == 0 {
		return nil
	}
	c := b.scratch[:0]
	for _, p := range g.spots {
		room := p.seats[g.id].Minus(p.charged[g.id])
		c = append(c, candidate{id: p.ID, rack: p.Rack, room: room, limit: s.Shape.Members, cost: b.shortage(p, s)})
	}
	b.scratch = c
	return pack(s.Shape, s.Task(), c, b.in.Policy.FirstFit)
}

// shortage is 1 if a member wouldn't fit at p now.
func (b *board) shortage(p *spot, s *jobs.Spec) int {
	if s.Task().Fits(p.free) {
		return 0
	}
	return 1
}

// claim starts a request on its guarantee, or stops borrowers for it.
func (b *board) claim(g *guarantee, r *Request, t []string, p *Plan) bool {
	need := map[string]jobs.Room{}
	for _, id := range t {
		need[id] = need[id].Plus(r.Spec.Task())
	}
	free := true
	for id, n := range need {
		free = free && n.Fits(b.at[id].free)
	}
	if free {
		b.start(r.Spec, t, g.id)
		if r.Hold {
			p.Waits = append(p.Waits, Wait{r.Spec.Key(), Held, "its guarantee's room is kept until the next attempt"})
			return true
		}
		p.Starts = append(p.Starts, Start{r.Spec.Key(), t, g.id})
		return true
	}
	if b.in.Policy.NoReclaim {
		return false
	}
	v, ok := b.victims(need)
	if !ok {
		return false
	}
	for _, j := range v {
		b.stop(j)
		p.Stops = append(p.Stops, Stop{Key: j.Spec.Key(), For: r.Spec.Key()})
	}
	// The room is held by counting the request as started.
	b.start(r.Spec, t, g.id)
	p.Waits = append(p.Waits, Wait{r.Spec.Key(), Reclaiming, "borrowers make room on " + strings.Join(distinct(t), ", ")})
	return true
}

func distinct(t []string) []string {
	t = slices.Clone(t)
	slices.Sort(t)
	return slices.Compact(t)
}

// packFree places a request on free room. Room that nobody has a claim on
// goes first; a job that can't be stopped gets nothing else.
func (b *board) packFree(r *Request) []string {
	s := r.Spec
	c := b.scratch[:0]
	for _, p := range b.places {
		if x, ok := b.freeAt(p, r); ok {
			c = append(c, x)
		}
	}
	b.scratch = c
	return pack(s.Shape, s.Task(), c, b.in.Policy.FirstFit)
}

// freeAt returns what a borrower may take at p.
func (b *board) freeAt(p *spot, r *Request) (candidate, bool) {
	if !p.Open || r.Avoid[p.ID] || p.shadowed && !b.endsInTime(r) {
		return candidate{}, false
	}
	x := candidate{id: p.ID, rack: p.Rack, room: p.free, limit: r.Spec.Shape.Members}
	if p.Probe {
		x.limit = max(0, 1-p.tasks)
	}
	unclaimed := b.unclaimed(p)
	if fixed(r.Spec) {
		x.room = least(p.free, unclaimed)
	} else if !r.Spec.Task().Fits(unclaimed) {
		x.cost = 1
	}
	return x, true
}

// unclaimed returns the room at p beyond all guarantees and all that borrowers
// hold.
func (b *board) unclaimed(p *spot) jobs.Room { return p.free.Minus(p.unused) }

// least returns the smaller of r and o in each dimension.
func least(r, o jobs.Room) jobs.Room {
	return jobs.Room{
		Accelerators: min(r.Accelerators, o.Accelerators),
		Processors:   min(r.Processors, o.Processors),
		Memory:       min(r.Memory, o.Memory),
		Slots:        min(r.Slots, o.Slots),
	}
}

// block explains why a request waits. The first one that is blocked gets a
// reservation, behind which only what ends in time may start.
func (b *board) block(r *Request) Wait {
	s := r.Spec
	if !b.everFits(r) {
		return Wait{s.Key(), NeverFits, fmt.Sprintf("no part of cell %s could hold %s", b.in.Cell, s.Shape.String())}
	}
	if b.shadow == nil && !b.in.Policy.NoReservation {
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
func (b *board) everFits(r *Request) bool {
	c := b.scratch[:0]
	for _, p := range b.places {
		x := candidate{id: p.ID, rack: p.Rack, room: p.Room, limit: r.Spec.Shape.Members}
		if fixed(r.Spec) {
			x.room = p.Room.Minus(p.claimed)
		}
		c = append(c, x)
	}
	b.scratch = c
	if pack(r.Spec.Shape, r.Spec.Task(), c, true) != nil {
		return true
	}
	return slices.ContainsFunc(b.byAccount[r.Spec.Account], func(g *guarantee) bool { return b.emptySeatHolds(g, r.Spec) })
}

// emptySeatHolds reports whether a guarantee's seat would hold the request if
// nothing ran on it.
func (b *board) emptySeatHolds(g *guarantee, s *jobs.Spec) bool {
	c := b.scratch[:0]
	for _, p := range g.spots {
		c = append(c, candidate{id: p.ID, rack: p.Rack, room: p.seats[g.id], limit: s.Shape.Members})
	}
	b.scratch = c
	return pack(s.Shape, s.Task(), c, true) != nil
}

// shadow is a reservation in time.
type shadow struct {
	key jobs.Key
	at  time.Time
}

// cast finds when the running jobs are expected to have left enough room for a
// request, and keeps that room from what would not end by then.
func (b *board) cast(r *Request) *shadow {
	ends := make([]*Job, 0, len(b.in.Running))
	for i := range b.in.Running {
		ends = append(ends, &b.in.Running[i])
	}
	slices.SortFunc(ends, func(x, y *Job) int {
		return cmp.Or(b.end(x).Compare(b.end(y)), strings.Compare(x.Spec.Account, y.Spec.Account), strings.Compare(x.Spec.ID, y.Spec.ID))
	})
	// The first n jobs to end free enough room, if any number does: the more
	// end, the more is free, so the least n is found by bisection.
	n := sort.Search(len(ends)+1, func(n int) bool { return n > 0 && b.packLater(r, b.freeBehind(ends[:n])) != nil })
	if n > len(ends) {
		return nil
	}
	for _, id := range b.packLater(r, b.freeBehind(ends[:n])) {
		b.at[id].shadowed = true
	}
	return &shadow{r.Spec.Key(), b.end(ends[n-1])}
}

// freeBehind returns the free room of each target once jobs have ended.
func (b *board) freeBehind(ended []*Job) map[string]jobs.Room {
	room := make(map[string]jobs.Room, len(b.places))
	for _, p := range b.places {
		room[p.ID] = p.free
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
func (b *board) end(j *Job) time.Time {
	e := j.Started.Add(j.Expected)
	if e.Before(b.in.Now) {
		return b.in.Now.Add(overdue)
	}
	return e
}

// overdue is how much longer a job is expected to run that should have ended.
const overdue = time.Minute

// packLater places a request on the room that will be free.
func (b *board) packLater(r *Request, room map[string]jobs.Room) []string {
	c := make([]candidate, 0, len(b.places))
	for _, p := range b.places {
		if !p.Open {
			continue
		}
		x := candidate{id: p.ID, rack: p.Rack, room: room[p.ID], limit: r.Spec.Shape.Members}
		if fixed(r.Spec) {
			x.room = least(x.room, p.Room.Minus(p.claimed).Minus(p.fixed))
		}
		c = append(c, x)
	}
	return pack(r.Spec.Shape, r.Spec.Task(), c, false)
}

// endsInTime reports whether a request is expected to end before the reserved
// room is needed.
func (b *board) endsInTime(r *Request) bool {
	return b.shadow == nil || !b.in.Now.Add(r.Expected).After(b.shadow.at)
}
