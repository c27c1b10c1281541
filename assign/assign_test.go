package assign

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronbridge/work"
)

// drawWorkers draws a pool of workers with runs.
func drawWorkers(t *rapid.T) []*Worker {
	var l []*Worker
	for i := range rapid.IntRange(1, 10).Draw(t, "workers") {
		w := &Worker{ID: fmt.Sprint("w", i), Rack: fmt.Sprint("r", i%3), Labels: []string{fmt.Sprint("l", i%2)}}
		w.Total = work.Amounts{MilliCPU: 16000, MemoryMiB: 64000, Accelerators: 8}
		w.Free = w.Total
		w.Closed = rapid.IntRange(0, 5).Draw(t, "closed") == 0
		for n := range rapid.IntRange(0, 4).Draw(t, "runs") {
			r := &Run{Key: fmt.Sprint(i, ".", n), Priority: rapid.IntRange(0, 2).Draw(t, "priority")}
			r.Demand = work.Amounts{MilliCPU: 2000, MemoryMiB: 8000, Accelerators: rapid.Int64Range(0, 3).Draw(t, "accelerators")}
			r.Loss = float64(rapid.IntRange(0, 100).Draw(t, "loss"))
			r.EndsAt = time.Duration(rapid.IntRange(0, 10).Draw(t, "ends")) * time.Second
			r.NoPreempt = rapid.IntRange(0, 4).Draw(t, "fixed") == 0
			if rapid.Bool().Draw(t, "member") {
				r.Group = fmt.Sprint("g", rapid.IntRange(0, 2).Draw(t, "group"))
			}
			if r.Demand.Fits(w.Free) {
				w.Free = w.Free.Minus(r.Demand)
				w.Runs = append(w.Runs, r)
			}
		}
		l = append(l, w)
	}
	return l
}

// drawUnits draws waiting units of a pool.
func drawUnits(t *rapid.T) []*Unit {
	var l []*Unit
	for i := range rapid.IntRange(0, 8).Draw(t, "units") {
		s := &work.Step{Count: rapid.IntRange(1, 6).Draw(t, "count"), Estimate: time.Duration(rapid.IntRange(0, 9).Draw(t, "estimate")) * time.Second}
		s.Demand = work.Amounts{MilliCPU: 1000, MemoryMiB: 4000, Accelerators: rapid.Int64Range(0, 8).Draw(t, "demand")}
		s.Gang, s.SameRack = rapid.Bool().Draw(t, "gang"), rapid.Bool().Draw(t, "rack")
		if rapid.Bool().Draw(t, "label") {
			s.Requires = "l1"
		}
		if rapid.Bool().Draw(t, "near") {
			s.Affinity = "r1"
		}
		s.AntiAffinity = rapid.IntRange(0, 2).Draw(t, "apart")
		u := &Unit{Key: fmt.Sprint("u", i), Step: s, Priority: rapid.IntRange(0, 2).Draw(t, "priority"), TasksPerWorker: map[string]int{}}
		u.MayPreempt = u.Priority == 0
		u.Waited = time.Duration(rapid.IntRange(0, 20).Draw(t, "waited")) * time.Second
		for n := range s.Count {
			u.Indexes = append(u.Indexes, n)
		}
		l = append(l, u)
	}
	return l
}

// TestDecideInvariants draws pools and units, and checks that each plan respects
// capacity, labels, closed workers, anti-affinity and gangs, and stops only runs
// that may be stopped.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, units := drawWorkers(t), drawUnits(t)
		free := map[string]work.Amounts{}
		byID := map[string]*Worker{}
		for _, w := range workers {
			free[w.ID], byID[w.ID] = w.Free, w
		}
		fixed := map[*Run]bool{}
		topPriority := 3
		for _, w := range workers {
			for _, r := range w.Runs {
				fixed[r] = r.NoPreempt
			}
		}
		for _, u := range units {
			if u.MayPreempt {
				topPriority = 0
			}
		}
		p := Decide(0, workers, units)
		placed := map[*Unit]int{}
		placedOn := map[string]int{}
		for _, s := range p.Starts {
			w := byID[s.Worker]
			d := s.Unit.Step.CapacityDemand()
			if !d.Fits(free[w.ID]) {
				t.Fatalf("unit %s exceeds the free capacity of worker %s", s.Unit.Key, w.ID)
			}
			free[w.ID] = free[w.ID].Minus(d)
			if w.Closed || (s.Unit.Step.Requires != "" && w.Labels[0] != s.Unit.Step.Requires) {
				t.Fatalf("unit %s started on worker %s, which is closed or lacks the label", s.Unit.Key, w.ID)
			}
			placed[s.Unit]++
			placedOn[s.Unit.Key+w.ID]++
			if a := s.Unit.Step.AntiAffinity; a > 0 && placedOn[s.Unit.Key+w.ID] > a {
				t.Fatalf("unit %s exceeds its anti-affinity limit on worker %s", s.Unit.Key, w.ID)
			}
		}
		for u, n := range placed {
			if u.Step.Gang && n != u.Step.Count {
				t.Fatalf("gang placed in part: %d of %d members of %s", n, u.Step.Count, u.Key)
			}
		}
		for _, r := range p.Stops {
			if fixed[r] || (r.Priority <= topPriority && r.Group == "") {
				t.Fatalf("run %s of priority %d was stopped but may not be", r.Key, r.Priority)
			}
		}
	})
}

func worker(id, rack string, runs ...*Run) *Worker {
	w := &Worker{ID: id, Rack: rack, Total: work.Amounts{MilliCPU: 16000, MemoryMiB: 64000, Accelerators: 8}}
	w.Free = w.Total
	for _, r := range runs {
		w.Free = w.Free.Minus(r.Demand)
	}
	w.Runs = runs
	return w
}

func accelerators(n int64) work.Amounts { return work.Amounts{Accelerators: n} }

// TestCheapestVictims checks that an urgent task preempts the run with the least
// loss.
func TestCheapestVictims(t *testing.T) {
	cheap := &Run{Key: "cheap", Demand: accelerators(8), Priority: 2, Loss: 10}
	costly := &Run{Key: "costly", Demand: accelerators(8), Priority: 2, Loss: 500}
	u := &Unit{Key: "u", Step: &work.Step{Count: 1, Demand: accelerators(8)}, Indexes: []int{0}, MayPreempt: true}
	p := Decide(0, []*Worker{worker("a", "r", costly), worker("b", "r", cheap)}, []*Unit{u})
	if len(p.Stops) != 1 || p.Stops[0] != cheap {
		t.Errorf("stopped %v, want only the run with the least loss", p.Stops)
	}
}

// TestReservationAllowsBackfill has a blocked gang reserve a free worker: a later
// task may use it only if it ends before the gang is expected to start.
func TestReservationAllowsBackfill(t *testing.T) {
	busy := &Run{Key: "busy", Demand: accelerators(8), Priority: 1, EndsAt: 5 * time.Second}
	gang := &Unit{Key: "gang", Step: &work.Step{Count: 2, Demand: accelerators(8), Gang: true}, Indexes: []int{0, 1}, Priority: 1}
	for _, c := range []struct {
		estimate time.Duration
		starts   int
	}{{4 * time.Second, 1}, {9 * time.Second, 0}} {
		later := &Unit{Key: "later", Step: &work.Step{Count: 1, Demand: accelerators(1), Estimate: c.estimate}, Indexes: []int{0}, Priority: 2}
		p := Decide(0, []*Worker{worker("a", "r", busy), worker("b", "r")}, []*Unit{gang, later})
		if len(p.Starts) != c.starts {
			t.Errorf("task of %v: %d starts, want %d", c.estimate, len(p.Starts), c.starts)
		}
	}
}

// TestSameRackGang checks that a gang that is slow on several racks is placed on a
// single rack, and on several only if no rack could hold it even when empty.
func TestSameRackGang(t *testing.T) {
	for _, c := range []struct{ members, starts int }{{2, 2}, {3, 0}, {5, 5}} {
		blocking := &Run{Key: "half", Demand: accelerators(8), Priority: 0, EndsAt: time.Second}
		workers := []*Worker{worker("a1", "a"), worker("a2", "a", blocking), worker("b1", "b"), worker("b2", "b"), worker("a3", "a"), worker("c1", "c")}
		if c.members == 5 {
			workers[1] = worker("a2", "a")
		}
		s := &work.Step{Count: c.members, Demand: accelerators(8), Gang: true, SameRack: true}
		u := &Unit{Key: "u", Step: s, Priority: 1}
		for i := range c.members {
			u.Indexes = append(u.Indexes, i)
		}
		p := Decide(0, workers, []*Unit{u})
		if len(p.Starts) != c.starts {
			t.Errorf("%d members: %d starts, want %d", c.members, len(p.Starts), c.starts)
		}
	}
}

// TestPreemptionLossLimit checks that a run is stopped for an urgent unit only if
// that loses at most twice the unit's own work, unless the unit reclaims a
// guarantee.
func TestPreemptionLossLimit(t *testing.T) {
	for _, c := range []struct {
		loss     float64
		reclaims bool
		stops    int
	}{{100, false, 1}, {300, false, 0}, {300, true, 1}} {
		run := &Run{Key: "run", Demand: accelerators(8), Priority: 2, Loss: c.loss}
		u := &Unit{Key: "u", Step: &work.Step{Count: 1, Demand: accelerators(8), Estimate: 2 * time.Second}, Indexes: []int{0}, MayPreempt: true, Reclaims: c.reclaims}
		if p := Decide(0, []*Worker{worker("a", "r", run)}, []*Unit{u}); len(p.Stops) != c.stops {
			t.Errorf("loss %v, unit's work %v, reclaims %v: wrong number of stops, %d", c.loss, u.estimatedWork(), c.reclaims, len(p.Stops))
		}
	}
}

// TestFullPoolSkipsOnlyEqualDemands checks that a demand for which no worker has room
// doesn't keep a smaller one from starting: at most 900 millicores are free on a
// worker, so units of 1000 wait, the first of 800 starts and the second waits.
func TestFullPoolSkipsOnlyEqualDemands(t *testing.T) {
	step := func(cpu int64) *work.Step {
		return &work.Step{Count: 1, Demand: work.Amounts{MilliCPU: cpu, MemoryMiB: 100}}
	}
	workers := []*Worker{
		{ID: "a", Total: work.Amounts{MilliCPU: 4000, MemoryMiB: 1000}, Free: work.Amounts{MilliCPU: 500, MemoryMiB: 1000}},
		{ID: "b", Total: work.Amounts{MilliCPU: 4000, MemoryMiB: 1000}, Free: work.Amounts{MilliCPU: 900, MemoryMiB: 1000}},
	}
	var units []*Unit
	for i, cpu := range []int64{1000, 1000, 800, 1000, 800} {
		units = append(units, &Unit{Key: fmt.Sprintf("%016x.0.0", i), Step: step(cpu), Indexes: []int{0}, Rank: time.Duration(i)})
	}
	p := Decide(0, workers, units)
	if len(p.Starts) != 1 || p.Starts[0].Worker != "b" || p.Starts[0].Unit.Key != "0000000000000002.0.0" {
		t.Errorf("starts %+v, want only the third unit, on worker b", p.Starts)
	}
}
