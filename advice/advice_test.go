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

// TestCache asks for a step, uses its tickets until they run out, asks again
// only for those that were good, and never for the others.
func TestCache(t *testing.T) {
	b := NewCache()
	c, ok := b.NextCall("s", 2, incarnations(40), 0)
	if !ok || len(c.Incarnations) != usualWorkersPerCall {
		t.Fatalf("%d workers asked, %v", len(c.Incarnations), ok)
	}
	if _, ok := b.NextCall("t", 2, incarnations(4), 0); ok {
		t.Error("two calls at a time")
	}
	b.HandleAnswer(c, map[string]string{"w1": "a", "w2": "b"}, 0, 3*time.Second)
	if x, ok := b.Ticket("s", Incarnation{"w1", 1}, time.Second); !ok || x != "a" {
		t.Errorf("ticket %q %v", x, ok)
	}
	for _, l := range []Incarnation{{"w0", 1}, {"w1", 2}, {"w35", 1}} {
		if _, ok := b.Ticket("s", l, time.Second); ok {
			t.Errorf("%v has a ticket", l)
		}
	}
	if _, ok := b.Ticket("s", Incarnation{"w1", 1}, 2600*time.Millisecond); ok {
		t.Error("a ticket is used at its end")
	}
	c, ok = b.NextCall("s", 2, incarnations(40), 3*time.Second)
	if !ok || len(c.Incarnations) != 2 {
		t.Fatalf("asked again for %v", c.Incarnations)
	}
	b.HandleFailure(3 * time.Second)
	if _, ok := b.NextCall("s", 2, incarnations(40), 3*time.Second); ok {
		t.Error("no pause after a call that was rejected")
	}
	// More tasks than workers that are known as good.
	c, ok = b.NextCall("s", 5, incarnations(40), 4*time.Second)
	if !ok || len(c.Incarnations) != 12 || c.Incarnations[0].Worker != "w1" {
		t.Fatalf("asked for %v", c.Incarnations)
	}
	b.HandleAnswer(c, nil, 4*time.Second, time.Second)
	if _, ok := b.NextCall("s", 5, incarnations(40), 5*time.Second); ok {
		t.Error("asked again for workers that may not run the step")
	}
	c, ok = b.NextCall("s", 5, []Incarnation{{"w1", 2}}, 5*time.Second)
	if !ok || len(c.Incarnations) != 1 {
		t.Error("another life of a worker isn't asked for")
	}
	b.HandleAnswer(c, map[string]string{"w1": "c"}, 5*time.Second, 9*time.Second)
	b.Invalidate("s", Incarnation{"w1", 2})
	if _, ok := b.Ticket("s", Incarnation{"w1", 2}, 6*time.Second); ok {
		t.Error("a refused ticket is used again")
	}
	// A ticket that holds shorter than the margin is of use.
	c, ok = b.NextCall("short", 1, incarnations(1), 7*time.Second)
	if !ok {
		t.Fatal("a new step isn't asked for")
	}
	b.HandleAnswer(c, map[string]string{"w0": "d"}, 7*time.Second, 300*time.Millisecond)
	if _, ok := b.Ticket("short", Incarnation{"w0", 1}, 7100*time.Millisecond); !ok {
		t.Error("a short ticket is never used")
	}
	if _, ok := b.Ticket("short", Incarnation{"w0", 1}, 7200*time.Millisecond); ok {
		t.Error("a short ticket is used at its end")
	}
	b.Retain(nil)
	if len(b.steps) != 0 {
		t.Error("a step that is over is remembered")
	}
}
