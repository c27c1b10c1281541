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

var errLost = errors.New("the answer is lost")

// outing is a store whose first feeds fail.
type outing struct {
	*rows.Store
	fails int
	waits []time.Duration
	done  func()
}

// Feed implements Store.
func (o *outing) Feed(_ context.Context, _ string, after int64, wait time.Duration) (repo.Page, error) {
	o.waits = append(o.waits, wait)
	if len(o.waits) <= o.fails {
		return repo.Page{}, errLost
	}
	if len(o.waits) == o.fails+3 {
		o.done()
	}
	return repo.Page{Version: after}, nil
}

// TestFeedAsksForAnAnswerAtOnce follows a table while the store goes and comes
// back: as long as calls fail, none waits for a change, and once one is answered
// they wait again.
func TestFeedAsksForAnAnswerAtOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	o := &outing{Store: rows.New(), fails: 2, done: cancel}
	regained := 0
	f := &Follower{
		Store: o, Table: repo.TableJobs, Wait: time.Second, Now: func() time.Duration { return 0 },
		Listed: func([]repo.Row) {}, Changed: func([]repo.Row) {}, Regained: func() { regained++ },
	}
	f.Run(ctx, 1)
	if want := []time.Duration{time.Second, 0, 0, time.Second, time.Second}; !slices.Equal(o.waits, want) {
		t.Errorf("calls waited %v, want %v", o.waits, want)
	}
	if regained != 1 {
		t.Errorf("regained %d times", regained)
	}
}
