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
		starved       bool
		starts, stops int
	}{
		{"runs that last", Run{Lasts: true, NoPreempt: true}, false, false, 2, 0},
		{"runs that end", Run{EndsAt: time.Hour, NoPreempt: true}, false, false, 0, 0},
		{"runs that end, after a long wait", Run{EndsAt: time.Hour, NoPreempt: true}, false, true, 2, 0},
		{"runs that last, urgent gang", Run{Lasts: true, Priority: 2, Loss: 1}, true, false, 0, 1},
		{"runs that last and may not be stopped, urgent gang", Run{Lasts: true, Priority: 2, NoPreempt: true}, true, false, 2, 0},
		{"runs that last and lose more than the gang's work, urgent gang", Run{Lasts: true, Priority: 2, Loss: 1e6}, true, false, 2, 0},
	} {
		lasting := func() *Run {
			r := x.run
			r.Key, r.Demand = "lasting", accelerators(8)
			return &r
		}
		workers := []*Worker{worker("a1", "a", lasting()), worker("a2", "a"), worker("b1", "b", lasting()), worker("b2", "b"), worker("c1", "c")}
		u := &Unit{
			Key: "00000000000000aa.0.0", Step: &work.Step{Count: 2, Demand: accelerators(8), Gang: true, SameRack: true, Estimate: time.Second}, Indexes: []int{0, 1},
			MayPreempt: x.urgent, Priority: 1, Starved: x.starved,
		}
		if p := Decide(0, workers, []*Unit{u}); len(p.Starts) != x.starts || len(p.Stops) != x.stops {
			t.Errorf("%s: %d starts and %d stops, want %d and %d", x.name, len(p.Starts), len(p.Stops), x.starts, x.stops)
		}
	}
}

// TestReserveAcrossRacks checks that a gang that no single rack could hold reserves room on
// several: what comes later may use that only until the gang is expected to start.
func TestReserveAcrossRacks(t *testing.T) {
	busy := func() *Run { return &Run{Key: "busy", Demand: accelerators(8), Priority: 1, EndsAt: 5 * time.Second} }
	gang := &Unit{Key: "gang", Step: &work.Step{Count: 3, Demand: accelerators(8), Gang: true, SameRack: true}, Indexes: []int{0, 1, 2}, Priority: 1}
	for _, c := range []struct {
		estimate time.Duration
		starts   int
	}{{4 * time.Second, 1}, {9 * time.Second, 0}} {
		later := &Unit{Key: "later", Step: &work.Step{Count: 1, Demand: accelerators(1), Estimate: c.estimate}, Indexes: []int{0}, Priority: 2}
		p := Decide(0, []*Worker{worker("a1", "a", busy()), worker("a2", "a"), worker("b1", "b")}, []*Unit{gang, later})
		if len(p.Starts) != c.starts {
			t.Errorf("task of %v: %d starts, want %d", c.estimate, len(p.Starts), c.starts)
		}
	}
}

// TestPreferredRackThatIsTooSmall guards against a gang that waits for as long as its estimate
// for a rack that couldn't hold it, beside idle workers, and against a starved one that does.
func TestPreferredRackThatIsTooSmall(t *testing.T) {
	for _, x := range []struct {
		name    string
		count   int
		starved bool
		starts  int
	}{
		{"fits the rack when that is empty", 2, false, 0},
		{"doesn't fit the rack", 3, false, 3},
		{"is starved", 2, true, 2},
	} {
		u := &Unit{Key: "00000000000000aa.0.0", Step: &work.Step{Count: x.count, Demand: accelerators(8), Gang: true, Affinity: "a"}, LocalityWait: time.Hour, Starved: x.starved}
		for i := range x.count {
			u.Indexes = append(u.Indexes, i)
		}
		l := []*Worker{worker("a1", "a", &Run{Key: "busy", Demand: accelerators(8), EndsAt: time.Hour}), worker("a2", "a"), worker("b1", "b"), worker("b2", "b")}
		if p := Decide(0, l, []*Unit{u}); len(p.Starts) != x.starts {
			t.Errorf("gang that %s: %d starts, want %d", x.name, len(p.Starts), x.starts)
		}
	}
}
