package sched

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/work"
)

// startedJob reports whether a start of a job was ordered.
func (b *bench) startedJob(job string) bool {
	for _, s := range b.starts {
		if s.Task.Job == job {
			return true
		}
	}
	return false
}

// TestStarvationDespiteClaimedRoom guards against a small job that starves beside five idle
// workers of six, as a run that is stopped for an urgent gang takes its time to end.
func TestStarvationDespiteClaimedRoom(t *testing.T) {
	demand := work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 4}
	small := work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 1}
	b := newBench(t, 6)
	b.submit("00000000000000a1", "batch", work.Step{Count: 1, Demand: demand, Estimate: time.Hour})
	b.pass(time.Second)
	b.loseStops = true
	b.submit("00000000000000a2", "urgent", work.Step{Count: 6, Demand: demand, Gang: true, Estimate: time.Hour})
	b.submit("00000000000000a3", "batch", work.Step{Count: 1, Demand: small, Estimate: time.Minute})
	began := b.now
	for b.now < began+20*time.Second && !b.startedJob("00000000000000a3") {
		b.pass(20 * time.Millisecond)
	}
	if len(b.stops) == 0 {
		t.Fatal("the urgent gang stops nothing")
	}
	if d := b.now - began; d > 3*time.Second {
		t.Errorf("the small job waited for %v beside five idle workers of six", d)
	}
}

// TestRoomThatWasGone guards against room that counts as there all the time although it was missing
// for longer than a moment: the single worker that becomes free is reserved for a gang.
func TestRoomThatWasGone(t *testing.T) {
	demand := work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 4}
	b := newBench(t, 4)
	b.submit("00000000000000a1", "batch", work.Step{Count: 2, Demand: demand, Estimate: time.Hour})
	b.submit("00000000000000a2", "normal", work.Step{Count: 4, Demand: demand, Gang: true, Estimate: time.Second})
	b.submit("00000000000000a3", "batch", work.Step{Count: 1, Demand: demand, Estimate: time.Hour})
	b.pass(1900 * time.Millisecond)
	// Two urgent tasks take the room.
	b.submit("00000000000000a4", "urgent", work.Step{Count: 2, Demand: demand, Estimate: time.Hour})
	n := len(b.starts)
	b.pass(700 * time.Millisecond)
	if n != len(b.starts) || n != 4 {
		t.Fatalf("%d starts, then %d, want 4: %+v", n, len(b.starts), b.starts)
	}
	s := b.starts[3]
	b.end(s.Worker, s.Task, event.Done)
	b.pass(600 * time.Millisecond)
	if b.startedJob("00000000000000a3") {
		t.Error("the job took reserved room that was there only once, after a second without room")
	}
}

// TestRackThatIsClosedForAMoment guards against a task that doesn't run near its data as the
// preferred rack's workers, which have runs, take no tasks for a moment.
func TestRackThatIsClosedForAMoment(t *testing.T) {
	demand := work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 2}
	b := newBenchOf(t, 1)
	for i, rack := range []string{"r0", "r1"} {
		b.step(event.WorkerListed{Worker: event.Worker{ID: fmt.Sprint("w", i), Address: "a", StartedMS: 1, Rack: rack, Capacity: work.Amounts{MilliCPU: 16000, MemoryMiB: 64000, Accelerators: 4}}})
	}
	b.pass(100 * time.Millisecond)
	b.submit("00000000000000a0", "batch", work.Step{Count: 1, Demand: work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 1}, Affinity: "r0", Estimate: time.Hour})
	b.s.Workers["w0"].ClosedUntil = b.now + 200*time.Millisecond
	b.submit("00000000000000a1", "batch", work.Step{Count: 1, Demand: demand, Affinity: "r0", Estimate: time.Minute})
	b.pass(time.Second)
	if len(b.starts) != 2 || b.starts[1].Worker != "w0" {
		t.Errorf("starts %+v, want both on w0", b.starts)
	}
}

// TestRoomThatFlickers guards against a job whose wait begins anew each time that the only worker
// with room leaves calls without an answer for 0.8 s. Its preferred rack is full.
func TestRoomThatFlickers(t *testing.T) {
	demand := work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 4}
	half := work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 1}
	b := newBenchOf(t, 1)
	for i, rack := range []string{"r0", "r1"} {
		b.step(event.WorkerListed{Worker: event.Worker{ID: fmt.Sprint("w", i), Address: "a", StartedMS: 1, Rack: rack, Capacity: work.Amounts{MilliCPU: 16000, MemoryMiB: 64000, Accelerators: 4}}})
	}
	b.pass(100 * time.Millisecond)
	b.submit("00000000000000a0", "batch", work.Step{Count: 1, Demand: demand, Affinity: "r0", Estimate: time.Hour})
	b.submit("00000000000000a1", "batch", work.Step{Count: 1, Demand: half, Affinity: "r0", Estimate: time.Minute})
	began := b.now
	for b.now < began+30*time.Second && !b.startedJob("00000000000000a1") {
		b.unresponsive = ""
		b.pass(2000 * time.Millisecond)
		b.unresponsive = "w1"
		b.pass(800 * time.Millisecond)
	}
	if d := b.starts[len(b.starts)-1].Call.Sent - began; len(b.starts) < 2 || d > 3*time.Second {
		t.Errorf("the job waited for %v beside an idle worker", d)
	}
}
