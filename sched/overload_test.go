package sched

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/fakes/model"
	"citronbridge/work"
)

// Time-outs of the calls of a host whose processor is slow.
const (
	slowOrderTimeout = 400 * time.Millisecond
	slowHoldSlack    = 600 * time.Millisecond
	slowBeatPause    = 400 * time.Millisecond
)

// charge returns when the host's processor is done with one more call: it takes
// them in the order in which they come.
func (p *player) charge() time.Duration {
	p.busy = max(p.busy, p.w.now) + p.w.cost
	return p.busy
}

// count counts a call without an answer until done is called.
func (w *world) count() (done func()) {
	w.callsUnderWay++
	w.mostUnderWay = max(w.mostUnderWay, w.callsUnderWay)
	return func() { w.callsUnderWay-- }
}

// slowCall makes a call of a worker. It is sent, and its answer read, once the
// processor comes to it; do returns how to tell the answer. If that is later
// than the time-out, none is told.
func (p *player) slowCall(id string, timeout time.Duration, do func(x *model.Worker, answer func(event.Event)), none event.Event) {
	w := p.w
	end := w.now + timeout
	done := w.count()
	told := false
	tell := func(e event.Event) {
		if !told {
			told = true
			done()
			p.take(e)
		}
	}
	w.after(timeout, func() { tell(none) })
	w.after(p.charge()-w.now, func() {
		x := p.reach(id)
		if x == nil || w.now > end {
			return
		}
		do(x, func(e event.Event) {
			w.after(p.charge()-w.now, func() { tell(e) })
		})
	})
}

// slowOrder carries a start or a stop out.
func (p *player) slowOrder(c event.Call, do func(*model.Worker) string) {
	p.slowCall(c.Worker, slowOrderTimeout, func(x *model.Worker, answer func(event.Event)) {
		answer(event.Answered{Call: c, Outcome: reasons[do(x)], ClockMS: x.ClockMS()})
	}, event.Answered{Call: c, Outcome: event.NoAnswer})
}

// slowHold carries a Hold out.
func (p *player) slowHold(e event.Hold) {
	w := p.w
	p.slowCall(e.Worker, e.Wait+slowHoldSlack, func(x *model.Worker, answer func(event.Event)) {
		until := w.now + e.Wait
		_, before, _ := x.Hold(e.Fence, 0, 0)
		w.noted(x, e.SeenUpto, before)
		deadline := e.DeadlineMS
		var look func()
		look = func() {
			running, ended, why := x.Hold(e.Fence, e.SeenUpto, deadline)
			deadline = 0
			if why == "" && len(ended) == 0 && w.now < until {
				w.after(40*time.Millisecond, look)
				return
			}
			answer(report(e, x, running, ended, why))
		}
		look()
	}, event.Reported{Call: e.Call, Outcome: event.NoAnswer})
}

// slowBeat proves regularly that the pool is owned, if the processor comes to
// it. Another host takes the pool otherwise.
func (p *player) slowBeat() {
	w := p.w
	if p.dead {
		return
	}
	sent := w.now
	w.after(p.charge()-w.now, func() {
		if !p.owned() {
			p.dead = true
			return
		}
		p.confirmed = sent
		epoch, heard := w.epoch, w.now
		w.after(slowBeatPause, p.slowBeat)
		w.after(beatTimeout+slowBeatPause, func() {
			if w.epoch == epoch && w.owner().confirmed < heard {
				w.log("SILENT")
				w.decide(nil)
			}
		})
	})
}

// The pool of a large deployment, and what it is given at once.
const (
	overloadWorkers = 350
	overloadJobs    = 30
	// overloadEnd is how soon all jobs must be done after they came, with work
	// of workLength: the platform's bound on recovery.
	overloadEnd = 15*time.Second + workLength
	workLength  = 3 * time.Second
)

// contact is for how long a host that was slow counts as out of touch.
const contact = 4 * time.Second

// forbidAlone counts it as a fault if a gang's task waits in vain for the others,
// but for those of a host that is, or was just before, slowed down.
func (w *world) forbidAlone() {
	stopped := w.cluster.OnEnd
	w.cluster.OnEnd = func(x *model.Worker, e model.End) {
		if e.How == "alone" && w.now >= w.touch {
			w.fail("GANG: %s run %d has waited for the others of its gang on %s", e.Task, e.Run, x.ID)
		}
		stopped(x, e)
	}
}

// largePool returns a world in which a host, whose processor takes a time for each
// call, has decided for a large pool for a while.
func largePool(seed uint64, cost time.Duration, f faults) *world {
	w := newWorld(seed, f)
	w.quiet, w.cost = 0, cost
	for i := range overloadWorkers {
		id := fmt.Sprintf("w%d%03d", i%9, i)
		w.cluster.Add(0, &model.Worker{ID: id, Born: 1, CPU: 64000, Memory: 256000, Accelerators: 8})
		w.listed[id] = true
	}
	w.forbidAlone()
	w.decide(nil)
	w.run(8 * time.Second)
	return w
}

// gangJob returns a job of one gang, of three sizes and two priorities in turn.
func gangJob(i int) *work.Job {
	count := []int{13, 5, 39}[i%3]
	s := work.Step{Count: count, Demand: work.Amounts{MilliCPU: 7500, MemoryMiB: 31000, Accelerators: 1 + int64(i%2)}, Estimate: workLength, Gang: true}
	x := model.TaskProfile{Work: workLength, Gang: count, CPU: 7500, Memory: 31000, Accelerators: s.Demand.Accelerators}
	return &work.Job{ID: fmt.Sprintf("%016x", i+1), Queue: []string{"long", "urgent"}[i%2], Spec: model.Spec(x), Steps: []work.Step{s}}
}

// overload lets a host with a slow processor decide for a large pool that gets
// many gangs at once, and returns the world once they should be done.
func overload(seed uint64, cost time.Duration, f faults) *world {
	w := largePool(seed, cost, f)
	began := w.now
	for i := range overloadJobs {
		w.after(w.between(0, 200*time.Millisecond), func() { w.submit(gangJob(i)) })
	}
	w.run(began + overloadEnd)
	if len(w.broken) == 0 {
		w.judge()
	}
	return w
}

// mustHold fails the test on what was broken.
func (w *world) mustHold(t *testing.T) {
	t.Helper()
	for _, b := range w.broken {
		t.Error(b)
	}
	t.Logf("%d starts, %d deciders, at most %d calls under way", w.starts, len(w.deciders), w.mostUnderWay)
}

// mustBreak fails the test if nothing was noticed of a mutation.
func (w *world) mustBreak(t *testing.T) {
	t.Helper()
	if len(w.broken) == 0 {
		t.Errorf("not noticed: %d starts, %d deciders, at most %d calls under way", w.starts, len(w.deciders), w.mostUnderWay)
		return
	}
	t.Log(w.broken[0])
}

// TestGangsOfOverloadedDecider guards against gangs that run in part, and work
// that never gets through, while a slow host decides for a large pool.
func TestGangsOfOverloadedDecider(t *testing.T) {
	for _, cost := range []time.Duration{500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%v a call, seed %d", cost, seed+1), func(t *testing.T) {
				t.Parallel()
				overload(seed+1, cost, faults{}).mustHold(t)
			})
		}
	}
}

// TestOverloadWithoutWindow checks that the test above notices orders without a
// bound.
func TestOverloadWithoutWindow(t *testing.T) {
	overload(1, 2*time.Millisecond, faults{noWindow: true}).mustBreak(t)
}

// TestSpreadGangsAreNoticed checks that the tests above notice starts of a gang that
// are spread over more than the time for which its tasks wait for each other.
func TestSpreadGangsAreNoticed(t *testing.T) {
	overload(1, 100*time.Microsecond, faults{spread: 200 * time.Millisecond}).mustBreak(t)
}

// What a slow-down of a decider's host must not outlive: gangs come at an even rate
// all the while, and those that come once the platform's bound on recovery has passed
// are done as soon as those before it.
const (
	gangPause  = 300 * time.Millisecond
	slowAt     = 10 * time.Second
	slowFor    = 5 * time.Second
	slowTenths = 10
	recovery   = 15 * time.Second
	flowEnd    = slowAt + slowFor + recovery + 10*time.Second
	// doneWithin is what a gang may take from its submission to its end.
	doneWithin = workLength + 3*time.Second
)

// slowDown plays a host that has a tenth of its speed for some seconds.
func slowDown(seed uint64, cost time.Duration, f faults) *world {
	w := largePool(seed, cost, f)
	began := w.now
	i := 0
	for at := time.Duration(0); at < flowEnd; at += gangPause {
		j := gangJob(i)
		i++
		w.after(at, func() { w.submit(j) })
		if at < slowAt-doneWithin || at >= slowAt+slowFor+recovery {
			w.after(at+doneWithin, func() {
				if s := w.stateOf(j.ID); !s.Final() {
					w.fail("RATE: the gang that came %v after the beginning is %s %v later", at, s, doneWithin)
				}
			})
		}
	}
	w.after(slowAt, func() {
		w.cost = slowTenths * cost
		w.touch = w.now + slowFor + contact
	})
	w.after(slowAt+slowFor, func() { w.cost = cost })
	w.run(began + flowEnd + doneWithin + time.Second)
	return w
}

// TestSlowDownEnds guards against a state that outlives what set it off: a decider's
// host is slow for some seconds, and its work comes as before once that is over.
func TestSlowDownEnds(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			slowDown(seed+1, 1500*time.Microsecond, faults{}).mustHold(t)
		})
	}
}

// TestSlowDownWithoutWindow checks that the test above notices orders without a bound.
func TestSlowDownWithoutWindow(t *testing.T) {
	slowDown(1, 1500*time.Microsecond, faults{noWindow: true}).mustBreak(t)
}
