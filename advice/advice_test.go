package advice

import (
	"fmt"
	"testing"
	"time"
)

func lives(n int) []Life {
	var l []Life
	for i := range n {
		l = append(l, Life{fmt.Sprint("w", i), 1})
	}
	return l
}

// TestBook asks for a step, uses its tickets until they run out, asks again
// only for those that were good, and never for the others.
func TestBook(t *testing.T) {
	b := NewBook()
	c, ok := b.Ask("s", 2, lives(40), 0)
	if !ok || len(c.Workers) != usualAsked {
		t.Fatalf("%d workers asked, %v", len(c.Workers), ok)
	}
	if _, ok := b.Ask("t", 2, lives(4), 0); ok {
		t.Error("two calls at a time")
	}
	b.Answered(c, map[string]string{"w1": "a", "w2": "b"}, 0, 3*time.Second)
	if x, ok := b.Ticket("s", Life{"w1", 1}, time.Second); !ok || x != "a" {
		t.Errorf("ticket %q %v", x, ok)
	}
	for _, l := range []Life{{"w0", 1}, {"w1", 2}, {"w35", 1}} {
		if _, ok := b.Ticket("s", l, time.Second); ok {
			t.Errorf("%v has a ticket", l)
		}
	}
	if _, ok := b.Ticket("s", Life{"w1", 1}, 2600*time.Millisecond); ok {
		t.Error("a ticket is used at its end")
	}
	c, ok = b.Ask("s", 2, lives(40), 3*time.Second)
	if !ok || len(c.Workers) != 2 {
		t.Fatalf("asked again for %v", c.Workers)
	}
	b.Failed(3 * time.Second)
	if _, ok := b.Ask("s", 2, lives(40), 3*time.Second); ok {
		t.Error("no pause after a call that was rejected")
	}
	// More tasks than workers that are known as good.
	c, ok = b.Ask("s", 5, lives(40), 4*time.Second)
	if !ok || len(c.Workers) != 12 || c.Workers[0].Worker != "w1" {
		t.Fatalf("asked for %v", c.Workers)
	}
	b.Answered(c, nil, 4*time.Second, time.Second)
	if _, ok := b.Ask("s", 5, lives(40), 5*time.Second); ok {
		t.Error("asked again for workers that may not run the step")
	}
	c, ok = b.Ask("s", 5, []Life{{"w1", 2}}, 5*time.Second)
	if !ok || len(c.Workers) != 1 {
		t.Error("another life of a worker isn't asked for")
	}
	b.Answered(c, map[string]string{"w1": "c"}, 5*time.Second, 9*time.Second)
	b.Refused("s", Life{"w1", 2})
	if _, ok := b.Ticket("s", Life{"w1", 2}, 6*time.Second); ok {
		t.Error("a refused ticket is used again")
	}
	// A ticket that holds shorter than the margin is of use.
	c, ok = b.Ask("short", 1, lives(1), 7*time.Second)
	if !ok {
		t.Fatal("a new step isn't asked for")
	}
	b.Answered(c, map[string]string{"w0": "d"}, 7*time.Second, 300*time.Millisecond)
	if _, ok := b.Ticket("short", Life{"w0", 1}, 7100*time.Millisecond); !ok {
		t.Error("a short ticket is never used")
	}
	if _, ok := b.Ticket("short", Life{"w0", 1}, 7200*time.Millisecond); ok {
		t.Error("a short ticket is used at its end")
	}
	b.Keep(nil)
	if len(b.steps) != 0 {
		t.Error("a step that is over is remembered")
	}
}
