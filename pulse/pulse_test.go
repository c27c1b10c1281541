package pulse

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"citronbridge/repo"
)

// newTestTracker returns a Tracker and the clock that it reads, for a test to advance.
func newTestTracker() (*Tracker, *time.Duration) {
	now := time.Minute
	return New(func() time.Duration { return now }, func() time.Duration { return 0 }), &now
}

// record records a heartbeat of pool "p".
func record(t *testing.T, b *Tracker, v repo.Heartbeat) {
	t.Helper()
	recordOf(t, b, "p", v)
}

// TestUnresponsiveFor checks that a decider counts as unresponsive only while the store
// answers, and anew after a gap in its answers, as a decider can't write during the gap.
func TestUnresponsiveFor(t *testing.T) {
	b, now := newTestTracker()
	b.RecordAnswer(0)
	record(t, b, repo.Heartbeat{Epoch: 3, N: 1})
	step := repo.HeartbeatTimeout / 2
	for i := range 4 {
		if d, left := b.UnresponsiveFor("p"); d != time.Duration(i)*step || left {
			t.Errorf("after %v: unresponsive for %v, released %v", time.Duration(i)*step, d, left)
		}
		*now += step
		b.RecordAnswer(0)
	}
	*now += 2 * repo.HeartbeatTimeout
	if d, _ := b.UnresponsiveFor("p"); d != 0 {
		t.Errorf("unresponsive for %v though the store doesn't answer", d)
	}
	b.RecordAnswer(0)
	*now += step
	if d, _ := b.UnresponsiveFor("p"); d != step {
		t.Errorf("unresponsive for %v, though the store answers again only since %v", d, step)
	}
}

// TestResponsiveBeforeFirstAnswer checks, on a clock that starts at 0, that no decider
// counts as unresponsive before the store's first answer.
func TestResponsiveBeforeFirstAnswer(t *testing.T) {
	var now time.Duration
	b := New(func() time.Duration { return now }, func() time.Duration { return 0 })
	now = repo.HeartbeatTimeout / 2
	if d, _ := b.UnresponsiveFor("p"); d != 0 {
		t.Errorf("unresponsive for %v before the first answer", d)
	}
	b.RecordAnswer(0)
	if d, _ := b.UnresponsiveFor("p"); d != 0 {
		t.Errorf("unresponsive for %v at the first answer", d)
	}
}

// TestStaleHeartbeatsIgnored checks that heartbeats of former deciders and repeated ones
// are ignored, and that the last one releases the pool.
func TestStaleHeartbeatsIgnored(t *testing.T) {
	b, now := newTestTracker()
	b.RecordAnswer(0)
	record(t, b, repo.Heartbeat{Epoch: 3, N: 9, Waiting: map[string]int{"q": 2}})
	*now += time.Second
	record(t, b, repo.Heartbeat{Epoch: 3, N: 9, Waiting: map[string]int{"q": 2}})
	record(t, b, repo.Heartbeat{Epoch: 2, N: 50, Left: true})
	if d, left := b.UnresponsiveFor("p"); d != time.Second || left {
		t.Errorf("unresponsive for %v, released %v", d, left)
	}
	record(t, b, repo.Heartbeat{Epoch: 3, N: -1, Left: true})
	if _, left := b.UnresponsiveFor("p"); !left || !b.Released("p", 3) || b.Released("p", 4) {
		t.Error("the pool doesn't count as released by the decider's last heartbeat")
	}
}

// TestWaitingExpires checks that a count of waiting jobs is returned up to maxCountAge, and
// none for a pool that was released or never had a heartbeat.
func TestWaitingExpires(t *testing.T) {
	b, now := newTestTracker()
	record(t, b, repo.Heartbeat{Epoch: 1, N: 1, Waiting: map[string]int{"q": 4}})
	if n, ok := b.Waiting("p", "q"); n != 4 || !ok {
		t.Errorf("%d jobs are waiting (known: %v), want 4", n, ok)
	}
	if _, ok := b.Waiting("other", "q"); ok {
		t.Error("a count is returned for a pool without a heartbeat")
	}
	*now += maxCountAge + 1
	if _, ok := b.Waiting("p", "q"); ok {
		t.Error("a count older than maxCountAge is returned")
	}
	record(t, b, repo.Heartbeat{Epoch: 1, N: 2, Left: true, Waiting: map[string]int{"q": 4}})
	if _, ok := b.Waiting("p", "q"); ok {
		t.Error("a count is returned though the decider has released the pool")
	}
}

// TestWaitingAfterTakeover guards against an empty queue being reported after a takeover: the
// first heartbeats of a decider that hasn't read all jobs yet have no counts. The last counts
// hold until they are too old.
func TestWaitingAfterTakeover(t *testing.T) {
	b, now := newTestTracker()
	record(t, b, repo.Heartbeat{Epoch: 1, N: 0})
	if n, ok := b.Waiting("p", "q"); ok {
		t.Errorf("%d jobs are waiting before any count", n)
	}
	record(t, b, repo.Heartbeat{Epoch: 1, N: 1, Waiting: map[string]int{"q": 4}})
	for i := range 4 {
		*now += maxCountAge / 4
		record(t, b, repo.Heartbeat{Epoch: 2, N: int64(i)})
		if n, ok := b.Waiting("p", "q"); n != 4 || !ok {
			t.Errorf("%d jobs are waiting (known: %v), want the 4 that the former decider counted", n, ok)
		}
	}
	*now += 1
	if n, ok := b.Waiting("p", "q"); ok {
		t.Errorf("%d jobs are waiting by a count older than maxCountAge", n)
	}
	record(t, b, repo.Heartbeat{Epoch: 2, N: 4, Waiting: map[string]int{}})
	if n, ok := b.Waiting("p", "q"); n != 0 || !ok {
		t.Errorf("%d jobs are waiting (known: %v), want 0", n, ok)
	}
}

// TestWeakerFor checks for how long a decider counts as weaker than a host: not if its
// capacity is unknown, it has released the pool, or the store doesn't answer, and anew with
// each epoch.
func TestWeakerFor(t *testing.T) {
	for _, c := range []struct {
		name      string
		heartbeat repo.Heartbeat
		gap       bool
		want      time.Duration
	}{
		{"weaker", repo.Heartbeat{Epoch: 1, Capacity: 0.2}, false, 2 * time.Second},
		{"as strong", repo.Heartbeat{Epoch: 1, Capacity: 0.8}, false, 0},
		{"capacity unknown", repo.Heartbeat{Epoch: 1}, false, 0},
		{"pool released", repo.Heartbeat{Epoch: 1, Capacity: 0.2, Left: true}, false, 0},
		{"store doesn't answer", repo.Heartbeat{Epoch: 1, Capacity: 0.2}, true, 0},
	} {
		b, now := newTestTracker()
		for i := range int64(5) {
			b.RecordAnswer(0)
			c.heartbeat.N = i
			record(t, b, c.heartbeat)
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
		c.heartbeat.Epoch, c.heartbeat.N = 2, 0
		b.RecordAnswer(0)
		record(t, b, c.heartbeat)
		if d := b.WeakerFor("p", 0.8); d != 0 {
			t.Errorf("%s: a new decider counts as weaker for %v already", c.name, d)
		}
	}
}

// TestOwnerChange checks that changes of the owner and releases are reported once, with the time
// without heartbeats, and plain heartbeats aren't.
func TestOwnerChange(t *testing.T) {
	b, now := newTestTracker()
	var got []OwnerChange
	b.OnOwnerChange = func(c OwnerChange) { got = append(got, c) }
	for _, v := range []repo.Heartbeat{
		{Epoch: 3, Host: "a", N: 1}, {Epoch: 3, Host: "a", N: 2}, {Epoch: 3, Host: "a", N: -1, Left: true}, {Epoch: 3, Host: "a", N: -1, Left: true},
		{Epoch: 4, Host: "b"}, {Epoch: 4, Host: "b", N: 1}, {Epoch: 3, Host: "a", N: 7}, {Epoch: 5, Host: "b"},
	} {
		record(t, b, v)
		*now += time.Second
	}
	want := []OwnerChange{
		{Pool: "p", Epoch: 3, Owner: "a"},
		{Pool: "p", Epoch: 3, Owner: "a", FormerEpoch: 3, FormerOwner: "a", Released: true, Silent: time.Second},
		{Pool: "p", Epoch: 4, Owner: "b", FormerEpoch: 3, FormerOwner: "a", Silent: 2 * time.Second},
		{Pool: "p", Epoch: 5, Owner: "b", FormerEpoch: 4, FormerOwner: "b", Silent: 2 * time.Second},
	}
	if !slices.Equal(got, want) {
		t.Errorf("reported changes are\n%+v, want\n%+v", got, want)
	}
}

// recordOf records a heartbeat of any pool.
func recordOf(t *testing.T, b *Tracker, pool string, v repo.Heartbeat) {
	t.Helper()
	j, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.Record([]repo.Row{{Table: repo.TableHeartbeats, Key: pool, Value: j}}); err != nil {
		t.Fatal(err)
	}
}

// TestWaitingInFormerPool guards against a count that leaves out the jobs that wait in a queue's
// former pool.
func TestWaitingInFormerPool(t *testing.T) {
	b, now := newTestTracker()
	recordOf(t, b, "new", repo.Heartbeat{Epoch: 1, N: 1, Waiting: map[string]int{"q": 1}})
	recordOf(t, b, "old", repo.Heartbeat{Epoch: 1, N: 1, Waiting: map[string]int{"q": 4, "r": 2}})
	recordOf(t, b, "idle", repo.Heartbeat{Epoch: 1, N: 1, Waiting: map[string]int{}})
	if n, ok := b.Waiting("new", "q"); n != 5 || !ok {
		t.Errorf("%d jobs are waiting (known: %v), want 5", n, ok)
	}
	*now += maxCountAge + 1
	recordOf(t, b, "new", repo.Heartbeat{Epoch: 1, N: 2, Waiting: map[string]int{"q": 1, "s": 3}})
	if _, ok := b.Waiting("new", "q"); ok {
		t.Error("a count is returned though that of the former pool is too old")
	}
	if n, ok := b.Waiting("new", "s"); n != 3 || !ok {
		t.Errorf("%d jobs are waiting (known: %v) in a queue without jobs elsewhere, want 3", n, ok)
	}
}

// TestOpenPools checks that a pool counts as open until its decider has retired it, and again once
// it has another one.
func TestOpenPools(t *testing.T) {
	b, _ := newTestTracker()
	for n, c := range []struct {
		v    repo.Heartbeat
		open bool
	}{
		{repo.Heartbeat{Epoch: 1, N: 1}, true},
		{repo.Heartbeat{Epoch: 1, N: 2, Left: true}, true},
		{repo.Heartbeat{Epoch: 2}, true},
		{repo.Heartbeat{Epoch: 2, N: 1, Left: true, Retired: true}, false},
		{repo.Heartbeat{Epoch: 3}, true},
	} {
		recordOf(t, b, "p", c.v)
		if open := len(b.Open()) == 1; open != c.open {
			t.Errorf("after heartbeat %d the pool is open: %v, want %v", n, open, c.open)
		}
	}
}
