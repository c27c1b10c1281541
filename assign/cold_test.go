package assign

import (
	"slices"
	"testing"

	"citronbridge/work"
)

// TestColdWorkersLast checks how cold workers rank: behind warm ones whatever room these have,
// before workers on which the task failed, and as the others where there is no choice.
func TestColdWorkersLast(t *testing.T) {
	demand := work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 1}
	worker := func(id, rack string, free int64, cold bool) *Worker {
		c := work.Amounts{MilliCPU: 16000, MemoryMiB: 64000, Accelerators: 4}
		f := c
		f.Accelerators = free
		return &Worker{ID: id, Rack: rack, Total: c, Free: f, Cold: cold}
	}
	for _, c := range []struct {
		name    string
		workers []*Worker
		step    work.Step
		avoided map[string]bool
		want    []string
	}{
		{"warm one with more room", []*Worker{worker("a", "r", 1, true), worker("b", "r", 4, false)}, work.Step{Count: 1}, nil, []string{"b"}},
		{"cold ones by best fit", []*Worker{worker("a", "r", 4, true), worker("b", "r", 1, true)}, work.Step{Count: 1}, nil, []string{"b"}},
		{"more tasks than warm room", []*Worker{worker("a", "r", 4, true), worker("b", "r", 1, false)}, work.Step{Count: 2}, nil, []string{"b", "a"}},
		{"warm one on which the task failed", []*Worker{worker("a", "r", 4, true), worker("b", "r", 4, false)}, work.Step{Count: 1}, map[string]bool{"b": true}, []string{"a"}},
		{"gang on racks with equal room", []*Worker{worker("a", "r", 2, true), worker("b", "s", 2, false)}, work.Step{Count: 2, Gang: true}, nil, []string{"b", "b"}},
		{"gang on a rack that fits better", []*Worker{worker("a", "r", 2, true), worker("b", "s", 2, false), worker("c", "s", 2, false)}, work.Step{Count: 2, Gang: true}, nil, []string{"a", "a"}},
		{"all cold", []*Worker{worker("a", "r", 2, true), worker("b", "s", 1, true)}, work.Step{Count: 1}, nil, []string{"b"}},
	} {
		c.step.Demand = demand
		u := &Unit{Key: "00000000000000aa.0.0", Step: &c.step, AvoidedWorkers: c.avoided}
		for i := range c.step.Count {
			u.Indexes = append(u.Indexes, i)
		}
		var got []string
		for _, p := range Decide(0, c.workers, []*Unit{u}).Starts {
			got = append(got, p.Worker)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: placed on %v, want %v", c.name, got, c.want)
		}
	}
}
