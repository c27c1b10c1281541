package watch

import (
	"context"
	"errors"
	"testing"
	"time"

	"citronbridge/fakes/rows"
	"citronbridge/repo"
)

var errAnswerLost = errors.New("answer lost")

// failingStore is a store whose changes fail with err, while lists succeed.
type failingStore struct {
	*rows.Store
	err error
}

// Apply implements repo.Store.
func (f *failingStore) Apply(context.Context, repo.Change) (repo.Result, error) {
	return repo.Result{}, f.err
}

// TestUnavailable checks, for each kind of error, that the store counts as unavailable once
// all calls have failed for a time, and no longer after one answer. Calls that their callers
// cancel don't count.
func TestUnavailable(t *testing.T) {
	now := time.Minute
	h := NewHealth(func() time.Duration { return now })
	f := &failingStore{Store: rows.New()}
	s := Observe(f, nil, h)
	ctx := context.Background()
	failCall := func(ctx context.Context, err error) {
		f.err = err
		if _, e := s.Apply(ctx, repo.Change{}); !errors.Is(e, err) {
			t.Fatal(e)
		}
	}
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	for range 5 {
		failCall(cancelled, errAnswerLost)
		now += unavailableAfter
	}
	if h.Unavailable() {
		t.Error("unavailable because callers cancelled")
	}
	for _, err := range []error{errAnswerLost, repo.ErrNotDone} {
		failCall(ctx, err)
		if h.Unavailable() {
			t.Errorf("%v: unavailable after one failed call", err)
		}
		now += unavailableAfter + 1
		failCall(ctx, err)
		if !h.Unavailable() {
			t.Errorf("%v: available though no call was answered", err)
		}
		if _, err := s.List(ctx, "t", "", "", 1); err != nil || h.Unavailable() {
			t.Error("still unavailable after an answer", err)
		}
	}
}
