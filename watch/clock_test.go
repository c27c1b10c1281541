package watch

import (
	"context"
	"testing"
	"time"

	"citronbridge/fakes/rows"
	"citronbridge/repo"
)

// slowStore is a store whose clock is clockOffset ahead of the host's, and whose calls and
// answers take oneWayDelay each.
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

// TestClockBounds checks that the store's clock stays within both bounds in spite of the
// delay of answers, and while no further answer arrives.
func TestClockBounds(t *testing.T) {
	now := time.Minute
	c := NewClock(func() time.Duration { return now })
	if _, ok := c.AtLeast(); ok {
		t.Error("a bound is returned before the first answer")
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
			t.Errorf("the store's clock shows %v, with bounds of %v and %v", real, least, most)
		}
	}
}

// TestClockBoundsWiden guards against bounds that the store's clock leaves while it doesn't answer
// for long, as it runs slower or faster than the host's.
func TestClockBoundsWiden(t *testing.T) {
	for _, rate := range []float64{1 - maxDrift, 1, 1 + maxDrift} {
		now := time.Minute
		c := NewClock(func() time.Duration { return now })
		s := slowStore{rows.New(), &now, 0}
		if _, err := Observe(s, c, nil).Apply(context.Background(), repo.Change{}); err != nil {
			t.Fatal(err)
		}
		answered := now
		for range 4 {
			now += 10 * time.Minute
			real := answered + clockOffset + time.Duration(rate*float64(now-answered))
			least, _ := c.AtLeast()
			most, _ := c.AtMost()
			if least > real || most < real {
				t.Errorf("at rate %v, %v after the answer, the store's clock shows %v, with bounds of %v and %v", rate, now-answered, real, least, most)
			}
		}
	}
}
