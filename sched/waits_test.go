package sched

import (
	"slices"
	"testing"
	"time"

	"citronbridge/assign"
	"citronbridge/event"
	"citronbridge/work"
)

// TestWaitsAreReported checks that a job which waits despite free capacity for it twice is reported with
// the cause, and the state of the pool while any job waits. There are four workers on two racks.
func TestWaitsAreReported(t *testing.T) {
	demand := work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 4}
	for _, x := range []struct {
		cause string
		full  int
		pool  bool
		step  work.Step
	}{
		{assign.CauseRack, 2, false, work.Step{Count: 1, Demand: demand, Affinity: "r0", Estimate: time.Minute}},
		{"", 3, true, work.Step{Count: 1, Demand: demand, Affinity: "r0", Estimate: time.Minute}},
		{"", 4, true, work.Step{Count: 1, Demand: demand, Estimate: time.Minute}},
	} {
		b := newBench(t, 0)
		for i, rack := range []string{"r0", "r0", "r1", "r1"} {
			b.step(event.WorkerListed{Worker: event.Worker{ID: string(rune('a' + i)), Address: "a", StartedMS: 1, Rack: rack, Capacity: work.Amounts{MilliCPU: 16000, MemoryMiB: 64000, Accelerators: 4}}})
		}
		b.pass(100 * time.Millisecond)
		if x.full > 0 {
			b.submit("00000000000000a1", "batch", work.Step{Count: x.full, Demand: demand, LongRunning: true, Affinity: "r0"})
		}
		b.submit("00000000000000b2", "batch", x.step)
		var causes []string
		var pool []event.PoolState
		for end := b.now + 3500*time.Millisecond; b.now < end; b.now += 20 * time.Millisecond {
			l, _ := b.s.Flush(b.clock())
			for _, e := range l {
				switch e := e.(type) {
				case event.JobWaits:
					causes = append(causes, e.Cause)
				case event.PoolState:
					pool = append(pool, e)
				}
			}
			b.perform(l)
		}
		if want := []string{x.cause}; x.cause != "" && !slices.Equal(causes, want) || x.cause == "" && len(causes) > 0 {
			t.Errorf("%d workers are full: reported %v, want %q", x.full, causes, x.cause)
		}
		if free := int64(4 * (4 - x.full)); x.pool && (len(pool) != 1 || pool[0].Jobs != 1 || pool[0].Free != free || pool[0].Workers != 4) {
			t.Errorf("%d workers are full: state of the pool is %+v, want one job, four workers and %d free", x.full, pool, free)
		}
	}
}
