package follow

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"citronbridge/fakes/rows"
	"citronbridge/repo"
)

var errAnswerLost = errors.New("answer lost")

// failingStore is a store whose first feed calls fail. It records how long each call was
// to wait.
type failingStore struct {
	*rows.Store
	failures int
	waits    []time.Duration
	done     func()
}

// Feed implements repo.Store. It calls done with the third successful call.
func (o *failingStore) Feed(_ context.Context, _ string, after int64, wait time.Duration) (repo.Page, error) {
	o.waits = append(o.waits, wait)
	if len(o.waits) <= o.failures {
		return repo.Page{}, errAnswerLost
	}
	if len(o.waits) == o.failures+3 {
		o.done()
	}
	return repo.Page{Version: after}, nil
}

// TestFeedDoesNotWaitWhileFailing checks that feed calls don't wait for a change while they
// fail, so that the store's return is seen at once, and wait again after an answer.
func TestFeedDoesNotWaitWhileFailing(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	o := &failingStore{Store: rows.New(), failures: 2, done: cancel}
	recoveries := 0
	f := &Follower{
		Store: o, Table: repo.TableJobs, Wait: time.Second, Now: func() time.Duration { return 0 },
		OnList: func([]repo.Row) {}, OnChange: func([]repo.Row) {}, OnRecovery: func() { recoveries++ },
	}
	f.Run(ctx, 1)
	if want := []time.Duration{time.Second, 0, 0, time.Second, time.Second}; !slices.Equal(o.waits, want) {
		t.Errorf("feed calls had waits %v, want %v", o.waits, want)
	}
	if recoveries != 1 {
		t.Errorf("OnRecovery was called %d times, want 1", recoveries)
	}
}
