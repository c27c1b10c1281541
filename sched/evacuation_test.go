package sched

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/track"
	"citronbridge/work"
)

// listIn adds a worker with four accelerators in a data centre, on its rack.
func (b *bench) listIn(id, dataCentre string) {
	b.step(event.WorkerListed{Worker: event.Worker{
		ID: id, Address: "a", StartedMS: 1, Rack: "r-" + dataCentre, DataCentre: dataCentre, Capacity: work.Amounts{MilliCPU: 16000, MemoryMiB: 64000, Accelerators: 4},
	}})
}

// newBenchOfTwo returns a bench with the workers w0 and w1 in the data centre a, w2 and w3 in b.
func newBenchOfTwo(t *testing.T, epoch int64) *bench {
	b := newBenchOf(t, epoch)
	for i := range 4 {
		b.listIn(fmt.Sprint("w", i), string("ab"[i/2]))
	}
	b.pass(100 * time.Millisecond)
	return b
}

func (b *bench) evacuate(dataCentres ...string) {
	b.step(event.EvacuationsChanged{DataCentres: dataCentres})
}

// startsIn counts the starts sent to workers of a data centre.
func (b *bench) startsIn(dataCentre string) int {
	n := 0
	for _, e := range b.starts {
		if e.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

func full(count int) work.Step {
	return work.Step{Count: count, Demand: work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 4}}
}

// TestNoStartInEvacuatedDataCentre guards against starts in an evacuated data centre, of
// single tasks, of gangs and within a guarantee, and against work that stays away once the
// request is withdrawn.
func TestNoStartInEvacuatedDataCentre(t *testing.T) {
	for _, c := range []struct {
		name  string
		step  work.Step
		queue string
		// before is how many starts there are while a is evacuated, after how many in all.
		before, after int
	}{
		{"single tasks", full(4), "batch", 2, 4},
		{"urgent tasks", full(4), "urgent", 2, 4},
		{"gang that fits elsewhere", work.Step{Count: 2, Demand: full(1).Demand, Gang: true}, "batch", 2, 2},
		{"gang that needs both", work.Step{Count: 4, Demand: full(1).Demand, Gang: true}, "batch", 0, 4},
		{"task whose data is there", work.Step{Count: 1, Demand: full(1).Demand, Affinity: "r-a", Estimate: time.Hour}, "batch", 1, 1},
		{"gang slow on several racks whose data is there", work.Step{Count: 2, Demand: full(1).Demand, Affinity: "r-a", SameRack: true, Gang: true, Estimate: time.Hour}, "urgent", 2, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBenchOfTwo(t, 1)
			// Workers with runs are among those that placement looks at.
			b.submit("00000000000000bb", "urgent", work.Step{Count: 2, AntiAffinity: 1, Affinity: "r-a", Demand: work.Amounts{MilliCPU: 1000}, Estimate: time.Hour})
			if n := b.startsIn("a"); n != 2 {
				t.Fatalf("%d of 2 tasks run in a", n)
			}
			b.starts = nil
			b.evacuate("a")
			b.submit("00000000000000aa", c.queue, c.step)
			b.pass(2 * time.Second)
			if n := b.startsIn("a"); n != 0 || len(b.starts) != c.before {
				t.Fatalf("%d starts, %d of them in the evacuated data centre; want %d elsewhere", len(b.starts), n, c.before)
			}
			b.evacuate()
			b.pass(200 * time.Millisecond)
			if len(b.starts) != c.after {
				t.Errorf("%d starts after the withdrawal, want %d", len(b.starts), c.after)
			}
		})
	}
}

// TestRunsContinueInEvacuatedDataCentre guards against discarded work: runs that have
// started stay, and a long-running task that ends there starts elsewhere.
func TestRunsContinueInEvacuatedDataCentre(t *testing.T) {
	b := newBenchOfTwo(t, 1)
	b.submit("00000000000000aa", "batch", work.Step{Count: 2, Demand: full(1).Demand, LongRunning: true, MayMiss: 2})
	in := b.startsIn("a")
	b.evacuate("a", "b")
	b.pass(15 * time.Second)
	if len(b.starts) != 2 || len(b.stops) != 0 {
		t.Fatalf("%d starts and %d stops, want the two first starts only (%d in a)", len(b.starts), len(b.stops), in)
	}
	first := b.starts[0]
	other := map[string]string{"a": "b", "b": "a"}[first.DataCentre]
	b.evacuate(first.DataCentre)
	b.end(first.Worker, first.Task, event.Lapsed)
	b.pass(6 * time.Second)
	if n := len(b.starts); n != 3 || b.starts[2].DataCentre != other {
		t.Errorf("starts after the end of a run in %s: %v", first.DataCentre, b.starts[2:])
	}
}

// TestNoRoomInEvacuatedDataCentre guards against reports and waivers of jobs that wait with
// room only in an evacuated data centre.
func TestNoRoomInEvacuatedDataCentre(t *testing.T) {
	b := newBenchOfTwo(t, 1)
	b.evacuate("a", "b")
	b.submit("00000000000000aa", "batch", full(1))
	b.pass(5 * time.Second)
	if at := b.s.Jobs["00000000000000aa"].Steps[0].RoomSince; at != 0 || len(b.starts) != 0 {
		t.Errorf("room since %v, %d starts", at, len(b.starts))
	}
}

// TestUnsentStartsAreWithdrawn requests an evacuation while starts wait: for the record that
// says where they are, and for the window. None may be sent to the data centre, and all tasks
// must run elsewhere; of a gang of which a member wasn't sent, all members.
func TestUnsentStartsAreWithdrawn(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %v", gang), func(t *testing.T) {
			b := newBenchOfTwo(t, 1)
			s := work.Step{Count: 2, Demand: work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 3}, Gang: gang, Affinity: "r-a", Estimate: time.Hour}
			b.s.Handle(b.clock(), event.JobAdded{Job: &work.Job{ID: "00000000000000aa", Queue: "batch", Steps: []work.Step{s}}, Record: &work.Record{State: work.Pending, Queue: "batch"}})
			l, _ := b.s.Flush(b.clock())
			if n := len(b.s.Workers["w0"].Runs) + len(b.s.Workers["w1"].Runs); n != 2 {
				t.Fatalf("%d runs are decided in a, want 2", n)
			}
			b.evacuate("a")
			b.perform(l)
			b.pass(time.Second)
			if n := b.startsIn("a"); n != 0 || len(b.starts) != 2 {
				t.Errorf("%d starts, %d of them in a", len(b.starts), n)
			}
		})
	}
}

// TestEvacuationsTakenOver guards against starts by a successor that gets the set of
// evacuations, and against a former set that stays in force beside a newer one.
func TestEvacuationsTakenOver(t *testing.T) {
	b := newBenchOf(t, 2)
	b.evacuate("a")
	for i := range 4 {
		b.listIn(fmt.Sprint("w", i), string("ab"[i/2]))
	}
	b.submit("00000000000000aa", "batch", full(4))
	b.pass(time.Second)
	if n := b.startsIn("a"); n != 0 || len(b.starts) != 2 {
		t.Fatalf("%d starts, %d of them in a", len(b.starts), n)
	}
	b.evacuate("b")
	b.pass(time.Second)
	if n := b.startsIn("a"); n != 2 {
		t.Errorf("%d starts in a once only b is evacuated, want 2", n)
	}
}

// TestEvacuationIsAnnounced checks when the log says that an evacuation is in effect: once no
// start that was sent to the data centre is unanswered, and once for each request.
func TestEvacuationIsAnnounced(t *testing.T) {
	b := newBenchOfTwo(t, 1)
	announced := func() int {
		n := 0
		l, _ := b.s.Flush(b.clock())
		for _, e := range l {
			if x, ok := e.(event.LogEntry); ok && strings.Contains(x.Text, "evacuation of data centre a is in effect") {
				n++
			}
		}
		b.perform(l)
		b.now += 20 * time.Millisecond
		return n
	}
	b.submit("00000000000000aa", "batch", full(1))
	r := b.s.Workers[b.starts[0].Worker].SortedRuns()[0]
	phase := r.Phase
	r.Phase, r.AwaitingAnswer, r.InFlight = 1, true, true
	dc := r.Worker.DataCentre
	b.evacuate("a")
	if n := announced(); (n == 0) != (dc == "a") {
		t.Errorf("announced %d times while a start in %s is unanswered", n, dc)
	}
	r.Phase, r.AwaitingAnswer, r.InFlight = phase, false, false
	n := 0
	for range 10 {
		n += announced()
	}
	if want := map[string]int{"a": 1, "b": 0}[dc]; n != want {
		t.Errorf("announced %d times once the start is answered, want %d", n, want)
	}
	b.evacuate()
	b.evacuate("a")
	if n := announced(); n != 1 {
		t.Errorf("announced %d times after another request, want once", n)
	}
}

// TestColdWorkersComeLast guards against tasks on cold workers while warm ones have room, and
// against cold workers that get no tasks at all.
func TestColdWorkersComeLast(t *testing.T) {
	b := newBenchOf(t, 1)
	for i := range 3 {
		e := event.Worker{ID: fmt.Sprint("w", i), Address: "a", StartedMS: 1, Rack: "r", Capacity: work.Amounts{MilliCPU: 16000, MemoryMiB: 64000, Accelerators: 4}}
		if i < 2 {
			e.ColdFor = time.Duration(i+1) * time.Minute
		}
		b.step(event.WorkerListed{Worker: e})
	}
	b.pass(100 * time.Millisecond)
	b.submit("00000000000000aa", "batch", full(1))
	b.submit("00000000000000bb", "batch", full(1))
	if got := []string{b.starts[0].Worker, b.starts[1].Worker}; !slices.Equal(got, []string{"w2", "w0"}) {
		t.Errorf("workers %v, want the warm one first", got)
	}
}

// TestTaskOfUnansweredStart guards against a task that runs twice, or never, because its start in
// a data centre had no answer when that was evacuated: it must run elsewhere once the stop is
// confirmed or the lease has ended, and not before, unless a report shows that it runs.
func TestTaskOfUnansweredStart(t *testing.T) {
	for _, c := range []struct {
		name string
		// carriedOut: the worker runs the task. stopLost: stops have no answer. gone: the worker
		// doesn't answer Holds either.
		carriedOut, stopLost, gone bool
		// notBefore and by bound the start elsewhere, after the request. Both are 0 for none.
		notBefore, by time.Duration
	}{
		{"not carried out", false, false, false, 0, 500 * time.Millisecond},
		{"carried out, and stopped", true, false, false, 0, time.Second},
		{"stop has no answer", false, true, true, lease, lease + 2*time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBenchOfTwo(t, 1)
			b.losesStarts = true
			s := full(1)
			s.Affinity, s.Estimate = "r-a", time.Hour
			b.step(event.JobAdded{Job: &work.Job{ID: "00000000000000aa", Queue: "batch", Steps: []work.Step{s}}, Record: &work.Record{State: work.Pending, Queue: "batch"}})
			b.pass(40 * time.Millisecond)
			if b.startsIn("a") != 1 || len(b.starts) != 1 {
				t.Fatalf("starts %v, want one in a", b.starts)
			}
			first := b.starts[0]
			if c.carriedOut {
				b.running[first.Worker] = []event.Running{{Task: first.Task, Run: first.Run}}
			}
			b.losesStarts, b.loseStops = false, c.stopLost
			if c.gone {
				b.unresponsive = first.Worker
			}
			at := b.now
			b.evacuate("a")
			for b.now < at+c.by && len(b.starts) == 1 {
				b.pass(20 * time.Millisecond)
			}
			if n := b.startsIn("a"); n != 1 || len(b.starts) != 2 {
				t.Fatalf("%d starts, %d of them in a, want another one in b by %v", len(b.starts), n, c.by)
			}
			if d := b.now - at; d < c.notBefore {
				t.Errorf("started elsewhere after %v, want not before %v", d, c.notBefore)
			}
			if len(b.stops) == 0 || len(b.running[first.Worker]) != 0 {
				t.Errorf("%d stops, still running there: %v", len(b.stops), b.running[first.Worker])
			}
		})
	}
}

// TestSetStaysWithoutStore guards against a set of evacuations that ends while the decider can't
// prove its ownership, as when the store is unavailable.
func TestSetStaysWithoutStore(t *testing.T) {
	b := newBenchOfTwo(t, 1)
	b.evacuate("a")
	for _, l := range []track.Limits{{NoStarts: true}, {NoStarts: true, NoOrders: true}, {}} {
		b.s.SetLimits(l)
		b.pass(2 * time.Second)
	}
	b.submit("00000000000000aa", "batch", full(4))
	if n := b.startsIn("a"); n != 0 || len(b.starts) != 2 {
		t.Errorf("%d starts, %d of them in a", len(b.starts), n)
	}
}
