package sched

import (
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/work"
)

// TestRunOfDoneTaskCountsForAntiAffinity guards against two tasks of a step on a worker
// that may run only one of them. A task may still run there although it was done elsewhere,
// in a run whose end was reported late.
func TestRunOfDoneTaskCountsForAntiAffinity(t *testing.T) {
	b := newBench(t, 2)
	b.submit("00000000000000a1", "batch", work.Step{Count: 3, AntiAffinity: 1, Demand: work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 1}})
	task := func(i int) work.TaskID { return work.TaskID{Job: "00000000000000a1", Index: i} }
	at := func(i int) string {
		for w, l := range b.running {
			for _, r := range l {
				if r.Task == task(i) {
					return w
				}
			}
		}
		return ""
	}
	lost, other := at(0), at(1)
	if lost == "" || other == "" || at(2) != "" {
		t.Fatalf("%v", b.running)
	}
	b.unresponsive = lost
	b.end(lost, task(0), event.Done)
	b.pass(lease + time.Second)
	b.end(other, task(1), event.Done)
	b.pass(time.Second)
	if at(0) != other {
		t.Fatalf("the lost task isn't started again: %v", b.running)
	}
	b.unresponsive = ""
	b.step(event.WorkerListed{Worker: event.Worker{ID: lost, Address: "a", StartedMS: 1, Rack: "r", Capacity: work.Amounts{MilliCPU: 16000, MemoryMiB: 64000, Accelerators: 4}, Draining: true}})
	for range 100 {
		b.pass(20 * time.Millisecond)
		if l := b.running[other]; len(l) > 1 {
			t.Fatalf("%v run on one worker", l)
		}
	}
	if at(2) != other {
		t.Errorf("the last task isn't started once there is room: %v", b.running)
	}
}
