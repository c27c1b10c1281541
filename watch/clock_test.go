package watch

import (
	"context"
	"testing"
	"time"

	"citronbridge/fakes/rows"
	"citronbridge/repo"
)

// slowStore is a store whose clock is ahead of the host's, and that answers
// after a time.
type slowStore struct {
	*rows.Store
	now         *time.Duration
	oneWayDelay time.Duration
}

const clockOffset = time.Hour

func (t slowStore) Apply(context.Context, repo.Change) (repo.Result, error) {
	*t.now += t.oneWayDelay
	r := repo.Result{Now: *t.now + clockOffset}
	*t.now += t.oneWayDelay
	return r, nil
}

// TestClockBounds bounds the store's clock from both sides, whatever way an answer
// took, and while the host hears nothing more.
func TestClockBounds(t *testing.T) {
	now := time.Minute
	c := NewClock(func() time.Duration { return now })
	if _, ok := c.AtLeast(); ok {
		t.Error("the clock is known before the first answer")
	}
	s := slowStore{rows.New(), &now, 30 * time.Millisecond}
	for range 3 {
		if _, err := Observe(s, c, nil).Apply(context.Background(), repo.Change{}); err != nil {
			t.Fatal(err)
		}
		now += 5 * time.Second
		least, _ := c.AtLeast()
		most, ok := c.AtMost()
		if real := now + clockOffset; !ok || least > real || most < real || most-least > 3*s.oneWayDelay {
			t.Errorf("the clock shows %v, reckoned between %v and %v", real, least, most)
		}
	}
}
