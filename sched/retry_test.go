package sched

import (
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/track"
	"citronbridge/work"
)

// TestRetryOnOnlyWorkerWithRoom guards against a failed task that is never tried again: the
// only worker with room is the one that it failed on, and the tasks on the others don't end.
func TestRetryOnOnlyWorkerWithRoom(t *testing.T) {
	demand := work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 4}
	for _, x := range []struct {
		name  string
		other work.Step
	}{
		{"long-running task", work.Step{Count: 1, Demand: demand, LongRunning: true}},
		{"task with a long estimate", work.Step{Count: 1, Demand: demand, Estimate: time.Hour}},
		{"task without an estimate", work.Step{Count: 1, Demand: demand}},
	} {
		b := newBench(t, 2)
		b.submit("00000000000000a1", "batch", x.other)
		b.submit("00000000000000a2", "batch", work.Step{Count: 1, Demand: demand, Estimate: time.Minute})
		if len(b.starts) != 2 {
			t.Fatalf("%s: %d starts, want 2", x.name, len(b.starts))
		}
		first := b.starts[1]
		b.end(first.Worker, first.Task, event.Failed)
		b.pass(track.SuspectTime - time.Second)
		if len(b.starts) > 2 {
			t.Errorf("%s: the task runs again on the worker that is suspected of its failure", x.name)
		}
		b.pass(2 * time.Second)
		if len(b.starts) < 3 || b.starts[2].Task != first.Task || b.starts[2].Worker != first.Worker {
			t.Errorf("%s: the task isn't tried again; started %+v", x.name, b.starts)
		}
	}
}
