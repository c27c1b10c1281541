package sched

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/fakes/model"
	"citronbridge/work"
)

// gangOnDeafWorker lets a gang of four take four workers, one of which gets no
// starts.
func gangOnDeafWorker() *world {
	w := newWorld(1, faults{})
	w.quiet, w.tracing = 0, true
	w.forbidAlone()
	for i := range 4 {
		id := fmt.Sprintf("w0%d", i)
		w.cluster.Add(0, &model.Worker{ID: id, Born: 1, CPU: 16000, Memory: 64000, Accelerators: 4})
		w.listed[id] = true
	}
	w.deaf = map[string]bool{"w02": true}
	w.decide(nil)
	w.run(time.Second)
	s := work.Step{Count: 4, Demand: work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 4}, Estimate: time.Second, Gang: true}
	x := model.TaskProfile{Work: time.Second, Gang: 4, CPU: 1000, Memory: 1000, Accelerators: 4}
	w.submit(&work.Job{ID: "00000000000000aa", Queue: "long", Spec: model.Spec(x), Steps: []work.Step{s}})
	return w
}

// check fails on what was broken, and if the gang isn't done.
func (w *world) check(t *testing.T) {
	t.Helper()
	if len(w.broken) == 0 {
		w.judge()
	}
	for _, b := range w.broken {
		t.Error(b)
	}
	if t.Failed() {
		for _, l := range w.trace {
			t.Log(l)
		}
	}
}

// TestIncompleteGangIsStopped guards against members that wait in vain where the
// start of another one doesn't get through: they are stopped in time.
func TestIncompleteGangIsStopped(t *testing.T) {
	w := gangOnDeafWorker()
	w.after(8*time.Second, func() { w.deaf = nil })
	w.run(20 * time.Second)
	w.check(t)
}

// TestSuccessorStopsIncompleteGang lets another decider take the pool while a
// gang is being started: members that the former one has started are stopped in
// time, unless all are there.
func TestSuccessorStopsIncompleteGang(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		w := gangOnDeafWorker()
		w.after(after, func() {
			w.owner().dead = true
			w.deaf = nil
			w.succeed(beatTimeout)
		})
		w.run(20 * time.Second)
		w.check(t)
	}
}
