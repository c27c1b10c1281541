package sched

import (
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/work"
)

// TestPaceOfIdleWorker guards against best-effort tasks that never start, as the only worker
// for them keeps the low pace of tasks that have long ended.
func TestPaceOfIdleWorker(t *testing.T) {
	const serving, filling, later = "00000000000000a1", "00000000000000a2", "00000000000000a3"
	fill := work.Step{Count: 1, Demand: work.Amounts{MilliCPU: 8000}, Fills: true, Image: "f", Estimate: time.Hour}
	b := newBench(t, 1)
	b.submit(serving, "batch", work.Step{Count: 1, Demand: work.Amounts{MilliCPU: 1000}, LongRunning: true, Target: 100 * time.Millisecond, Image: "i"})
	b.submit(filling, "batch", fill)
	b.setProgress(filling, 10, 8000)
	b.setProgress(serving, 100, 150)
	b.pass(3 * time.Second)
	if len(b.paces) == 0 || b.paces[len(b.paces)-1].Percent != 0 {
		t.Fatalf("3 s over the target: %+v", b.paces)
	}
	// While a task is left, the pace stays low.
	b.step(event.JobCanceled{ID: filling})
	b.pass(time.Second)
	b.submit(later, "batch", fill)
	b.pass(time.Second)
	if n := len(b.running["w0"]); n != 1 {
		t.Errorf("%d tasks run beside a task over its target, want only that task", n)
	}
	b.step(event.JobCanceled{ID: serving})
	b.pass(2 * time.Second)
	if l := b.running["w0"]; len(l) != 1 || l[0].Task.Job != later {
		t.Errorf("the worker is free, but runs %v", l)
	}
}
