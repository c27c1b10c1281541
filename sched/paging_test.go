package sched

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"citronbridge/fakes/model"
	"citronbridge/work"
)

// Jobs of a pagedWorld, in different partitions.
const (
	pagedJobA = "00000000000000a1"
	pagedJobB = "00000000000000a2"
)

// pagedStarts is the number of tasks of a pagedWorld.
const pagedStarts = 5

// pagedWorld returns a world without random faults, in which a worker lists at most two ends
// at a time. The only worker runs two jobs, whose tasks end one second after their starts:
// the two of the first job, and then the three of the second.
func pagedWorld(t *testing.T) *world {
	w := newWorld(1, faults{})
	w.faultsUntil = 0
	w.tracing = true
	w.cluster.EndsPerPage = 2
	w.cluster.Add(0, &model.Worker{ID: "w00", Born: 1, CPU: 16000, Memory: 64000})
	w.listed["w00"] = true
	w.startDecider(nil)
	w.run(time.Second)
	for i, id := range []string{pagedJobA, pagedJobB} {
		s := work.Step{Count: i + 2, Demand: work.Amounts{MilliCPU: 1000, MemoryMiB: 1000}}
		x := model.TaskProfile{Work: time.Second, CPU: 1000, Memory: 1000}
		w.accept(&work.Job{ID: id, Queue: "long", Spec: model.Spec(x), Steps: []work.Step{s}})
		w.run(w.now + 100*time.Millisecond)
	}
	w.run(1900 * time.Millisecond)
	if w.starts != pagedStarts || len(w.doneRuns) > 0 {
		t.Fatalf("%d tasks have started and %d have ended, want %d and 0", w.starts, len(w.doneRuns), pagedStarts)
	}
	return w
}

// checkPaged checks that each task of a pagedWorld ran once.
func checkPaged(t *testing.T, w *world) {
	t.Helper()
	for _, v := range w.violations {
		t.Error(v)
	}
	a, b := w.stateOf(pagedJobA), w.stateOf(pagedJobB)
	if w.starts != pagedStarts || a != work.Succeeded || b != work.Succeeded {
		t.Errorf("%d starts, want %d; the jobs are %s and %s\n%s", w.starts, pagedStarts, a, b, strings.Join(w.trace, "\n"))
	}
}

// TestEndsBeyondFirstPage guards against tasks that run again after they were done: while
// the store is away, a worker lists only the first of its ends.
func TestEndsBeyondFirstPage(t *testing.T) {
	w := pagedWorld(t)
	w.storeUp = false
	w.after(4500*time.Millisecond, func() { w.storeUp = true })
	w.run(20 * time.Second)
	checkPaged(t, w)
}

// TestSuccessorWaitsForEndsBeyondFirstPage guards against a successor that runs tasks again
// whose ends aren't on the first page of their worker: those on it belong to a partition
// that isn't loaded yet, some of the time for longer than unresponsive workers are waited for.
func TestSuccessorWaitsForEndsBeyondFirstPage(t *testing.T) {
	for _, d := range []time.Duration{3 * time.Second, maxHold + 4*time.Second} {
		t.Run(fmt.Sprint(d), func(t *testing.T) {
			w := pagedWorld(t)
			w.owner().dead = true
			w.run(3 * time.Second)
			w.unavailable = partitionOf(pagedJobA)
			w.startDecider(nil)
			w.run(w.now + d)
			w.unavailable = ""
			w.run(w.now + 10*time.Second)
			checkPaged(t, w)
		})
	}
}

// TestLostWorkerWithEndsLeft guards against tasks that never run again: their worker is lost
// for good before it has listed all ends.
func TestLostWorkerWithEndsLeft(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		w := pagedWorld(t)
		w.storeUp = takeover
		if takeover {
			w.owner().dead = true
			w.run(3 * time.Second)
			w.unavailable = partitionOf(pagedJobA)
			w.startDecider(nil)
		}
		w.run(w.now + 2*time.Second)
		w.cluster.Crash("w00")
		w.unlist("w00")
		w.storeUp, w.unavailable = true, ""
		w.cluster.Add(w.now, &model.Worker{ID: "w01", Born: 1, CPU: 16000, Memory: 64000})
		w.cluster.AddMachine("m01", "p", "w01")
		w.list("w01")
		w.run(w.now + 2*maxHold)
		for _, v := range w.violations {
			t.Errorf("takeover %v: %s", takeover, v)
		}
		if a, b := w.stateOf(pagedJobA), w.stateOf(pagedJobB); a != work.Succeeded || b != work.Succeeded {
			t.Errorf("takeover %v: the jobs are %s and %s", takeover, a, b)
		}
		if w.owner().s.Workers["w00"] != nil {
			t.Errorf("takeover %v: the lost worker isn't forgotten", takeover)
		}
	}
}

// pagedSchedules is the number of seeds that TestSchedulesWithPagedEnds plays.
const pagedSchedules = 300

// TestSchedulesWithPagedEnds runs schedules in which workers list one or two ends at a time.
func TestSchedulesWithPagedEnds(t *testing.T) {
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for seed := range uint64(pagedSchedules) {
		g.Go(func() error {
			w := newWorld(seed, faults{})
			w.cluster.EndsPerPage = 1 + int(seed%2)
			if w.play(seed); len(w.violations) > 0 {
				t.Errorf("seed %d: %s", seed, w.violations[0])
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
}
