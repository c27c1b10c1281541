package sched

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/fakes/model"
	"citronbridge/work"
)

// TestFailingWorkersAttractNoWork guards against workers on which everything fails at once:
// as they are free again at once, they get more tasks than others, and jobs use up their
// attempts there. Two of twelve workers begin to fail in the middle of the load. Some jobs
// can't be saved, as both of their attempts go there before either has shown what it is. At
// most half of those may fail that failed before workers were paused after each failure.
func TestFailingWorkersAttractNoWork(t *testing.T) {
	const maxFailed = 16 / 2
	failed := 0
	for seed := range uint64(20) {
		w := newWorld(seed, faults{})
		w.faultsUntil = 0
		for _, q := range w.rules.Queues {
			q.MaxAttempts = 2
		}
		for i := range 12 {
			id := fmt.Sprintf("w%d%02d", i%2, i)
			w.cluster.Add(0, &model.Worker{ID: id, Born: 1, CPU: 16000, Memory: 64000, Accelerators: 4})
			w.listed[id] = true
		}
		w.startDecider(nil)
		w.run(time.Second)
		submit := func(n int, at time.Duration, queue string, s work.Step) {
			s.Demand = work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 1}
			s.Estimate = 100 * time.Millisecond
			x := model.TaskProfile{Work: s.Estimate, CPU: 1000, Memory: 1000, Accelerators: 1}
			if s.Gang {
				x.Gang = s.Count
			}
			j := &work.Job{ID: fmt.Sprintf("%016x", n), Queue: queue, Spec: model.Spec(x), Steps: []work.Step{s}}
			w.after(at, func() { w.submit(j) })
		}
		w.after(1500*time.Millisecond, func() {
			for _, id := range sorted(w.cluster.Workers)[:2] {
				w.cluster.Workers[id].FailsAll = true
			}
		})
		for i := range 40 {
			at := time.Duration(i) * 150 * time.Millisecond
			submit(2*i+2, at, "long", work.Step{Count: 12})
			submit(2*i+3, at, "urgent", work.Step{Count: 4, Gang: true})
		}
		w.run(30 * time.Second)
		for _, b := range w.violations {
			t.Errorf("seed %d: %s", seed, b)
		}
		for _, id := range sorted(w.records) {
			if _, ok := w.cancelAcked[id]; ok {
				continue
			}
			switch s := w.stateOf(id); s {
			case work.Succeeded:
			case work.Failed:
				failed++
			default:
				t.Errorf("seed %d: job %s is %s", seed, id, s)
			}
		}
	}
	if t.Logf("%d jobs failed", failed); failed > maxFailed {
		t.Errorf("%d jobs failed, want at most %d", failed, maxFailed)
	}
}
