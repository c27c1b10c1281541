package assign

import (
	"testing"
	"time"

	"citronbridge/work"
)

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
