package work

import "testing"

func TestPoolOf(t *testing.T) {
	r := &Rules{Version: 5, Queues: map[string]*Queue{"q": {Name: "q", Pool: "new"}}, Pools: map[string]*Pool{"old": {Name: "old"}, "new": {Name: "new"}}}
	for _, x := range []struct {
		queue, terms string
		version      int64
		want         string
	}{
		{"q", "old", 5, "old"},
		{"q", "new", 5, "new"},
		{"q", "", 0, "new"},
		{"q", "gone", 5, "new"},
		{"q", "unknown", 6, "unknown"},
		{"gone", "old", 5, "old"},
		{"gone", "gone", 5, "gone"},
		{"gone", "", 0, ""},
	} {
		if got := r.PoolOf(&Job{Queue: x.queue, Terms: Terms{Pool: x.terms, Version: x.version}}); got != x.want {
			t.Errorf("queue %s, terms %s of version %d: pool %q, want %q", x.queue, x.terms, x.version, got, x.want)
		}
	}
}
