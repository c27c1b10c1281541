package sched

import (
	"testing"
	"time"

	"citronbridge/work"
)

// TestGuaranteeIsReclaimed fills a pool with urgent work of one account, far beyond its
// guarantee. Urgent gangs within another account's guarantee must get their room at once,
// and the first account must keep what it is guaranteed.
func TestGuaranteeIsReclaimed(t *testing.T) {
	one := func(n int) work.Step {
		return work.Step{Count: n, Demand: work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 1}}
	}
	gang := work.Step{Count: 2, Demand: work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 4}, Gang: true}
	for _, bound := range []time.Duration{0, 2700 * time.Millisecond} {
		reclaim(t, bound, one, gang)
	}
}

// reclaim runs TestGuaranteeIsReclaimed with a bound on reclaims, 0 for none. While the
// gang waits, no event triggers a placement.
func reclaim(t *testing.T, bound time.Duration, singleTasks func(int) work.Step, gang work.Step) {
	t.Helper()
	b := newBench(t, 4)
	b.s.Config.ReclaimTime = bound
	b.s.Rules.Accounts = map[string]*work.Account{"large": {Name: "large", Guaranteed: 8}, "small": {Name: "small", Guaranteed: 8}}
	b.submitFor("large", "00000000000000a1", "urgent", singleTasks(16))
	if n := b.setProgress("00000000000000a1", 10, 0); n != 16 {
		t.Fatalf("%d of 16 tasks run on a pool that nobody else uses", n)
	}
	b.submitFor("large", "00000000000000a2", "urgent", singleTasks(4))
	b.submitFor("small", "00000000000000b1", "urgent", gang)
	// The submission took 200 ms.
	b.pass(max(bound, time.Second) - 200*time.Millisecond)
	if n := b.setProgress("00000000000000b1", 10, 0); n != 2 {
		t.Errorf("%d of 2 gang members within a guarantee run", n)
	}
	if n := b.setProgress("00000000000000a1", 10, 0); n != 8 {
		t.Errorf("the borrowing account runs %d tasks, its guarantee is 8", n)
	}
	// Both have what they are guaranteed, so more of either must wait.
	stops := len(b.stops)
	b.submitFor("small", "00000000000000b2", "urgent", gang)
	b.pass(bound + time.Second)
	if len(b.stops) != stops {
		t.Errorf("%d runs within a guarantee were stopped", len(b.stops)-stops)
	}
}
