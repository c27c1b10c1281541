package place

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronbridge/golden"
	"citronbridge/jobs"
	"citronbridge/rules"
	"citronbridge/state"
	"citronbridge/units"
)

var epoch = time.Unix(1800000000, 0).UTC()

var wholeTarget = jobs.Room{Accelerators: 8, Processors: 64, Memory: 256 << 30, Slots: 8}

func targets(racks, perRack int) []state.Target {
	var l []state.Target
	for r := range racks {
		for i := range perRack {
			l = append(l, state.Target{ID: fmt.Sprintf("r%02d-t%02d", r, i), Rack: fmt.Sprintf("r%02d", r), Room: wholeTarget, Open: true})
		}
	}
	return l
}

func shape(members, accelerators int, a jobs.Adjacency) jobs.Shape {
	return jobs.Shape{Members: members, Each: jobs.Room{Accelerators: accelerators, Processors: accelerators, Memory: units.Bytes(accelerators) << 30}, Adjacency: a}
}

func spec(account, id, kind string, s jobs.Shape) *jobs.Spec {
	return &jobs.Spec{Account: account, ID: id, Caller: "c", Kind: kind, Shape: s, RunTime: units.Duration(time.Minute)}
}

func request(s *jobs.Spec, age time.Duration) state.Request {
	return state.Request{Spec: s, Arrived: epoch.Add(-age), Expected: s.RunTime.D()}
}

// twoAccounts returns a manifest in which accounts a and b are guaranteed two whole targets of
// one rack each, and account c nothing.
func twoAccounts() *rules.Manifest {
	g := func() []rules.Guarantee {
		return []rules.Guarantee{{DataCentre: "dc", Shape: shape(2, 8, jobs.AdjacentRack)}}
	}
	return &rules.Manifest{
		Kinds: []rules.Kind{{Name: "urgent"}, {Name: "routine", FloorPercent: 25}}, CastingVote: "b",
		Accounts: []rules.Account{{Name: "a", Guarantees: g()}, {Name: "b", Guarantees: g()}, {Name: "c"}},
	}
}

// TestDecisions compares whole plans with golden files.
func TestDecisions(t *testing.T) {
	borrower := func(i int, targets ...string) state.Job {
		s := spec("c", fmt.Sprintf("b%d", i), "routine", shape(len(targets), 8, jobs.AdjacentRack))
		s.Checkpoints = i%2 == 0
		return state.Job{Spec: s, Targets: targets, Started: epoch.Add(-time.Duration(i) * time.Minute), Expected: time.Hour}
	}
	for _, x := range []struct {
		name string
		in   state.Input
	}{
		{"reclaim", state.Input{Targets: targets(1, 4),
			Running: []state.Job{borrower(1, "r00-t00"), borrower(2, "r00-t01"), borrower(3, "r00-t02"), borrower(4, "r00-t03")},
			Waiting: []state.Request{request(spec("a", "claim", "urgent", shape(2, 8, jobs.AdjacentRack)), time.Second)}}},
		{"tie", state.Input{Targets: targets(1, 1),
			Waiting: []state.Request{
				request(spec("a", "x", "routine", shape(1, 1, jobs.AdjacentHost)), 0),
				request(spec("b", "x", "routine", shape(1, 1, jobs.AdjacentHost)), 0)}}},
		{"urgent first, then the floor", state.Input{Targets: targets(1, 4),
			Waiting: []state.Request{
				request(spec("c", "r1", "routine", shape(1, 8, jobs.AdjacentHost)), 0),
				request(spec("c", "r2", "routine", shape(1, 8, jobs.AdjacentHost)), 0),
				request(spec("c", "u1", "urgent", shape(1, 8, jobs.AdjacentHost)), 0),
				request(spec("c", "u2", "urgent", shape(1, 8, jobs.AdjacentHost)), 0),
				request(spec("c", "u3", "urgent", shape(1, 8, jobs.AdjacentHost)), 0),
				request(spec("c", "u4", "urgent", shape(1, 8, jobs.AdjacentHost)), 0)}}},
		{"backfill", state.Input{Targets: targets(1, 2),
			Running: []state.Job{borrower(1, "r00-t00")},
			Waiting: []state.Request{
				request(spec("c", "large", "routine", shape(2, 8, jobs.AdjacentRack)), time.Hour),
				request(spec("c", "short", "routine", shape(1, 4, jobs.AdjacentHost)), 0),
				{Spec: spec("c", "long", "routine", shape(1, 2, jobs.AdjacentHost)), Arrived: epoch, Expected: 48 * time.Hour}}}},
		{"never fits", state.Input{Targets: targets(2, 2),
			Waiting: []state.Request{request(spec("c", "wide", "routine", shape(3, 8, jobs.AdjacentRack)), 0)}}},
		{"fixed job keeps off guarantees", state.Input{Targets: targets(1, 5),
			Waiting: []state.Request{
				request(nonPreemptibleSpec("f1", shape(1, 8, jobs.AdjacentHost)), 0),
				request(nonPreemptibleSpec("f2", shape(1, 8, jobs.AdjacentHost)), 0)}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			x.in.Now, x.in.Cell, x.in.Manifest = epoch, "dc", twoAccounts()
			b, err := json.MarshalIndent(Decide(&x.in), "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			golden.Check(t, "testdata/"+x.name+".golden", string(b)+"\n")
		})
	}
}

func nonPreemptibleSpec(id string, s jobs.Shape) *jobs.Spec {
	p := spec("c", id, "routine", s)
	p.NonIdempotent = true
	return p
}

// simulatedCell is a cell that is carried through several decisions.
type simulatedCell struct {
	in   state.Input
	next int
}

// newSimulatedCell draws a cell that is large enough for the guarantees of twoAccounts.
func newSimulatedCell(t *rapid.T) *simulatedCell {
	w := &simulatedCell{in: state.Input{Now: epoch, Cell: "dc", Manifest: twoAccounts()}}
	w.in.Targets = targets(rapid.IntRange(1, 3).Draw(t, "racks"), rapid.IntRange(4, 6).Draw(t, "perRack"))
	return w
}

// addArrivals adds up to 12 random requests to the queue.
func (w *simulatedCell) addArrivals(t *rapid.T) {
	for range rapid.IntRange(0, 12).Draw(t, "arrivals") {
		s := spec(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), fmt.Sprintf("j%03d", w.next),
			rapid.SampledFrom([]string{"urgent", "routine"}).Draw(t, "kind"),
			shape(rapid.IntRange(1, 4).Draw(t, "members"), rapid.IntRange(0, 8).Draw(t, "accelerators"),
				rapid.SampledFrom([]jobs.Adjacency{jobs.AdjacentHost, jobs.AdjacentRack, jobs.AdjacentDataCentre}).Draw(t, "adjacency")))
		s.Caller = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "caller")
		s.NonIdempotent = rapid.Bool().Draw(t, "nonIdempotent")
		s.Checkpoints = rapid.Bool().Draw(t, "checkpoints")
		w.next++
		w.in.Waiting = append(w.in.Waiting, state.Request{Spec: s, Arrived: w.in.Now, Expected: time.Duration(rapid.IntRange(1, 600).Draw(t, "expected")) * time.Second})
	}
}

// apply carries out a plan. Stopped jobs are removed, started ones move from the queue to the
// running jobs.
func (w *simulatedCell) apply(p *Plan) {
	w.in.Backing = p.Backing
	stopped := map[jobs.Key]bool{}
	for _, s := range p.Stops {
		stopped[s.Key] = true
	}
	w.in.Running = slices.DeleteFunc(w.in.Running, func(j state.Job) bool { return stopped[j.Spec.Key()] })
	for _, s := range p.Starts {
		i := slices.IndexFunc(w.in.Waiting, func(r state.Request) bool { return r.Spec.Key() == s.Key })
		r := w.in.Waiting[i]
		w.in.Running = append(w.in.Running, state.Job{Spec: r.Spec, Targets: s.Targets, Guarantee: s.Guarantee, Started: w.in.Now, Expected: r.Expected})
		w.in.Waiting = slices.Delete(w.in.Waiting, i, i+1)
	}
}

// finish advances the time by a minute and ends some running jobs.
func (w *simulatedCell) finish(t *rapid.T) {
	w.in.Now = w.in.Now.Add(time.Minute)
	w.in.Running = slices.DeleteFunc(w.in.Running, func(state.Job) bool { return rapid.IntRange(0, 3).Draw(t, "ends") == 0 })
}

// TestInvariants carries a cell through several decisions and checks that no room is given out
// twice, gangs are complete and adjacent, every guarantee can be reclaimed, jobs that can't be
// preempted stay off others' guarantees, and the order of the input's lists makes no difference.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulatedCell(t)
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			w.addArrivals(t)
			p := Decide(&w.in)
			checkPlan(t, w, &p)
			checkOrderIndependence(t, w, &p)
			w.apply(&p)
			checkRoom(t, w)
			checkReclaimable(t, w)
			w.finish(t)
		}
	})
}

// checkPlan checks that every request has one decision, that gangs are complete and adjacent,
// and that no job is stopped that can't be preempted or runs on a guarantee.
func checkPlan(t *rapid.T, w *simulatedCell, p *Plan) {
	if len(p.Unbacked) > 0 {
		t.Fatalf("guarantees %v are not backed by targets", p.Unbacked)
	}
	decisions := map[jobs.Key]int{}
	for _, s := range p.Starts {
		decisions[s.Key]++
		i := slices.IndexFunc(w.in.Waiting, func(r state.Request) bool { return r.Spec.Key() == s.Key })
		sp := w.in.Waiting[i].Spec
		if len(s.Targets) != sp.Shape.Members {
			t.Fatalf("%s: %d of %d members placed", s.Key, len(s.Targets), sp.Shape.Members)
		}
		for _, id := range s.Targets {
			if sp.Shape.Adjacency == jobs.AdjacentHost && id != s.Targets[0] || sp.Shape.Adjacency == jobs.AdjacentRack && id[:3] != s.Targets[0][:3] {
				t.Fatalf("%s: %v are not adjacent", s.Key, s.Targets)
			}
		}
	}
	for _, x := range p.Waits {
		decisions[x.Key]++
	}
	for _, r := range w.in.Waiting {
		if decisions[r.Spec.Key()] != 1 {
			t.Fatalf("request %s has %d decisions, want 1", r.Spec.Key(), decisions[r.Spec.Key()])
		}
	}
	for _, s := range p.Stops {
		i := slices.IndexFunc(w.in.Running, func(j state.Job) bool { return j.Spec.Key() == s.Key })
		if j := w.in.Running[i]; state.NonPreemptible(j.Spec) || j.Guarantee != "" {
			t.Fatalf("job %s is stopped though it can't be preempted or runs on a guarantee", s.Key)
		}
	}
}

// checkOrderIndependence shuffles the lists of the input and expects the same plan.
func checkOrderIndependence(t *rapid.T, w *simulatedCell, p *Plan) {
	in := w.in
	r := rand.New(rand.NewPCG(uint64(w.next), 1))
	in.Targets, in.Running, in.Waiting = slices.Clone(in.Targets), slices.Clone(in.Running), slices.Clone(in.Waiting)
	r.Shuffle(len(in.Targets), func(i, j int) { in.Targets[i], in.Targets[j] = in.Targets[j], in.Targets[i] })
	r.Shuffle(len(in.Running), func(i, j int) { in.Running[i], in.Running[j] = in.Running[j], in.Running[i] })
	r.Shuffle(len(in.Waiting), func(i, j int) { in.Waiting[i], in.Waiting[j] = in.Waiting[j], in.Waiting[i] })
	q := Decide(&in)
	x, _ := json.Marshal(p)
	y, _ := json.Marshal(q)
	if !bytes.Equal(x, y) {
		t.Fatalf("plan depends on the order of the input:\n%s\n%s", x, y)
	}
}

// checkRoom checks that the running jobs fit into the room of their targets.
func checkRoom(t *rapid.T, w *simulatedCell) {
	free := map[string]jobs.Room{}
	for _, x := range w.in.Targets {
		free[x.ID] = x.Room
	}
	for _, j := range w.in.Running {
		for _, id := range j.Targets {
			free[id] = free[id].Minus(j.Spec.TaskRoom())
			if !(jobs.Room{}).Fits(free[id]) {
				t.Fatalf("target %s is overcommitted: free room %+v", id, free[id])
			}
		}
	}
}

// checkReclaimable checks that each account that uses none of its guarantee can get all of it.
func checkReclaimable(t *rapid.T, w *simulatedCell) {
	for _, a := range []string{"a", "b"} {
		used := false
		for _, j := range w.in.Running {
			used = used || j.Guarantee == state.GuaranteeID(a, 0)
		}
		if used {
			continue
		}
		in := w.in
		in.Waiting = []state.Request{request(spec(a, "claim", "urgent", shape(2, 8, jobs.AdjacentRack)), 0)}
		p := Decide(&in)
		if len(p.Starts)+len(p.Stops) == 0 {
			t.Fatalf("the guarantee of %s can't be reclaimed: %+v", a, p.Waits)
		}
	}
}

// TestLargeJobDoesNotStarve submits short small jobs continuously while a large job waits, and
// expects that the large one starts thanks to its reservation, and without the reservation
// doesn't.
func TestLargeJobDoesNotStarve(t *testing.T) {
	for _, x := range []struct {
		name   string
		policy state.Policy
		starts bool
	}{{"whole policy", state.Policy{}, true}, {"no backfill", state.Policy{NoBackfill: true}, true}, {"no reservation", state.Policy{NoReservation: true}, false}} {
		in := state.Input{Now: epoch, Cell: "dc", Manifest: &rules.Manifest{Kinds: []rules.Kind{{Name: "routine"}}, CastingVote: "c", Accounts: []rules.Account{{Name: "c"}}}, Targets: targets(1, 4), Policy: x.policy}
		w := &simulatedCell{in: in}
		large := spec("c", "large", "routine", shape(4, 8, jobs.AdjacentRack))
		started := false
		for round := 0; round < 60 && !started; round++ {
			w.in.Now = epoch.Add(time.Duration(round) * 10 * time.Second)
			for range 4 {
				s := spec("c", fmt.Sprintf("s%03d", w.next), "routine", shape(1, 4, jobs.AdjacentHost))
				w.next++
				w.in.Waiting = append(w.in.Waiting, state.Request{Spec: s, Arrived: w.in.Now, Expected: 30 * time.Second})
			}
			if round == 5 {
				w.in.Waiting = append(w.in.Waiting, state.Request{Spec: large, Arrived: w.in.Now, Expected: time.Minute})
			}
			p := Decide(&w.in)
			w.apply(&p)
			w.in.Running = slices.DeleteFunc(w.in.Running, func(j state.Job) bool { return !w.in.Now.Before(j.Started.Add(j.Expected)) })
			started = slices.ContainsFunc(w.in.Running, func(j state.Job) bool { return j.Spec == large })
		}
		if started != x.starts {
			t.Errorf("%s: large job started: %t", x.name, started)
		}
	}
}
