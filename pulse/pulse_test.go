package pulse

import (
	"encoding/json"
	"testing"
	"time"

	"citronbridge/repo"
)

// newTestTracker returns heartbeats on a clock that a test moves.
func newTestTracker() (*Tracker, *time.Duration) {
	now := time.Minute
	return New(func() time.Duration { return now }, func() time.Duration { return 0 }), &now
}

// record takes in a heartbeat of pool "p".
func record(t *testing.T, b *Tracker, v repo.Heartbeat) {
	t.Helper()
	j, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.Record([]repo.Row{{Table: repo.TableHeartbeats, Key: "p", Value: j}}); err != nil {
		t.Fatal(err)
	}
}

// TestUnresponsiveFor measures a decider's silence: only while the store answers, and
// from its return after a gap, as a decider can't write then either.
func TestUnresponsiveFor(t *testing.T) {
	b, now := newTestTracker()
	b.RecordAnswer(0)
	record(t, b, repo.Heartbeat{Epoch: 3, N: 1})
	step := repo.HeartbeatTimeout / 2
	for i := range 4 {
		if d, left := b.UnresponsiveFor("p"); d != time.Duration(i)*step || left {
			t.Errorf("after %v: silent for %v, left %v", time.Duration(i)*step, d, left)
		}
		*now += step
		b.RecordAnswer(0)
	}
	*now += 2 * repo.HeartbeatTimeout
	if d, _ := b.UnresponsiveFor("p"); d != 0 {
		t.Errorf("the store answers nothing, and the decider counts as silent for %v", d)
	}
	b.RecordAnswer(0)
	*now += step
	if d, _ := b.UnresponsiveFor("p"); d != step {
		t.Errorf("silent for %v since the store is back %v", d, step)
	}
}

// TestResponsiveBeforeFirstAnswer counts no silence before the store's first
// answer, on a clock that has just begun.
func TestResponsiveBeforeFirstAnswer(t *testing.T) {
	var now time.Duration
	b := New(func() time.Duration { return now }, func() time.Duration { return 0 })
	now = repo.HeartbeatTimeout / 2
	if d, _ := b.UnresponsiveFor("p"); d != 0 {
		t.Errorf("silent for %v before the first answer", d)
	}
	b.RecordAnswer(0)
	if d, _ := b.UnresponsiveFor("p"); d != 0 {
		t.Errorf("silent for %v at the first answer", d)
	}
}

// TestStaleHeartbeatsIgnored ignores heartbeats of former deciders and repeated ones.
func TestStaleHeartbeatsIgnored(t *testing.T) {
	b, now := newTestTracker()
	b.RecordAnswer(0)
	record(t, b, repo.Heartbeat{Epoch: 3, N: 9, Waiting: map[string]int{"q": 2}})
	*now += time.Second
	record(t, b, repo.Heartbeat{Epoch: 3, N: 9, Waiting: map[string]int{"q": 2}})
	record(t, b, repo.Heartbeat{Epoch: 2, N: 50, Left: true})
	if d, left := b.UnresponsiveFor("p"); d != time.Second || left {
		t.Errorf("silent for %v, left %v", d, left)
	}
	record(t, b, repo.Heartbeat{Epoch: 3, N: -1, Left: true})
	if _, left := b.UnresponsiveFor("p"); !left || !b.Released("p", 3) || b.Released("p", 4) {
		t.Error("the decider has given the pool up, and isn't taken for it")
	}
}

// TestWaitingExpires shows a count of waiting jobs up to its age, and none of a
// pool that was given up or was never heard of.
func TestWaitingExpires(t *testing.T) {
	b, now := newTestTracker()
	record(t, b, repo.Heartbeat{Epoch: 1, N: 1, Waiting: map[string]int{"q": 4}})
	if n, ok := b.Waiting("p", "q"); n != 4 || !ok {
		t.Errorf("%d %v", n, ok)
	}
	if _, ok := b.Waiting("other", "q"); ok {
		t.Error("a count of a pool that was never heard of")
	}
	*now += maxCountAge + 1
	if _, ok := b.Waiting("p", "q"); ok {
		t.Error("a count that is too old")
	}
	record(t, b, repo.Heartbeat{Epoch: 1, N: 2, Left: true, Waiting: map[string]int{"q": 4}})
	if _, ok := b.Waiting("p", "q"); ok {
		t.Error("a count of a decider that has given the pool up")
	}
}

// TestWeakerFor tells for how long a decider is heard that is weaker than a host: not
// one that doesn't say, has left, or is told of by a store that doesn't answer.
func TestWeakerFor(t *testing.T) {
	for _, c := range []struct {
		name string
		beat repo.Heartbeat
		gap  bool
		want time.Duration
	}{
		{"weaker", repo.Heartbeat{Epoch: 1, Capacity: 0.2}, false, 2 * time.Second},
		{"as strong", repo.Heartbeat{Epoch: 1, Capacity: 0.8}, false, 0},
		{"doesn't say", repo.Heartbeat{Epoch: 1}, false, 0},
		{"has left", repo.Heartbeat{Epoch: 1, Capacity: 0.2, Left: true}, false, 0},
		{"the store is silent", repo.Heartbeat{Epoch: 1, Capacity: 0.2}, true, 0},
	} {
		b, now := newTestTracker()
		for i := range int64(5) {
			b.RecordAnswer(0)
			c.beat.N = i
			record(t, b, c.beat)
			if i < 4 {
				*now += 500 * time.Millisecond
			}
		}
		if c.gap {
			*now += 2 * repo.HeartbeatTimeout
		}
		if d := b.WeakerFor("p", 0.8); d != c.want {
			t.Errorf("%s: %v, want %v", c.name, d, c.want)
		}
		c.beat.Epoch, c.beat.N = 2, 0
		b.RecordAnswer(0)
		record(t, b, c.beat)
		if d := b.WeakerFor("p", 0.8); d != 0 {
			t.Errorf("%s: a new decider counts as heard for %v", c.name, d)
		}
	}
}
