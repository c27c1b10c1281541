package sched

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/work"
)

// TestLeaseAfterIdleTime guards against leases that outlast what the decider and its successors
// take for their end, as the reading of a slow clock is old.
func TestLeaseAfterIdleTime(t *testing.T) {
	for _, rate := range []float64{0.98, 1} {
		for _, idle := range []time.Duration{time.Second, 14 * time.Second, 40 * time.Second, 59 * time.Second, 30 * time.Minute} {
			t.Run(fmt.Sprint(rate, " ", idle), func(t *testing.T) {
				b := newBenchOf(t, 1)
				b.clockRate = rate
				b.list(1)
				b.pass(idle)
				b.holdsBack = "w0"
				b.submit("j", "urgent", work.Step{Count: 1, Demand: work.Amounts{Accelerators: 1}})
				if len(b.starts) == 0 || len(b.heldBack) == 0 {
					t.Fatalf("%d starts and %d Holds are sent, want one of each", len(b.starts), len(b.heldBack))
				}
				b.checkLease(b.starts[0].Sent, b.starts[0].DeadlineMS)
				b.checkLease(b.heldBack[0].Sent, b.heldBack[0].DeadlineMS)
			})
		}
	}
}

// checkLease checks the lease of an order to worker w0 that is sent at a time.
func (b *bench) checkLease(sent time.Duration, deadlineMS int64) {
	b.t.Helper()
	l := time.Duration(float64(deadlineMS-b.clockAt(sent))/b.clockRate) * time.Millisecond
	if known := b.s.Workers["w0"].LeaseEnd - sent; l >= known {
		b.t.Errorf("the lease takes %v, and the decider takes it to have ended after %v", l, known)
	}
	if l > maxHold {
		b.t.Errorf("the lease takes %v, and successors wait for %v", l, maxHold)
	}
	if l < lease/2 {
		b.t.Errorf("the lease takes only %v", l)
	}
}
