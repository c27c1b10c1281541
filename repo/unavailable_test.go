package repo

import (
	"context"
	"errors"
	"testing"
)

// TestRefusedWhileStoreUnavailable checks that calls are refused at once while the store
// is unavailable, without a store call that could take effect later.
func TestRefusedWhileStoreUnavailable(t *testing.T) {
	m := newMemoryStore()
	r := New(m, fixedHealth(true))
	if v, err := r.Submit(context.Background(), anyone, testJob()); v != NotRun || !errors.Is(err, ErrNotDone) {
		t.Errorf("submitting a job: %s %v", v, err)
	}
	if _, v, _ := r.Record(context.Background(), anyone, jobID); v != NotRun {
		t.Errorf("reading the record: %s", v)
	}
	if v, _ := r.Cancel(context.Background(), anyone, jobID); v != NotRun {
		t.Errorf("cancelling the job: %s", v)
	}
	if m.calls != 0 {
		t.Errorf("%d calls were sent to a store that is unavailable", m.calls)
	}
}
