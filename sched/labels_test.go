package sched

import (
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/work"
)

// TestLabelsOfFormerIncarnation guards against a start on a worker by the labels of its
// former incarnation: the worker has restarted with other labels, and its registry entry is
// outdated.
func TestLabelsOfFormerIncarnation(t *testing.T) {
	b := newBench(t, 0)
	list := func(kind string, startedMS int64) {
		b.step(event.WorkerListed{Worker: event.Worker{ID: "w0", Address: "a", StartedMS: startedMS, Rack: "r", Labels: []string{kind, "r"}, Capacity: work.Amounts{MilliCPU: 16000, MemoryMiB: 64000, Accelerators: 4}}})
	}
	s := work.Step{Count: 1, Requires: "k1", Demand: work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 4}}
	list("k1", 1)
	b.pass(100 * time.Millisecond)
	b.submit("00000000000000a1", "batch", s)
	if len(b.running["w0"]) != 1 {
		t.Fatalf("%v", b.running)
	}
	// The worker restarts before its entry is updated.
	b.running["w0"], b.incarnations = nil, map[string]int64{"w0": 2}
	b.pass(2 * time.Second)
	if len(b.running["w0"]) != 0 {
		t.Error("started by the labels of the former incarnation")
	}
	list("k2", 2)
	b.pass(2 * time.Second)
	if len(b.running["w0"]) != 0 {
		t.Error("started on a worker without the label")
	}
	list("k1", 2)
	b.pass(2 * time.Second)
	if len(b.running["w0"]) != 1 {
		t.Error("not started on the worker with the label")
	}
}
