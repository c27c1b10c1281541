package work

import "testing"

func TestPoolOf(t *testing.T) {
	r := &Rules{Queues: map[string]*Queue{"q": {Name: "q", Pool: "new"}}, Pools: map[string]*Pool{"old": {Name: "old"}, "new": {Name: "new"}}}
	for _, x := range []struct{ queue, terms, want string }{
		{"q", "old", "old"},
		{"q", "new", "new"},
		{"q", "", "new"},
		{"q", "gone", "new"},
		{"gone", "old", "old"},
		{"gone", "gone", "gone"},
		{"gone", "", ""},
	} {
		if got := r.PoolOf(&Job{Queue: x.queue, Terms: Terms{Pool: x.terms}}); got != x.want {
			t.Errorf("queue %s, terms %s: pool %q, want %q", x.queue, x.terms, got, x.want)
		}
	}
}
