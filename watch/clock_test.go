package watch

import (
	"context"
	"testing"
	"time"

	"citronbridge/fakes/rows"
	"citronbridge/repo"
)

// ticking is a store whose clock is ahead of the host's, and that answers
// after a time.
type ticking struct {
	*rows.Store
	now   *time.Duration
	takes time.Duration
}

const ahead = time.Hour

func (t ticking) Apply(context.Context, repo.Change) (repo.Result, error) {
	*t.now += t.takes
	r := repo.Result{Now: *t.now + ahead}
	*t.now += t.takes
	return r, nil
}

// TestClock bounds the store's clock from both sides, whatever way an answer
// took, and while the host hears nothing more.
func TestClock(t *testing.T) {
	now := time.Minute
	c := NewClock(func() time.Duration { return now })
	if _, ok := c.AtLeast(); ok {
		t.Error("the clock is known before the first answer")
	}
	s := ticking{rows.New(), &now, 30 * time.Millisecond}
	for range 3 {
		if _, err := Over(s, c, nil).Apply(context.Background(), repo.Change{}); err != nil {
			t.Fatal(err)
		}
		now += 5 * time.Second
		least, _ := c.AtLeast()
		most, ok := c.AtMost()
		if real := now + ahead; !ok || least > real || most < real || most-least > 3*s.takes {
			t.Errorf("the clock shows %v, reckoned between %v and %v", real, least, most)
		}
	}
}
