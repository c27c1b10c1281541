package sched

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/work"
)

// TestGangAfterWorkerLeaves guards against a gang that never starts: it is as large as a
// rack, one of three racks has lost a worker, and the others have a task that doesn't end, or
// not for long.
func TestGangAfterWorkerLeaves(t *testing.T) {
	const racks, perRack = 3, 2
	demand := work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 4}
	for _, x := range []struct {
		name        string
		blocking    work.Step
		soon, later int
	}{
		{"long-running tasks", work.Step{LongRunning: true}, perRack, perRack},
		{"tasks with a long estimate", work.Step{Estimate: time.Hour}, 0, perRack},
	} {
		b := newBench(t, 0)
		list := func(id, rack string, draining bool) {
			b.step(event.WorkerListed{Worker: event.Worker{ID: id, Address: "a", StartedMS: 1, Rack: rack, Draining: draining, Capacity: work.Amounts{MilliCPU: 16000, MemoryMiB: 64000, Accelerators: 4}}})
		}
		for i := range racks * perRack {
			list(fmt.Sprint("w", i), fmt.Sprint("r", i/perRack), false)
		}
		b.pass(100 * time.Millisecond)
		for i := range racks - 1 {
			x.blocking.Count, x.blocking.Demand, x.blocking.Affinity = 1, demand, fmt.Sprint("r", i)
			b.submit(fmt.Sprintf("%016x", i+1), "batch", x.blocking)
		}
		leaving := fmt.Sprint("w", racks*perRack-1)
		list(leaving, "r2", true)
		b.pass(time.Second)
		b.step(event.WorkerUnlisted{ID: leaving})
		b.pass(time.Second)
		starts := len(b.starts)
		b.submit("00000000000000aa", "batch", work.Step{Count: perRack, Demand: demand, Gang: true, SameRack: true, Estimate: time.Minute})
		if n := len(b.starts) - starts; n != x.soon {
			t.Errorf("%s: %d members of the gang have started, want %d; running %v", x.name, n, x.soon, b.running)
		}
		b.setProgress("00000000000000aa", 10, 0)
		b.pass(10 * time.Second)
		if n := len(b.starts) - starts; n != x.later {
			t.Errorf("%s: %d members of the gang have started 10 s later, want %d; running %v", x.name, n, x.later, b.running)
		}
	}
}
