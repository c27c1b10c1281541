package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"citronbridge/jobs"
	"citronbridge/rules"
	"citronbridge/state"
)

// benchInput returns a cell in which up to 90 percent of the targets have all accelerators in
// use, with a queue of requests.
func benchInput(targetCount, taskCount, queue, accounts int) *state.Input {
	r := rand.New(rand.NewPCG(5, uint64(targetCount)))
	m := &rules.Manifest{Kinds: []rules.Kind{{Name: "urgent"}, {Name: "routine", FloorPercent: 20}}, CastingVote: "a000"}
	for i := range accounts {
		a := rules.Account{Name: fmt.Sprintf("a%03d", i)}
		if i < targetCount/8 {
			a.Guarantees = []rules.Guarantee{{DataCentre: "dc", Shape: shape(2, 8, jobs.AdjacentRack)}}
		}
		m.Accounts = append(m.Accounts, a)
	}
	in := &state.Input{Now: epoch, Cell: "dc", Manifest: m, Targets: targets((targetCount+7)/8, 8)[:targetCount]}
	for i := range in.Targets {
		in.Targets[i].Room.Slots = 64
	}
	for i := range taskCount {
		s := spec(fmt.Sprintf("a%03d", r.IntN(accounts)), fmt.Sprintf("t%05d", i), "routine", jobs.Shape{Members: 1, Each: jobs.Room{Processors: 1}, Adjacency: jobs.AdjacentHost})
		if i < targetCount*9/10 {
			s.Shape.Each.Accelerators = 8
		}
		in.Running = append(in.Running, state.Job{Spec: s, Targets: []string{in.Targets[i%targetCount].ID}, Started: epoch.Add(-time.Duration(r.IntN(3600)) * time.Second), Expected: time.Hour})
	}
	for i := range queue {
		s := spec(fmt.Sprintf("a%03d", r.IntN(accounts)), fmt.Sprintf("q%05d", i), []string{"urgent", "routine"}[r.IntN(2)], shape(1<<r.IntN(4), 1<<r.IntN(4), jobs.AdjacentRack))
		s.Caller = fmt.Sprintf("c%d", r.IntN(4))
		in.Waiting = append(in.Waiting, request(s, time.Duration(r.IntN(600))*time.Second))
	}
	return in
}

// BenchmarkDecide measures one decision by the number of targets, running tasks and waiting
// requests.
func BenchmarkDecide(b *testing.B) {
	for _, x := range []struct{ targets, tasks, queue, accounts int }{
		{50, 10, 100, 4}, {50, 500, 100, 4}, {50, 500, 1000, 4}, {50, 500, 10000, 4},
		{400, 10, 100, 210}, {400, 4000, 100, 210}, {400, 4000, 1000, 210}, {400, 4000, 10000, 210},
		{3700, 10, 100, 210}, {3700, 36000, 100, 210}, {3700, 36000, 1000, 210}, {3700, 36000, 10000, 210},
	} {
		in := benchInput(x.targets, x.tasks, x.queue, x.accounts)
		in.Backing = Decide(in).Backing
		b.Run(fmt.Sprintf("targets=%d/tasks=%d/queue=%d", x.targets, x.tasks, x.queue), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Decide(in)
			}
		})
	}
}
