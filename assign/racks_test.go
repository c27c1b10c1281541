package assign

import (
	"testing"
	"time"

	"citronbridge/work"
)

// TestRacksThatNeverGetFree guards against a gang that waits for good for a single rack: the
// racks that could hold it have tasks that don't end by themselves. It spans racks, unless it
// may stop these tasks.
func TestRacksThatNeverGetFree(t *testing.T) {
	for _, x := range []struct {
		name          string
		run           Run
		urgent        bool
		estimate      time.Duration
		starts, stops int
	}{
		{"runs that last", Run{Lasts: true, NoPreempt: true}, false, time.Second, 2, 0},
		{"runs that end", Run{EndsAt: time.Hour, NoPreempt: true}, false, time.Second, 0, 0},
		{"runs that last, urgent gang", Run{Lasts: true, Priority: 2, Loss: 1}, true, time.Second, 0, 1},
		{"runs that last and may not be stopped, urgent gang", Run{Lasts: true, Priority: 2, NoPreempt: true}, true, time.Second, 2, 0},
		{"runs that last and lose more than the gang's work, urgent gang", Run{Lasts: true, Priority: 2, Loss: 1e6}, true, time.Second, 2, 0},
	} {
		lasting := func() *Run {
			r := x.run
			r.Key, r.Demand = "lasting", accelerators(8)
			return &r
		}
		workers := []*Worker{worker("a1", "a", lasting()), worker("a2", "a"), worker("b1", "b", lasting()), worker("b2", "b"), worker("c1", "c")}
		u := &Unit{
			Key: "00000000000000aa.0.0", Step: &work.Step{Count: 2, Demand: accelerators(8), Gang: true, SameRack: true, Estimate: x.estimate}, Indexes: []int{0, 1},
			MayPreempt: x.urgent, Priority: 1,
		}
		if p := Decide(0, workers, []*Unit{u}); len(p.Starts) != x.starts || len(p.Stops) != x.stops {
			t.Errorf("%s: %d starts and %d stops, want %d and %d", x.name, len(p.Starts), len(p.Stops), x.starts, x.stops)
		}
	}
}
