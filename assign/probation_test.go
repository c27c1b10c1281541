package assign

import (
	"testing"

	"citronbridge/work"
)

// TestProbation checks what workers take on which runs have failed.
func TestProbation(t *testing.T) {
	const workers = 4
	for _, c := range []struct {
		name               string
		step               work.Step
		retried            bool
		probation, failing int
		want               map[string]int
	}{
		{"one task at a time", work.Step{Count: 6}, false, 3, 3, map[string]int{"w0": 1, "w1": 1, "w2": 1, "w3": 3}},
		{"first attempt on a worker that failed once", work.Step{Count: 6}, false, 0, 4, map[string]int{"w0": 4, "w1": 2}},
		{"another attempt elsewhere", work.Step{Count: 4}, true, 0, 3, map[string]int{"w3": 4}},
		{"gang elsewhere", work.Step{Count: 4, Gang: true}, false, 3, 3, map[string]int{"w3": 4}},
		{"gang that nothing else could hold", work.Step{Count: 5, Gang: true}, false, 3, 3, map[string]int{"w0": 1, "w1": 1, "w2": 1, "w3": 2}},
		{"gang on workers that failed once", work.Step{Count: 4, Gang: true}, false, 0, 4, map[string]int{"w0": 4}},
	} {
		c.step.Demand = work.Amounts{MilliCPU: 1000, Accelerators: 1}
		var l []*Worker
		for i := range workers {
			total := work.Amounts{MilliCPU: 16000, Accelerators: 4}
			l = append(l, &Worker{ID: "w" + string(rune('0'+i)), Rack: "r", Total: total, Free: total, Probation: i < c.probation, Failing: i < c.failing})
		}
		u := &Unit{Key: "00000000000000aa.0.0", Step: &c.step}
		if c.retried {
			u.AvoidedWorkers = map[string]bool{"gone": true}
		}
		for i := range c.step.Count {
			u.Indexes = append(u.Indexes, i)
		}
		got := map[string]int{}
		for _, p := range Decide(0, l, []*Unit{u}).Starts {
			got[p.Worker]++
		}
		for i := range workers {
			if id := l[i].ID; got[id] != c.want[id] {
				t.Errorf("%s: %v placed, want %v", c.name, got, c.want)
				break
			}
		}
	}
}
