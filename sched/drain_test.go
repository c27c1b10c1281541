package sched

import (
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/work"
)

// TestNothingRunsOnWorkerThatMayLeave guards against a task that is done twice. If it ends
// just before its draining worker leaves, the end is never reported and the task runs again
// elsewhere, so runs must be stopped before the worker may leave.
func TestNothingRunsOnWorkerThatMayLeave(t *testing.T) {
	for _, gang := range []bool{false, true} {
		b := newBench(t, 2)
		s := work.Step{Count: 2, Demand: work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 3}, Checkpoint: true, Gang: gang}
		b.submit("00000000000000a1", "batch", s)
		if len(b.running["w0"]) != 1 || len(b.running["w1"]) != 1 {
			t.Fatalf("gang %v: not one task on each worker: %v", gang, b.running)
		}
		leaves := b.now + 4*time.Second
		drain := func(remaining time.Duration) {
			b.step(event.WorkerListed{Worker: event.Worker{
				ID: "w0", Address: "a", StartedMS: 1, Rack: "r", Capacity: work.Amounts{MilliCPU: 16000, MemoryMiB: 64000, Accelerators: 4},
				Draining: true, LeavesMS: b.clockMS() + remaining.Milliseconds(),
			}})
		}
		drain(4 * time.Second)
		b.pass(1500 * time.Millisecond)
		drain(leaves - b.now)
		b.pass(time.Second)
		if len(b.stops) != 0 {
			t.Errorf("gang %v: stopped %v before the worker may leave", gang, leaves-b.now)
		}
		b.pass(leaves - b.now - 400*time.Millisecond)
		if len(b.running["w0"]) != 0 {
			t.Errorf("gang %v: %v still runs on a worker that may leave in %v", gang, b.running["w0"], leaves-b.now)
		}
		want := 1
		if gang {
			want = 0
		}
		if len(b.running["w1"]) != want {
			t.Errorf("gang %v: wrong runs on the other worker: %v", gang, b.running["w1"])
		}
	}
}
