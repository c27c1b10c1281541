package model

import (
	"fmt"
	"maps"
	"testing"
	"time"
)

// TestPolicyDoesNotChange guards against advice that allows a step on other workers once
// workers are added, and against a step that no worker may run once its home is replaced.
func TestPolicyDoesNotChange(t *testing.T) {
	c := NewCluster(Bounds{})
	ids := []string{"w0", "w1", "w2", "w3"}
	for _, id := range ids {
		c.Add(0, &Worker{ID: id, Born: 1})
	}
	advise := func(l ...string) map[string]bool {
		m := map[string]bool{}
		for i := range 200 {
			step := fmt.Sprintf("job%d.0.0", i)
			for id := range c.Advise(step, l, time.Second) {
				m[step+"@"+id] = true
			}
		}
		return m
	}
	before := advise(ids...)
	for i, id := range ids {
		c.Add(0, &Worker{ID: fmt.Sprintf("n%d", i), Born: 1, Replaces: id})
	}
	if after := advise(ids...); !maps.Equal(before, after) {
		t.Errorf("%d pairs of step and worker are allowed, %d once workers were added", len(before), len(after))
	}
	for i := range 200 {
		step := fmt.Sprintf("job%d.0.0", i)
		if len(c.Advise(step, []string{"n0", "n1", "n2", "n3"}, time.Second)) == 0 {
			t.Errorf("%s may run on none of the workers that replaced the others", step)
		}
	}
}
