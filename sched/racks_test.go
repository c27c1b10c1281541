package sched

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/work"
)

// TestGangAfterWorkerLeaves guards against a gang that never starts: it is as large as a
// rack, one of three racks has lost a worker, and the others have a task that lasts.
func TestGangAfterWorkerLeaves(t *testing.T) {
	const racks, perRack = 3, 2
	demand := work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 4}
	b := newBench(t, 0)
	list := func(id, rack string, draining bool) {
		b.step(event.WorkerListed{Worker: event.Worker{ID: id, Address: "a", StartedMS: 1, Rack: rack, Draining: draining, Capacity: work.Amounts{MilliCPU: 16000, MemoryMiB: 64000, Accelerators: 4}}})
	}
	for i := range racks * perRack {
		list(fmt.Sprint("w", i), fmt.Sprint("r", i/perRack), false)
	}
	b.pass(100 * time.Millisecond)
	for i := range racks - 1 {
		b.submit(fmt.Sprintf("%016x", i+1), "batch", work.Step{Count: 1, Demand: demand, LongRunning: true, Affinity: fmt.Sprint("r", i)})
	}
	leaving := fmt.Sprint("w", racks*perRack-1)
	list(leaving, "r2", true)
	b.pass(time.Second)
	b.step(event.WorkerUnlisted{ID: leaving})
	b.pass(time.Second)
	starts := len(b.starts)
	b.submit("00000000000000aa", "batch", work.Step{Count: perRack, Demand: demand, Gang: true, SameRack: true, Estimate: time.Minute})
	if n := len(b.starts) - starts; n != perRack {
		t.Errorf("%d members of the gang have started, want %d; running %v", n, perRack, b.running)
	}
}
