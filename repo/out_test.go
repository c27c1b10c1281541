package repo

import (
	"context"
	"errors"
	"testing"
)

// TestRefusedWhileStoreUnavailable hands a job in while the store is out: it is refused at
// once, and no write is under way that could be carried out later.
func TestRefusedWhileStoreUnavailable(t *testing.T) {
	m := newMemoryStore()
	r := New(m, fixedHealth(true))
	if v, err := r.Submit(context.Background(), testJob()); v != NotRun || !errors.Is(err, ErrNotDone) {
		t.Errorf("submission: %s %v", v, err)
	}
	if _, v, _ := r.Record(context.Background(), jobID); v != NotRun {
		t.Errorf("state: %s", v)
	}
	if v, _ := r.Cancel(context.Background(), jobID); v != NotRun {
		t.Errorf("cancel: %s", v)
	}
	if m.calls != 0 {
		t.Errorf("%d calls of a store that is out", m.calls)
	}
}
