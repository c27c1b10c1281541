package sched

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/fakes/model"
	"citronbridge/work"
)

// startWithWorkers starts a number of workers and a decider.
func (w *world) startWithWorkers(n int) {
	for i := range n {
		id := fmt.Sprintf("w%d%d", i%2, i)
		w.cluster.Add(0, &model.Worker{ID: id, Born: 1, CPU: 16000, Memory: 64000})
		w.listed[id] = true
	}
	w.startDecider(nil)
	w.run(time.Second)
}

// TestPeriodicJobAcrossTakeovers guards against a job of many occurrences whose record
// outgrows the store's rows, and against occurrences that run again under a successor, which
// knows them only from the record.
func TestPeriodicJobAcrossTakeovers(t *testing.T) {
	const occurrences, steps, maxRecord = 120, 10, 4 << 10
	w := newWorld(1, faults{})
	w.faultsUntil = 0
	w.startWithWorkers(4)
	j := &work.Job{ID: "00000000000000aa", Queue: "long", Times: occurrences, Start: wallStart + 1000, Interval: 200 * time.Millisecond}
	var profiles []model.TaskProfile
	for range steps {
		j.Steps = append(j.Steps, work.Step{Count: 1, Demand: work.Amounts{MilliCPU: 100, MemoryMiB: 100}})
		profiles = append(profiles, model.TaskProfile{Work: 20 * time.Millisecond, CPU: 100, Memory: 100})
	}
	j.Spec = model.Spec(profiles...)
	w.accept(j)
	largest := 0
	for range 10 {
		w.run(w.now + 3*time.Second)
		largest = max(largest, len(w.records[j.ID]))
		w.owner().dead = true
		w.startDecider(nil)
	}
	w.run(w.now + 10*time.Second)
	for _, v := range w.violations {
		t.Error(v)
	}
	if w.starts != occurrences*steps || w.stateOf(j.ID) != work.Succeeded {
		t.Errorf("%d starts, want %d; the job is %s", w.starts, occurrences*steps, w.stateOf(j.ID))
	}
	if largest > maxRecord {
		t.Errorf("the record grew to %d bytes, want at most %d", largest, maxRecord)
	}
}

// TestOccurrencesDueAtOnce guards against a decider that runs out of memory, as it opens all
// occurrences of a job whose schedule began long ago. All must run, and no more be open at a
// time than the limits allow, also under a successor.
func TestOccurrencesDueAtOnce(t *testing.T) {
	const occurrences, tasks = 3000, 94
	w := newWorld(1, faults{})
	w.faultsUntil = 0
	w.startWithWorkers(4)
	s := work.Step{Count: tasks, Demand: work.Amounts{MilliCPU: 1000, MemoryMiB: 100}}
	x := model.TaskProfile{Work: time.Second, CPU: 1000, Memory: 100}
	j := &work.Job{ID: "00000000000000aa", Queue: "long", Times: occurrences, Start: wallStart - 1e9, Interval: time.Millisecond, Steps: []work.Step{s}, Spec: model.Spec(x)}
	w.accept(j)
	for _, takeover := range []bool{false, true} {
		if takeover {
			w.owner().dead = true
			w.startDecider(nil)
		}
		starts := w.starts
		w.run(w.now + 5*time.Second)
		open := 0
		for _, st := range w.owner().s.Jobs[j.ID].Steps {
			open += len(st.Tasks)
		}
		if open == 0 || open > work.MaxTasks+tasks {
			t.Errorf("takeover %v: %d tasks are open, want at most %d", takeover, open, work.MaxTasks+tasks)
		}
		if n := w.starts - starts; n < 64 {
			t.Errorf("takeover %v: %d starts in 5 s, want 64 at least", takeover, n)
		}
	}
	for _, v := range w.violations {
		t.Error(v)
	}
}

// TestFewOpenOccurrences runs jobs of many occurrences with few open at a time, while deciders
// are replaced: each task must run once, and the job end.
func TestFewOpenOccurrences(t *testing.T) {
	const occurrences = 40
	for seed := range uint64(20) {
		w := newWorld(seed, faults{})
		w.faultsUntil = 0
		w.maxOpenSteps = 6
		w.startWithWorkers(3)
		demand := work.Amounts{MilliCPU: 1000, MemoryMiB: 1000}
		j := &work.Job{ID: "00000000000000aa", Queue: "long", Times: occurrences, Start: wallStart, Interval: 50 * time.Millisecond, Steps: []work.Step{
			{Count: 2, Demand: demand}, {Count: 3, Demand: demand, Gang: true, After: []int{0}}, {Count: 1, Demand: demand},
		}}
		gang := model.TaskProfile{Work: w.random(10*time.Millisecond, time.Second), Gang: 3, CPU: 1000, Memory: 1000}
		single := model.TaskProfile{Work: w.random(10*time.Millisecond, time.Second), CPU: 1000, Memory: 1000}
		j.Spec = model.Spec(single, gang, single)
		w.accept(j)
		for range 6 {
			w.run(w.now + w.random(500*time.Millisecond, 3*time.Second))
			w.owner().dead = true
			w.startDecider(nil)
		}
		w.run(w.now + 2*time.Minute)
		for _, v := range w.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		if s := w.stateOf(j.ID); s != work.Succeeded {
			t.Errorf("seed %d: the job is %s after %d starts", seed, s, w.starts)
		}
		for k := range occurrences {
			for i, s := range j.Steps {
				for n := range s.Count {
					if id := (work.TaskID{Job: j.ID, Occurrence: k, Step: i, Index: n}).String(); len(w.doneRuns[id]) != 1 {
						t.Fatalf("seed %d: task %s was done %d times", seed, id, len(w.doneRuns[id]))
					}
				}
			}
		}
	}
}

// TestLateRunOfDoneOccurrence guards against a worker that gets no tasks, as it reports a run
// of an occurrence that is done: the run must be stopped, and hold no more than its demand.
func TestLateRunOfDoneOccurrence(t *testing.T) {
	b := newBench(t, 2)
	s := work.Step{Count: 1, Demand: work.Amounts{MilliCPU: 1000, MemoryMiB: 1000}, Estimate: time.Minute}
	j := &work.Job{ID: "00000000000000aa", Queue: "batch", Times: 2, Start: wallStart - 1000, Interval: time.Hour, Steps: []work.Step{s}}
	b.step(event.JobAdded{Job: j, Record: &work.Record{State: work.Pending, Queue: "batch"}})
	b.pass(200 * time.Millisecond)
	if len(b.starts) != 1 {
		t.Fatalf("%d starts, want 1", len(b.starts))
	}
	first := b.starts[0]
	b.end(first.Worker, first.Task, event.Done)
	b.pass(time.Second)
	if n := b.s.Jobs[j.ID].FirstOccurrence; n != 1 {
		t.Fatalf("the first occurrence in memory is %d, want 1", n)
	}
	other := "w0"
	if first.Worker == other {
		other = "w1"
	}
	b.loseStops = true
	b.running[other] = append(b.running[other], event.Running{Task: first.Task, Run: first.Run + 1})
	b.submit("00000000000000bb", "batch", work.Step{Count: 1, Demand: s.Demand, LongRunning: true, AntiAffinity: 1})
	b.submit("00000000000000cc", "batch", work.Step{Count: 2, Demand: s.Demand, LongRunning: true, AntiAffinity: 1})
	b.pass(time.Second)
	if used := b.s.Workers[other].Used; len(b.stops) == 0 || used.MilliCPU > 3*s.Demand.MilliCPU {
		t.Errorf("%d stops were sent; %s has %+v in use", len(b.stops), other, used)
	}
	if n := len(b.starts); n != 4 {
		t.Errorf("%d starts, want 4", n)
	}
}
