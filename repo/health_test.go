package repo

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestOut fails calls in each way: the store is out once all have failed for a
// time, and no more after one answer. Calls that their callers give up tell
// nothing.
func TestOut(t *testing.T) {
	now := time.Minute
	h := NewHealth(func() time.Duration { return now })
	m := newMemory()
	s := h.Watch(m)
	ctx := context.Background()
	fails := func(ctx context.Context, err error) {
		m.spoil = func(int, Change) (bool, error) { return false, err }
		if _, e := s.Apply(ctx, Change{Put: []Row{newRow(TableJobs, jobID, nil)}}); !errors.Is(e, err) {
			t.Fatal(e)
		}
	}
	left, cancel := context.WithCancel(ctx)
	cancel()
	for range 5 {
		fails(left, errLost)
		now += outAfter
	}
	if h.Out() {
		t.Error("out, as callers gave up")
	}
	for _, err := range []error{errLost, ErrNotDone} {
		fails(ctx, err)
		if h.Out() {
			t.Errorf("%v: out after one call", err)
		}
		now += outAfter + 1
		fails(ctx, err)
		if !h.Out() {
			t.Errorf("%v: not out though nothing was answered", err)
		}
		if _, err := s.List(ctx, TableJobs, "", "", 1); err != nil || h.Out() {
			t.Error("still out after an answer", err)
		}
	}
}

// TestRefusedWhileOut hands a job in while the store is out: it is refused at
// once, and no write is under way that could be carried out later.
func TestRefusedWhileOut(t *testing.T) {
	now := time.Minute
	h := NewHealth(func() time.Duration { return now })
	m := newMemory()
	r := New(h.Watch(m), h)
	h.note(context.Background(), errLost)
	now += outAfter + 1
	if v, err := r.Submit(context.Background(), aJob()); v != NotRun || !errors.Is(err, ErrNotDone) {
		t.Errorf("submission: %s %v", v, err)
	}
	if _, v, _ := r.Record(context.Background(), jobID); v != NotRun {
		t.Errorf("state: %s", v)
	}
	if v, _ := r.Cancel(context.Background(), jobID); v != NotRun {
		t.Errorf("cancel: %s", v)
	}
	if m.n != 0 {
		t.Errorf("%d calls of a store that is out", m.n)
	}
}
