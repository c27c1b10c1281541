package assign

import (
	"slices"
	"testing"
	"time"

	"citronbridge/work"
)

// TestReclaim fills two workers and lets an urgent gang reclaim its account's
// guarantee: runs of lower priority are stopped before urgent runs that exceed a
// guarantee, and urgent runs within one are never stopped.
func TestReclaim(t *testing.T) {
	batch := func() *Run { return &Run{Key: "batch", Demand: accelerators(8), Priority: 2, Loss: 900} }
	borrowed := func() *Run { return &Run{Key: "borrowed", Demand: accelerators(8), Borrowed: true, Loss: 10} }
	held := func() *Run { return &Run{Key: "held", Demand: accelerators(8), Loss: 1} }
	for _, c := range []struct {
		name     string
		a, b     *Run
		reclaims bool
		want     []string
	}{
		{"batch before borrowers", batch(), borrowed(), true, []string{"batch"}},
		{"borrower", held(), borrowed(), true, []string{"borrowed"}},
		{"others' guarantees", held(), held(), true, nil},
		{"no reclaim", held(), borrowed(), false, nil},
	} {
		u := &Unit{Key: "u", Step: &work.Step{Count: 1, Demand: accelerators(8), Gang: true}, Indexes: []int{0}, MayPreempt: true, Reclaims: c.reclaims}
		p := Decide(0, []*Worker{worker("a", "r", c.a), worker("b", "r", c.b)}, []*Unit{u})
		var got []string
		for _, r := range p.Stops {
			got = append(got, r.Key)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: stopped %v, want %v", c.name, got, c.want)
		}
	}
}

// TestReclaimingUnitPlacedFirst checks that the last free worker goes to the urgent
// unit that reclaims its account's guarantee, even if another ranks before it.
func TestReclaimingUnitPlacedFirst(t *testing.T) {
	s := &work.Step{Count: 1, Demand: accelerators(8)}
	early := &Unit{Key: "early", Step: s, Indexes: []int{0}, MayPreempt: true, Rank: 1}
	late := &Unit{Key: "late", Step: s, Indexes: []int{0}, MayPreempt: true, Rank: 2, Reclaims: true}
	p := Decide(0, []*Worker{worker("a", "r")}, []*Unit{early, late})
	if len(p.Starts) != 1 || p.Starts[0].Unit != late {
		t.Errorf("starts %+v, want only the unit that reclaims its guarantee", p.Starts)
	}
}

// TestSingleRackWait fills half of each rack with runs that can't be stopped: a gang
// that is slow on several racks waits for a single one, and is placed on both
// once it has waited for SingleRackWait.
func TestSingleRackWait(t *testing.T) {
	for _, c := range []struct {
		waited time.Duration
		starts int
	}{{0, 0}, {2 * time.Second, 2}} {
		fixed := func() *Run { return &Run{Key: "fixed", Demand: accelerators(8), NoPreempt: true, EndsAt: time.Hour} }
		workers := []*Worker{worker("a1", "a", fixed()), worker("a2", "a"), worker("b1", "b", fixed()), worker("b2", "b")}
		u := &Unit{
			Key: "u", Step: &work.Step{Count: 2, Demand: accelerators(8), Gang: true, SameRack: true}, Indexes: []int{0, 1},
			MayPreempt: true, Reclaims: true, Waited: c.waited, SingleRackWait: time.Second,
		}
		if p := Decide(0, workers, []*Unit{u}); len(p.Starts) != c.starts {
			t.Errorf("after %v: %d starts, want %d", c.waited, len(p.Starts), c.starts)
		}
	}
}
