package sched

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/fakes/model"
	"citronbridge/work"
)

// gangWithLostStart returns a world with a gang of four on four workers, one of which gets
// no starts.
func gangWithLostStart() *world {
	w := newWorld(1, faults{})
	w.faultsUntil, w.tracing = 0, true
	w.forbidIncompleteGangs()
	for i := range 4 {
		id := fmt.Sprintf("w0%d", i)
		w.cluster.Add(0, &model.Worker{ID: id, Born: 1, CPU: 16000, Memory: 64000, Accelerators: 4})
		w.listed[id] = true
	}
	w.losesStarts = map[string]bool{"w02": true}
	w.startDecider(nil)
	w.run(time.Second)
	s := work.Step{Count: 4, Demand: work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 4}, Estimate: time.Second, Gang: true}
	x := model.TaskProfile{Work: time.Second, Gang: 4, CPU: 1000, Memory: 1000, Accelerators: 4}
	w.submit(&work.Job{ID: "00000000000000aa", Queue: "long", Spec: model.Spec(x), Steps: []work.Step{s}})
	return w
}

// mustFinish fails the test on violations, and if a job hasn't ended.
func (w *world) mustFinish(t *testing.T) {
	t.Helper()
	if len(w.violations) == 0 {
		w.checkAllEnded()
	}
	for _, b := range w.violations {
		t.Error(b)
	}
	if t.Failed() {
		for _, l := range w.trace {
			t.Log(l)
		}
	}
}

// TestIncompleteGangIsStopped guards against members of a gang that wait in vain for one
// whose start gets lost. They must be stopped in time.
func TestIncompleteGangIsStopped(t *testing.T) {
	w := gangWithLostStart()
	w.after(8*time.Second, func() { w.losesStarts = nil })
	w.run(20 * time.Second)
	w.mustFinish(t)
}

// TestSuccessorStopsIncompleteGang replaces the decider while a gang is being started.
// Members that the former decider has started must be stopped in time, unless all are
// there.
func TestSuccessorStopsIncompleteGang(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		w := gangWithLostStart()
		w.after(after, func() {
			w.owner().dead = true
			w.losesStarts = nil
			w.startSuccessor(heartbeatTimeout)
		})
		w.run(20 * time.Second)
		w.mustFinish(t)
	}
}
