package assign

import (
	"maps"
	"testing"
	"time"

	"citronbridge/work"
)

// TestOverdueJob guards against a job with nothing running that is kept from free room:
// each case keeps a unit waiting, and must not once its job is overdue.
func TestOverdueJob(t *testing.T) {
	free := func(id, rack string) *Worker { return worker(id, rack) }
	busy := func(id, rack string) *Worker {
		return worker(id, rack, &Run{Key: "busy@" + id, Demand: accelerators(8), EndsAt: time.Hour, NoPreempt: true})
	}
	changed := func(w *Worker, f func(*Worker)) *Worker {
		f(w)
		return w
	}
	paused, suspect := func(w *Worker) { w.Paused = true }, func(w *Worker) { w.Probation, w.Failing = true, true }
	large := &Unit{Key: "00000000000000aa.0.0", Step: &work.Step{Count: 4, Demand: accelerators(8), Gang: true}, Indexes: []int{0, 1, 2, 3}}
	for _, x := range []struct {
		name    string
		step    work.Step
		unit    Unit
		before  *Unit
		workers []*Worker
		// waiting and standing are the workers of the tasks that start.
		waiting, standing map[string]int
	}{
		{"preferred rack", work.Step{Count: 3, Affinity: "a"}, Unit{LocalityWait: time.Hour}, nil, []*Worker{busy("a1", "a"), free("b1", "b")}, nil, map[string]int{"b1": 1}},
		{"rack of its other tasks", work.Step{Count: 3, SameRack: true}, Unit{Rack: "a", LocalityWait: time.Hour}, nil, []*Worker{busy("a1", "a"), free("b1", "b")}, nil, map[string]int{"b1": 1}},
		{"reserved room", work.Step{Count: 3}, Unit{}, large, []*Worker{busy("a1", "a"), free("a2", "a"), free("b1", "b"), free("b2", "b")}, nil, map[string]int{"a2": 1}},
		{"single rack", work.Step{Count: 3, Gang: true, SameRack: true}, Unit{}, nil, []*Worker{busy("a1", "a"), busy("a2", "a"), free("a3", "a"), free("b1", "b"), free("c1", "c")}, nil, map[string]int{"a3": 1, "b1": 1, "c1": 1}},
		{"failures of its own", work.Step{Count: 3}, Unit{AvoidedWorkers: map[string]bool{"a1": true}}, nil, []*Worker{free("a1", "a"), busy("b1", "b")}, nil, map[string]int{"a1": 1}},
		{"failures of its own and of others", work.Step{Count: 3}, Unit{AvoidedWorkers: map[string]bool{"a1": true}}, nil, []*Worker{free("a1", "a"), changed(free("a2", "a"), suspect), busy("b1", "b")}, nil, map[string]int{"a2": 1}},
		{"paused worker", work.Step{Count: 3}, Unit{}, nil, []*Worker{changed(free("a1", "a"), paused), busy("b1", "b")}, nil, map[string]int{"a1": 1}},
		{"sound workers first", work.Step{Count: 3, Affinity: "a"}, Unit{LocalityWait: time.Hour}, nil, []*Worker{busy("a1", "a"), changed(free("a2", "a"), paused), changed(free("b1", "b"), paused), free("c1", "c")}, nil, map[string]int{"c1": 1}},
		{"gang on suspected workers", work.Step{Count: 2, Gang: true}, Unit{}, nil, []*Worker{changed(free("a1", "a"), suspect), changed(free("a2", "a"), suspect), busy("b1", "b"), busy("b2", "b")}, nil, map[string]int{"a1": 1, "a2": 1}},
		{"no wait", work.Step{Count: 3}, Unit{}, nil, []*Worker{free("a1", "a"), free("a2", "a"), free("b1", "b")}, map[string]int{"a1": 1, "a2": 1, "b1": 1}, map[string]int{"a1": 1, "a2": 1, "b1": 1}},
		{"long-running tasks, each of which counts", work.Step{Count: 2, Affinity: "a", LongRunning: true}, Unit{LocalityWait: time.Hour}, nil, []*Worker{busy("a1", "a"), free("b1", "b"), free("b2", "b")}, nil, map[string]int{"b1": 1, "b2": 1}},
		{"closed worker", work.Step{Count: 1}, Unit{}, nil, []*Worker{changed(free("a1", "a"), func(w *Worker) { w.Closed = true })}, nil, nil},
		{"anti-affinity", work.Step{Count: 2, AntiAffinity: 1, Affinity: "a"}, Unit{LocalityWait: time.Hour, TasksPerWorker: map[string]int{"b1": 1}}, nil, []*Worker{busy("a1", "a"), free("b1", "b")}, nil, nil},
	} {
		for _, overdue := range []bool{false, true} {
			var l []*Worker
			for _, w := range x.workers {
				c := *w
				l = append(l, &c)
			}
			u, s := x.unit, x.step
			u.Key, u.Step, u.Overdue, u.Priority = "00000000000000bb.0.0", &s, overdue, 1
			s.Demand = accelerators(8)
			u.TasksPerWorker = maps.Clone(u.TasksPerWorker)
			for i := range s.Count {
				u.Indexes = append(u.Indexes, i)
			}
			units := []*Unit{&u}
			if x.before != nil {
				b := *x.before
				units = append(units, &b)
			}
			got := map[string]int{}
			for _, p := range Decide(0, l, units).Starts {
				got[p.Worker]++
			}
			want := x.waiting
			if overdue {
				want = x.standing
			}
			if !maps.Equal(got, want) {
				t.Errorf("%s, overdue %v: started %v, want %v", x.name, overdue, got, want)
			}
		}
	}
}

// TestClaimedRoom guards against an overdue job that takes the room that is kept for an
// urgent one while runs are stopped for it, so that more of them must be stopped.
func TestClaimedRoom(t *testing.T) {
	urgent := &Unit{Key: "00000000000000aa.0.0", Step: &work.Step{Count: 2, Demand: accelerators(8), Gang: true}, Indexes: []int{0, 1}, MayPreempt: true}
	u := &Unit{Key: "00000000000000bb.0.0", Step: &work.Step{Count: 1, Demand: accelerators(1)}, Indexes: []int{0}, Priority: 2, Overdue: true}
	l := []*Worker{worker("a1", "a", &Run{Key: "run", Demand: accelerators(8), Priority: 2, EndsAt: time.Hour}), worker("a2", "a")}
	if p := Decide(0, l, []*Unit{urgent, u}); len(p.Stops) != 1 || len(p.Starts) != 0 {
		t.Errorf("%d stops and %d starts, want one stop and no start", len(p.Stops), len(p.Starts))
	}
}
