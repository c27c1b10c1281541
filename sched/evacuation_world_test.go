package sched

import (
	"math/rand/v2"
	"time"

	"citronbridge/event"
	"citronbridge/track"
)

const (
	// evacuateEvery is the number of schedules of which one has evacuations: those whose seed
	// leaves the remainder 1.
	evacuateEvery = 4
	// evacuateTime is the platform's bound from a request to the last start there.
	evacuateTime = 5 * time.Second
)

// evacuations is what the operator requests in a world, and when.
type evacuations struct {
	rng *rand.Rand
	// requestedAt is when the data centres that are evacuated now were requested to be.
	requestedAt map[string]time.Duration
	// version counts the changes of requestedAt.
	version int
}

// operatorFeed is a decider's view of the operator's requests.
type operatorFeed struct {
	// seen is the version passed on last, confirmedAt when it was the newest. Calls made
	// before hungUntil get no answer until then.
	seen                   int
	confirmedAt, hungUntil time.Duration
}

// dataCentreOf returns the data centre of a worker, which is its rack.
func dataCentreOf(worker string) string { return "r" + worker[1:2] }

// planEvacuations schedules requests and withdrawals, and polls of the operator's requests that
// hang while all other calls are answered.
func (w *world) planEvacuations(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 13))
	w.evacuations = &evacuations{rng: r, requestedAt: map[string]time.Duration{}}
	random := func(a, b time.Duration) time.Duration { return a + time.Duration(r.Int64N(int64(b-a)+1)) }
	for range 1 + r.IntN(4) {
		dataCentre, at := dataCentreOf([]string{"w0", "w1"}[r.IntN(2)]), random(0, 24*time.Second)
		w.after(at, func() { w.evacuate(dataCentre) })
		w.after(at+random(100*time.Millisecond, 12*time.Second), func() { w.withdrawEvacuation(dataCentre) })
	}
	for range r.IntN(4) {
		d := random(time.Second, 12*time.Second)
		w.after(random(0, 20*time.Second), func() {
			w.tracef("POLL of the operator's requests hangs for %v", d)
			w.owner().requests.hungUntil = w.now + d
		})
	}
}

func (w *world) evacuate(dataCentre string) {
	if _, ok := w.evacuations.requestedAt[dataCentre]; ok || w.now >= w.faultsUntil {
		return
	}
	w.tracef("EVACUATE %s", dataCentre)
	w.evacuations.requestedAt[dataCentre] = w.now
	w.evacuations.version++
}

func (w *world) withdrawEvacuation(dataCentre string) {
	if _, ok := w.evacuations.requestedAt[dataCentre]; !ok {
		return
	}
	w.tracef("WITHDRAW evacuation of %s", dataCentre)
	delete(w.evacuations.requestedAt, dataCentre)
	w.evacuations.version++
}

// endEvacuations withdraws all requests, and ends hanging polls.
func (w *world) endEvacuations() {
	if w.evacuations == nil {
		return
	}
	for _, d := range sorted(w.evacuations.requestedAt) {
		w.withdrawEvacuation(d)
	}
	for _, p := range w.deciders {
		p.requests.hungUntil = 0
	}
}

// startRequests gives a new decider the requests that its host knows, and follows them.
func (p *decider) startRequests() {
	e := p.w.evacuations
	if e == nil {
		return
	}
	p.requests = operatorFeed{seen: e.version, confirmedAt: p.w.now}
	if !p.w.faults.noEvacuationsAtStart {
		p.deliver(event.EvacuationsChanged{DataCentres: sorted(e.requestedAt)})
	}
	p.followRequests()
}

// followRequests polls the operator's requests. One answer in ten is slow.
func (p *decider) followRequests() {
	w := p.w
	switch {
	case p.dead:
	case !w.storeUp || p.cut || w.now < p.pausedUntil || w.now < p.requests.hungUntil:
		w.after(100*time.Millisecond, p.followRequests)
	default:
		sent, version, set := w.now, w.evacuations.version, sorted(w.evacuations.requestedAt)
		d := w.evacuations.rng.Int64N(int64(5 * time.Millisecond))
		if w.evacuations.rng.IntN(10) == 0 {
			d = w.evacuations.rng.Int64N(int64(1500 * time.Millisecond))
		}
		w.after(time.Duration(d), func() { p.requestsRead(sent, version, set) })
	}
}

// requestsRead handles the answer to a poll that was sent at a time.
func (p *decider) requestsRead(sent time.Duration, version int, set []string) {
	if p.w.now < p.pausedUntil {
		p.backlog = append(p.backlog, func() { p.requestsRead(sent, version, set) })
		return
	}
	if version != p.requests.seen {
		p.requests.seen = version
		p.deliver(event.EvacuationsChanged{DataCentres: set})
	}
	p.requests.confirmedAt = sent
	p.w.after(50*time.Millisecond, p.followRequests)
}

// requestsStale reports whether the decider's host holds starts back, as in package decide.
func (p *decider) requestsStale() bool {
	limit := p.s.Config.MaxRequestAge()
	return limit > 0 && p.w.now-p.requests.confirmedAt > limit && !p.w.faults.noRequestBound
}

// checkEvacuation checks a start that is being sent: none may go to a data centre that the
// decider knows to be evacuated, or that was requested to be for longer than the bound.
func (p *decider) checkEvacuation(e event.Start) {
	w, dataCentre := p.w, dataCentreOf(e.Worker)
	if w.evacuations == nil {
		return
	}
	if p.s.Evacuated[dataCentre] {
		w.fail("EVAC: %s run %d is sent to %s, which the decider knows to be in an evacuated data centre", e.Task, e.Run, e.Worker)
	}
	w.checkEvacuateTime(e.Worker)
}

// checkEvacuateTime checks that a worker that gets or starts a task isn't in a data centre that
// was requested to be evacuated for longer than the bound.
func (w *world) checkEvacuateTime(worker string) {
	if w.evacuations == nil {
		return
	}
	if at, ok := w.evacuations.requestedAt[dataCentreOf(worker)]; ok && w.now-at > evacuateTime {
		w.fail("EVAC: a start on %s %v after the request to evacuate its data centre", worker, w.now-at)
	}
}

// keepDecidedStarts makes the state machine take workers with a decided start for ones outside
// the evacuated data centres.
func keepDecidedStarts(s *State) {
	for _, w := range s.WorkersByID {
		w.DataCentre = dataCentreOf(w.ID)
		for _, r := range w.Runs {
			if r.Phase == track.Recording || r.Phase == track.Starting {
				w.DataCentre = ""
			}
		}
	}
}
