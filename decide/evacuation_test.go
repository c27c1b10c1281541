package decide

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/event"
	"citronbridge/platform"
	"citronbridge/timer"
)

// startCounter is Workers that accepts and counts starts.
type startCounter struct {
	Workers
	starts int
}

// Start implements Workers.
func (c *startCounter) Start(_ context.Context, e event.Start) event.OrderAnswered {
	c.starts++
	return event.OrderAnswered{Call: e.Call, Outcome: event.Accepted}
}

// TestLastCheckOfStart guards against a start that was decided in time and is sent later: to a
// data centre that is evacuated by then, or while a request may be unknown.
func TestLastCheckOfStart(t *testing.T) {
	for _, c := range []struct {
		name            string
		bound           int64
		age, decidedFor time.Duration
		evacuated       []string
		sent            bool
	}{
		{"no evacuations", 5000, time.Second, 0, nil, true},
		{"old decision", 5000, time.Second, 1100 * time.Millisecond, nil, false},
		{"another data centre", 5000, time.Second, 0, []string{"a", "c"}, true},
		{"evacuated", 5000, time.Second, 0, []string{"a", "b"}, false},
		{"evacuated without a bound", 0, time.Second, 0, []string{"b"}, false},
		{"confirmed in time", 5000, 4 * time.Second, 0, nil, true},
		{"not confirmed in time", 5000, 4001 * time.Millisecond, 0, nil, false},
		{"never confirmed, without a bound", 0, time.Hour, 0, nil, true},
		{"never confirmed, with a negative bound", -1, time.Hour, 0, nil, true},
		{"small bound, confirmed in time", 1000, 500 * time.Millisecond, 0, nil, true},
		{"small bound, not confirmed in time", 1000, 501 * time.Millisecond, 0, nil, false},
	} {
		s := &startCounter{}
		d := &Decider{log: zerolog.Nop(), c: Config{
			Workers: s, Bounds: platform.Bounds{EvacuateMS: c.bound}, Evacuations: func() []string { return c.evacuated }, ConfirmationAge: func() time.Duration { return c.age },
		}}
		_, o := d.sendStart(event.Start{DataCentre: "b"}, timer.SinceBoot()-c.decidedFor)
		if sent := s.starts == 1; sent != c.sent || sent == (o == event.NotSent) {
			t.Errorf("%s: sent %v, outcome %s", c.name, sent, o)
		}
	}
}
