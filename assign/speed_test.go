package assign

import (
	"testing"
	"time"

	"citronbridge/work"
)

// TestUnequalSpeeds guards against urgent gangs that end late because of one slow member although
// fast workers are free, against work with time to spare that takes these, and against gangs that
// wait for fast workers while slow ones are free.
func TestUnequalSpeeds(t *testing.T) {
	one := work.Amounts{Accelerators: 1}
	for _, c := range []struct {
		name   string
		speeds []float64
		gang   bool
		needed float64
		tasks  int
		// slow is the expected number of tasks on workers slower than needed, or than 1.
		slow int
	}{
		{"tight gang, fast workers", []float64{0.6, 0.6, 1, 1, 1.6}, true, 0.8, 3, 0},
		{"tight gang, too few fast workers", []float64{0.6, 0.6, 1, 1}, true, 0.8, 3, 1},
		{"tight tasks", []float64{0.6, 1, 1.6}, false, 0.8, 2, 0},
		{"loose gang", []float64{0.6, 0.6, 1, 1, 1.6}, true, 0.3, 2, 2},
		{"loose tasks", []float64{0.6, 1, 1.6, 0.6}, false, 0.3, 2, 2},
		{"nearly equal workers, best fit by order", []float64{0.95, 1.05, 1.1}, false, 0.3, 1, 1},
		{"a need that nobody meets", []float64{0.6, 1, 1.6}, true, 3, 2, 2},
	} {
		var l []*Worker
		speed := map[string]float64{}
		for i, v := range c.speeds {
			w := &Worker{ID: string(rune('a' + i)), Rack: "r", Total: one, Free: one, Speed: v}
			l, speed[w.ID] = append(l, w), v
		}
		u := &Unit{Key: "00000000000000aa.0.0", Step: &work.Step{Count: c.tasks, Demand: one, Gang: c.gang, Estimate: time.Second}, NeededSpeed: c.needed}
		for i := range c.tasks {
			u.Indexes = append(u.Indexes, i)
		}
		p := Decide(0, l, []*Unit{u})
		slow := 0
		for _, s := range p.Starts {
			if v := speed[s.Worker]; v < c.needed || v < 1 {
				slow++
			}
		}
		if len(p.Starts) != c.tasks || slow != c.slow {
			t.Errorf("%s: %d of %d tasks placed, %d on slow workers, want %d", c.name, len(p.Starts), c.tasks, slow, c.slow)
		}
	}
}
