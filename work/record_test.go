package work

import (
	"fmt"
	"testing"
)

// roundTrip returns the record as another decider reads it.
func roundTrip(t *testing.T, r *Record) (*Record, int) {
	t.Helper()
	b, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	c, err := DecodeRecord(b)
	if err != nil {
		t.Fatal(err)
	}
	return c, len(b)
}

// TestRecordOfManyOccurrences guards against a record that outgrows the store's rows, as it
// keeps the steps of all occurrences that are done.
func TestRecordOfManyOccurrences(t *testing.T) {
	const steps, tasks = 10, 3
	r := &Record{State: Running, Queue: "q"}
	for k := range MaxTimes {
		for i := range steps {
			for n := range tasks {
				r.SetPlaced(k, i, n, "w")
				r.SetSaved(TaskKey(k, i, n), "checkpoint")
				r.AddFailure(TaskKey(k, i, n), k)
				r.SetDone(k, i, n)
			}
		}
		// Every tenth occurrence has a step without a record until the next one is done.
		if k%10 > 0 {
			r.SetOccurrenceDone(k)
		}
		if k%10 == 1 {
			r.SetOccurrenceDone(k - 1)
		}
	}
	c, size := roundTrip(t, r)
	if size > maxRecordBytes/4 || c.Unsure {
		t.Errorf("the record has %d bytes, want at most %d; unsure %v", size, maxRecordBytes/4, c.Unsure)
	}
	for k := range MaxTimes {
		if !c.IsDone(k, steps-1, tasks-1) {
			t.Fatalf("a task of occurrence %d isn't done", k)
		}
	}
	if c.IsDone(MaxTimes, 0, 0) || len(c.FailedRuns)+len(c.Saved)+len(c.Placed) > 0 {
		t.Errorf("left in the record: %d failures, %d checkpoints, %d placements", len(c.FailedRuns), len(c.Saved), len(c.Placed))
	}
}

// TestRecordOfUnfinishedOccurrences checks that occurrences that aren't done keep their
// steps, whatever others are done.
func TestRecordOfUnfinishedOccurrences(t *testing.T) {
	r := &Record{State: Running, Queue: "q"}
	const occurrences = 10 * maxDoneSteps
	done := func(k int) bool { return k%7 > 0 }
	for k := range occurrences {
		r.SetDone(k, 0, k%3)
		if done(k) {
			r.SetDone(k, 1, 0)
			r.SetOccurrenceDone(k)
		}
	}
	r, _ = roundTrip(t, r)
	for k := range occurrences {
		for _, x := range []struct {
			step, index int
			want        bool
		}{{0, k % 3, true}, {0, 3, done(k)}, {1, 0, done(k)}} {
			if got := r.IsDone(k, x.step, x.index); got != x.want {
				t.Fatalf("task %s is done: %v, want %v", TaskKey(k, x.step, x.index), got, x.want)
			}
		}
	}
}

// TestFewOccurrencesStayReadable checks that the record of a job with few occurrences holds
// their steps also for versions that know nothing of DoneOccurrences.
func TestFewOccurrencesStayReadable(t *testing.T) {
	r := &Record{State: Running, Queue: "q"}
	for k := range maxDoneSteps / 2 {
		r.SetDone(k, 0, 0)
		r.SetDone(k, 1, 0)
		r.SetOccurrenceDone(k)
	}
	if len(r.Done) != maxDoneSteps {
		t.Errorf("%d steps are left, want %d: %s", len(r.Done), maxDoneSteps, fmt.Sprint(r.Done))
	}
}
