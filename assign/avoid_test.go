package assign

import (
	"testing"

	"citronbridge/work"
)

// TestReleasedWorkersComeLast checks that workers on which a step's tasks failed are used
// again once they are released, and only for what fits nowhere else.
func TestReleasedWorkersComeLast(t *testing.T) {
	for _, gang := range []bool{false, true} {
		for _, x := range []struct {
			tasks    int
			released bool
			want     map[string]int
		}{
			{1, true, map[string]int{"b": 1}},
			{2, true, map[string]int{"a": 1, "b": 1}},
			{2, false, map[string]int{"b": 1}},
		} {
			u := &Unit{Key: "00000000000000aa.0.0", Step: &work.Step{Count: x.tasks, Demand: accelerators(8), Gang: gang}, AvoidedWorkers: map[string]bool{"a": true}}
			if x.released {
				u.ReleasedWorkers = u.AvoidedWorkers
			}
			for i := range x.tasks {
				u.Indexes = append(u.Indexes, i)
			}
			// The third worker has no room, and would have enough if it were empty.
			fixed := &Run{Key: "fixed", Demand: accelerators(8), NoPreempt: true}
			got := map[string]int{}
			for _, s := range Decide(0, []*Worker{worker("a", "r"), worker("b", "r"), worker("c", "r", fixed)}, []*Unit{u}).Starts {
				got[s.Worker]++
			}
			want := x.want
			if gang && !x.released {
				want = nil
			}
			if len(got) != len(want) || got["a"] != want["a"] || got["b"] != want["b"] {
				t.Errorf("gang %v, %d tasks, released %v: placed %v, want %v", gang, x.tasks, x.released, got, want)
			}
		}
	}
}
