package repo

import (
	"context"
	"errors"
	"testing"

	"citronbridge/work"
)

// lostSubmission submits a job to m, which neither carries out the write nor answers it, and
// returns the write.
func lostSubmission(t *testing.T, m *memoryStore) Change {
	t.Helper()
	var lost Change
	m.intercept = func(_ int, c Change) (bool, error) {
		lost = c
		return false, errAnswerLost
	}
	ctx, cancel := context.WithTimeout(t.Context(), retryInterval/2)
	defer cancel()
	if v, _ := New(m, fixedHealth(false)).Submit(ctx, anyone, testJob()); v != Ambiguous {
		t.Fatalf("submission without an answer: %s", v)
	}
	m.intercept = nil
	return lost
}

// record returns the stored record of jobID, or nil.
func (m *memoryStore) record(t *testing.T) *work.Record {
	t.Helper()
	row, ok := m.rows[rowID(TableRecords, PartitionOf(TableRecords, jobID), jobID)]
	if !ok {
		return nil
	}
	rec, err := work.DecodeRecord(row.Value)
	if err != nil {
		t.Fatal(err)
	}
	return rec
}

// hasJob reports whether the row of jobID is stored, so that a decider runs the job.
func (m *memoryStore) hasJob() bool {
	_, ok := m.rows[rowID(TableJobs, PartitionOf(TableJobs, jobID), jobID)]
	return ok
}

// TestCancelStopsLostSubmission guards against a job that runs after its cancellation was
// answered: the submission had no answer, the store had no such job yet when the job was
// cancelled, and it carried out the submission later.
func TestCancelStopsLostSubmission(t *testing.T) {
	m := newMemoryStore()
	lost := lostSubmission(t, m)
	r := New(m, fixedHealth(false))
	for range 2 {
		if v, err := r.Cancel(t.Context(), anyone, jobID); v != Absent {
			t.Fatalf("cancelling a job that isn't stored: %s, %v", v, err)
		}
	}
	if a := m.apply(lost); a.Applied || m.hasJob() {
		t.Error("the submission is stored after the cancellation was answered")
	}
	if _, v, err := r.Record(t.Context(), anyone, jobID); v != Absent {
		t.Errorf("the state of a job that was never stored: %s, %v", v, err)
	}
}

// TestSubmissionAfterCancel checks that a job that was cancelled before it was stored is
// stored as cancelled, by the first submission with an answer.
func TestSubmissionAfterCancel(t *testing.T) {
	m := newMemoryStore()
	r := New(m, fixedHealth(false))
	if v, err := r.Cancel(t.Context(), anyone, jobID); v != Absent {
		t.Fatal(v, err)
	}
	for range 2 {
		if v, err := r.Submit(t.Context(), anyone, testJob()); v != Done {
			t.Fatal(v, err)
		}
		rec, v, err := r.Record(t.Context(), anyone, jobID)
		if v != Done || rec.State != work.Canceled || rec.Queue != "q" || m.hasJob() {
			t.Errorf("%+v, %s, %v; job stored: %v", rec, v, err, m.hasJob())
		}
	}
	if v, err := r.Cancel(t.Context(), anyone, jobID); v != Done {
		t.Error(v, err)
	}
}

// TestCancelBeforeStored checks the verdict of cancelling a job that isn't stored, and what
// it leaves, for refused writes, lost answers and a submission that is stored meanwhile.
func TestCancelBeforeStored(t *testing.T) {
	for _, x := range []struct {
		name string
		// intercept decides on the n-th change after the lost submission.
		intercept func(m *memoryStore, lost Change, n int) (bool, error)
		want      Verdict
		record    bool
	}{
		{"answer lost, carried out", func(_ *memoryStore, _ Change, n int) (bool, error) {
			if n == 1 {
				return true, errAnswerLost
			}
			return true, nil
		}, Absent, true},
		{"answer lost, not carried out", func(_ *memoryStore, _ Change, n int) (bool, error) {
			if n == 1 {
				return false, errAnswerLost
			}
			return true, nil
		}, Absent, true},
		{"answers lost always", func(*memoryStore, Change, int) (bool, error) { return false, errAnswerLost }, Ambiguous, false},
		{"refused always", func(*memoryStore, Change, int) (bool, error) { return false, ErrNotDone }, NotRun, false},
		{"submission stored meanwhile", func(m *memoryStore, lost Change, n int) (bool, error) {
			if n == 1 {
				m.apply(lost)
			}
			return true, nil
		}, Done, true},
	} {
		m := newMemoryStore()
		lost := lostSubmission(t, m)
		m.calls = 0
		m.intercept = func(n int, _ Change) (bool, error) { return x.intercept(m, lost, n) }
		ctx, cancel := context.WithTimeout(t.Context(), 4*retryInterval)
		v, err := New(m, fixedHealth(false)).Cancel(ctx, anyone, jobID)
		cancel()
		if v != x.want || (m.record(t) != nil) != x.record {
			t.Errorf("%s: %s with record %+v, want %s; error %v", x.name, v, m.record(t), x.want, err)
		}
		if (v == Ambiguous || v == NotRun) != (err != nil) || v == NotRun && !errors.Is(err, ErrNotDone) {
			t.Errorf("%s: %s with error %v", x.name, v, err)
		}
		if row := m.rows[rowID(TableCancels, PartitionOf(TableCancels, jobID), jobID)]; x.record && row.Version == 0 {
			t.Errorf("%s: no cancellation is stored", x.name)
		}
		m.apply(lost)
		if v == Absent && m.hasJob() {
			t.Errorf("%s: the submission is stored after the cancellation was answered", x.name)
		}
	}
}

// TestUndecodableRecordIsNoRefusal guards against a submission that is refused as one that never
// runs, though a record under its ID is stored that this host can't decode.
func TestUndecodableRecordIsNoRefusal(t *testing.T) {
	m := newMemoryStore()
	m.apply(Change{Put: []Row{newRow(TableRecords, jobID, []byte("?"))}})
	if v, err := New(m, fixedHealth(false)).Submit(t.Context(), anyone, testJob()); v != Ambiguous || err == nil {
		t.Errorf("submission: %s, error %v", v, err)
	}
}
