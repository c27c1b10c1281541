package sched

import (
	"testing"
	"time"

	"citronbridge/work"
)

// TestReservationOfIdleWorkers guards against jobs that never start on idle workers, as these
// are reserved for a gang that waits for a run that doesn't end, or not for long. In a pool in
// use, reserved room that is there only once stays reserved.
func TestReservationOfIdleWorkers(t *testing.T) {
	const workers = 4
	demand := work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 4}
	for _, x := range []struct {
		name     string
		blocking work.Step
		estimate time.Duration
		// accelerators is the demand of the small job.
		accelerators int64
		// soon, bounded and later are the numbers of small jobs that run at once, 3 s later and
		// 11 s later.
		soon, bounded, later int
	}{
		{"long-running task", work.Step{Count: 1, LongRunning: true}, 0, 1, 1, 1, 1},
		{"two long-running tasks", work.Step{Count: 2, LongRunning: true}, 0, 1, 1, 1, 1},
		{"task with a long estimate", work.Step{Count: 1, Estimate: time.Hour}, 0, 1, 0, 1, 1},
		{"task without an estimate", work.Step{Count: 1}, 0, 1, 0, 1, 1},
		{"task without an estimate, backfill", work.Step{Count: 1}, time.Second, 1, 0, 1, 1},
		{"task with a long estimate, backfill", work.Step{Count: 1, Estimate: time.Hour}, time.Minute, 1, 1, 1, 1},
		{"pool in use, room twice", work.Step{Count: 3, Estimate: time.Hour}, 0, 2, 0, 1, 1},
		{"pool in use, room once", work.Step{Count: 3, Estimate: time.Hour}, 0, 3, 0, 0, 0},
	} {
		b := newBench(t, workers)
		x.blocking.Demand = demand
		b.submit("00000000000000a1", "batch", x.blocking)
		b.submit("00000000000000a2", "normal", work.Step{Count: workers, Demand: demand, Gang: true, Estimate: time.Second})
		if len(b.starts) != x.blocking.Count {
			t.Fatalf("%s: %d starts, want %d", x.name, len(b.starts), x.blocking.Count)
		}
		b.submit("00000000000000a3", "batch", work.Step{Count: 1, Demand: work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: x.accelerators}, Estimate: x.estimate})
		running := func() int {
			n := 0
			for _, s := range b.starts {
				if s.Task.Job == "00000000000000a3" {
					n = 1
				}
			}
			return n
		}
		if n := running(); n != x.soon {
			t.Errorf("%s: %d small jobs run at once, want %d", x.name, n, x.soon)
		}
		b.pass(3 * time.Second)
		if n := running(); n != x.bounded {
			t.Errorf("%s: %d small jobs run 3 s later, want %d", x.name, n, x.bounded)
		}
		b.pass(8 * time.Second)
		if n := running(); n != x.later {
			t.Errorf("%s: %d small jobs run 11 s later, want %d", x.name, n, x.later)
		}
	}
}
