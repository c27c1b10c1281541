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

var errAnswerLost = errors.New("the answer is lost")

// failingStore is a store whose first feeds fail.
type failingStore struct {
	*rows.Store
	failures int
	waits    []time.Duration
	done     func()
}

// Feed implements Store.
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

// TestFeedDoesNotWaitWhileFailing follows a table while the store goes and comes
// back: as long as calls fail, none waits for a change, and once one is answered
// they wait again.
func TestFeedDoesNotWaitWhileFailing(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	o := &failingStore{Store: rows.New(), failures: 2, done: cancel}
	regained := 0
	f := &Follower{
		Store: o, Table: repo.TableJobs, Wait: time.Second, Now: func() time.Duration { return 0 },
		OnList: func([]repo.Row) {}, OnChange: func([]repo.Row) {}, OnRecovery: func() { regained++ },
	}
	f.Run(ctx, 1)
	if want := []time.Duration{time.Second, 0, 0, time.Second, time.Second}; !slices.Equal(o.waits, want) {
		t.Errorf("calls waited %v, want %v", o.waits, want)
	}
	if regained != 1 {
		t.Errorf("regained %d times", regained)
	}
}
