package advice

import (
	"fmt"
	"testing"
	"time"
)

func incarnations(n int) []Incarnation {
	var l []Incarnation
	for i := range n {
		l = append(l, Incarnation{fmt.Sprint("w", i), 1})
	}
	return l
}

// TestCache requests tickets for a step, uses them until they expire, and renews
// them only for the workers that were allowed, never for the others.
func TestCache(t *testing.T) {
	b := NewCache()
	c, ok := b.NextCall("s", 2, incarnations(40), 0)
	if !ok || len(c.Incarnations) != usualWorkersPerCall {
		t.Fatalf("first call for %d workers, made %v, want one for usualWorkersPerCall", len(c.Incarnations), ok)
	}
	if _, ok := b.NextCall("t", 2, incarnations(4), 0); ok {
		t.Error("second call while the first is in flight")
	}
	b.HandleAnswer(c, map[string]string{"w1": "a", "w2": "b"}, 0, 3*time.Second)
	if x, ok := b.Ticket("s", Incarnation{"w1", 1}, time.Second); !ok || x != "a" {
		t.Errorf("ticket %q, usable %v", x, ok)
	}
	for _, l := range []Incarnation{{"w0", 1}, {"w1", 2}, {"w35", 1}} {
		if _, ok := b.Ticket("s", l, time.Second); ok {
			t.Errorf("%v has a ticket", l)
		}
	}
	if _, ok := b.Ticket("s", Incarnation{"w1", 1}, 2600*time.Millisecond); ok {
		t.Error("ticket used less than the margin before its expiry")
	}
	c, ok = b.NextCall("s", 2, incarnations(40), 3*time.Second)
	if !ok || len(c.Incarnations) != 2 {
		t.Fatalf("renewal for %v, want the two allowed workers", c.Incarnations)
	}
	b.HandleFailure(3 * time.Second)
	if _, ok := b.NextCall("s", 2, incarnations(40), 3*time.Second); ok {
		t.Error("no pause after a failed call")
	}
	// There are more tasks than workers that are known to be allowed.
	c, ok = b.NextCall("s", 5, incarnations(40), 4*time.Second)
	if !ok || len(c.Incarnations) != 12 || c.Incarnations[0].Worker != "w1" {
		t.Fatalf("call for 5 tasks: %v, want 12 workers, w1 first", c.Incarnations)
	}
	b.HandleAnswer(c, nil, 4*time.Second, time.Second)
	if _, ok := b.NextCall("s", 5, incarnations(40), 5*time.Second); ok {
		t.Error("call for workers that may not run the step")
	}
	c, ok = b.NextCall("s", 5, []Incarnation{{"w1", 2}}, 5*time.Second)
	if !ok || len(c.Incarnations) != 1 {
		t.Error("no call for a new incarnation of a worker")
	}
	b.HandleAnswer(c, map[string]string{"w1": "c"}, 5*time.Second, 9*time.Second)
	b.Invalidate("s", Incarnation{"w1", 2})
	if _, ok := b.Ticket("s", Incarnation{"w1", 2}, 6*time.Second); ok {
		t.Error("invalidated ticket used again")
	}
	// A ticket that is valid for less than the margin is still used.
	c, ok = b.NextCall("short", 1, incarnations(1), 7*time.Second)
	if !ok {
		t.Fatal("no call for a new step")
	}
	b.HandleAnswer(c, map[string]string{"w0": "d"}, 7*time.Second, 300*time.Millisecond)
	if _, ok := b.Ticket("short", Incarnation{"w0", 1}, 7100*time.Millisecond); !ok {
		t.Error("short ticket not used")
	}
	if _, ok := b.Ticket("short", Incarnation{"w0", 1}, 7200*time.Millisecond); ok {
		t.Error("short ticket used in the second half of its validity")
	}
	b.Retain(nil)
	if len(b.steps) != 0 {
		t.Error("step still cached after Retain without it")
	}
}

// TestAdviceReachesFreeWorkers guards against a step that waits for good for the workers that
// are known to be allowed, which have no room, while others with room are never asked about.
func TestAdviceReachesFreeWorkers(t *testing.T) {
	b := NewCache()
	l := incarnations(usualWorkersPerCall + 1)
	full, free := l[0], l[usualWorkersPerCall]
	c, _ := b.NextCall("s", 1, l, 0)
	b.HandleAnswer(c, map[string]string{full.Worker: "a"}, 0, time.Second)
	// The ticket is renewed first, although the worker without room comes last.
	now := 2 * time.Second
	for range 2 {
		if _, ok := b.Ticket("s", free, now); ok {
			t.Fatal("there is a ticket before the service was asked")
		}
		c, ok := b.NextCall("s", 1, []Incarnation{free, full}, now)
		if !ok {
			t.Fatalf("no call at %v", now)
		}
		tickets := map[string]string{}
		for _, i := range c.Incarnations {
			tickets[i.Worker] = "b"
		}
		b.HandleAnswer(c, tickets, now, time.Second)
		now += 20 * time.Millisecond
	}
	if _, ok := b.Ticket("s", free, now); !ok {
		t.Error("the worker with room wasn't asked about")
	}
}
