package demand

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/assign"
	"citronbridge/event"
	"citronbridge/track"
	"citronbridge/work"
)

// waitingPool returns a pool with idle workers of two accelerators each and a job of a queue
// with advice for each ID, of which nothing runs.
func waitingPool(workers int, jobs ...string) *track.Pool {
	now := event.Clock{Steady: time.Minute}
	p := track.NewPool(track.Config{Pool: "p"}, now, &work.Rules{Queues: map[string]*work.Queue{"advised": {Name: "advised", Priority: 1, Stretch: 1, Advice: true}}})
	p.OwnedAt = now.Steady
	for i := range workers {
		w := p.Worker(fmt.Sprint("w", i))
		w.Listed, w.Synced, w.Recorded, w.Capacity = true, true, true, work.Amounts{Accelerators: 2}
	}
	for _, id := range jobs {
		j := &track.Job{Spec: &work.Job{ID: id, Queue: "advised", Steps: []work.Step{{Count: 1, Demand: work.Amounts{Accelerators: 1}}}}, Record: &work.Record{}, AddedAt: now.Steady}
		j.OpenOccurrence(0, now.Steady)
		j.NextOccurrence = 1
		p.Jobs[id] = j
		p.JobsByArrival = append(p.JobsByArrival, j)
	}
	return p
}

// plan makes a plan and tracks what waits after it.
func plan(p *track.Pool) []*assign.Unit {
	units := Units(p)
	workers, _ := Workers(p)
	assign.Decide(p.Now.Steady, workers, units)
	AskAdvice(p, units, workers)
	TrackWaits(p, units, workers)
	return units
}

// TestOverdueAfter checks how long a step waits despite free capacity for it twice before it is overdue,
// and what ends that.
func TestOverdueAfter(t *testing.T) {
	const id = "00000000000000aa"
	for _, x := range []struct {
		name    string
		workers int
		after   time.Duration
		change  func(*track.Pool, *track.Step)
		want    bool
	}{
		{"room twice", 1, overdueAfter, nil, true},
		{"best effort beside full processors and accelerators", 1, overdueAfter, func(p *track.Pool, st *track.Step) {
			st.Spec.Fills, st.Spec.Demand = true, work.Amounts{MilliCPU: 1000, MemoryMiB: 1}
			p.Workers["w0"].Capacity.MemoryMiB, p.Workers["w0"].Used.Accelerators = 2, 2
		}, true},
		{"not for long", 1, overdueAfter - 1, nil, false},
		{"no room", 0, time.Hour, nil, false},
		{"taken over from another decider", 1, overdueAfterTakeover, func(_ *track.Pool, st *track.Step) { st.Job.TakenOver = true }, true},
		{"taken over, and ready since then", 1, overdueAfterTakeover, func(p *track.Pool, st *track.Step) { st.Job.TakenOver, st.ReadyAt = true, p.Now.Steady+1 }, false},
		{"room twice, but for a moment", 1, overdueAfter, func(p *track.Pool, _ *track.Step) {
			p.Workers["w0"].Used.Accelerators = 1
			plan(p)
			p.Workers["w0"].Used.Accelerators = 0
		}, true},
		{"room once for longer", 1, overdueAfter, func(p *track.Pool, _ *track.Step) {
			p.Workers["w0"].Used.Accelerators = 1
			plan(p)
			p.Now.Steady += roomGap
			plan(p)
			p.Workers["w0"].Used.Accelerators = 0
			plan(p)
			p.Now.Steady -= roomGap
		}, false},
		{"paused worker", 1, overdueAfter, func(p *track.Pool, _ *track.Step) { p.Workers["w0"].PausedUntil = time.Hour }, true},
		{"worker that refused a start", 1, time.Hour, func(p *track.Pool, _ *track.Step) { p.Workers["w0"].ClosedUntil = 2 * time.Hour }, true},
		{"worker without an answer", 1, overdueAfter, func(p *track.Pool, _ *track.Step) { p.Workers["w0"].UnansweredCalls = 1 }, true},
		{"draining worker", 1, time.Hour, func(p *track.Pool, _ *track.Step) { p.Workers["w0"].Draining = true }, false},
		{"unlisted worker", 1, time.Hour, func(p *track.Pool, _ *track.Step) { p.Workers["w0"].Listed = false }, false},
		{"worker whose advice is to use another", 1, time.Hour, func(p *track.Pool, st *track.Step) {
			c, _ := p.Advice.NextCall(st.Key, 1, nil, 0)
			c.Step, c.Incarnations = st.Key, append(c.Incarnations, p.Workers["w0"].IncarnationID())
			p.Advice.HandleAnswer(c, nil, 0, time.Hour)
		}, false},
	} {
		p := waitingPool(x.workers, id)
		st := p.Jobs[id].Steps[0]
		plan(p)
		if x.change != nil {
			x.change(p, st)
			plan(p)
			p.Now.Steady += roomGap
			plan(p)
			p.Now.Steady -= roomGap
		}
		p.Now.Steady += x.after
		if l := Units(p); len(l) != 1 || l[0].Overdue != x.want {
			t.Errorf("%s: %+v, want one that is overdue: %v", x.name, l, x.want)
		}
	}
}

// TestAdviceForOverdueJob guards against a job that is never asked about, as the
// tickets of another one that waits before it are renewed all the time.
func TestAdviceForOverdueJob(t *testing.T) {
	p := waitingPool(2, "00000000000000aa", "00000000000000bb")
	units := Units(p)
	workers, _ := Workers(p)
	units[1].Overdue = true
	p.PendingEffects = nil
	AskAdvice(p, units, workers)
	if len(p.PendingEffects) != 1 || p.PendingEffects[0].(event.Advise).Step != units[1].Key {
		t.Errorf("asked %+v, want a call about %s", p.PendingEffects, units[1].Key)
	}
}

// TestPlanAgainWithoutAnEvent guards against a task that waits for good if the event that
// should bring about a placement is missing.
func TestPlanAgainWithoutAnEvent(t *testing.T) {
	p := waitingPool(0, "00000000000000aa")
	plan(p)
	if want := p.Now.Steady + replanPause; p.PlaceAt == 0 || p.PlaceAt > want {
		t.Errorf("the next placement is at %v, want by %v", p.PlaceAt, want)
	}
}
