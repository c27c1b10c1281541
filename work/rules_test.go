package work

import "testing"

// TestPoolOf checks that a job's pool doesn't depend on the configuration that a host has, and that
// only a configuration newer than the job's terms sends it to another one.
func TestPoolOf(t *testing.T) {
	r := &Rules{Version: 5, Queues: map[string]*Queue{"q": {Name: "q", Pool: "new"}}, Pools: map[string]*Pool{"old": {Name: "old"}, "new": {Name: "new"}}}
	for _, x := range []struct {
		queue, terms string
		version      int64
		// want is the job's pool, next the one that the decider of want hands it over to.
		want, next string
	}{
		{"q", "old", 4, "old", "new"},
		{"q", "old", 5, "old", ""},
		{"q", "new", 4, "new", ""},
		{"q", "", 0, "new", ""},
		{"q", "gone", 4, "gone", "new"},
		{"q", "unknown", 6, "unknown", ""},
		{"gone", "old", 4, "old", ""},
		{"gone", "gone", 4, "gone", ""},
		{"gone", "", 0, "", ""},
	} {
		j := &Job{Queue: x.queue, Terms: Terms{Pool: x.terms, Version: x.version}}
		got := r.PoolOf(j)
		if next, _ := r.NextPool(j, got); got != x.want || next != x.next {
			t.Errorf("queue %s, terms %s of version %d: pool %q, handed over to %q, want %q and %q", x.queue, x.terms, x.version, got, next, x.want, x.next)
		}
	}
}
