package demand

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"citronbridge/assign"
	"citronbridge/event"
	"citronbridge/track"
	"citronbridge/work"
)

// TestRank checks the order of waiting work of one queue, whose jobs should take 3 s and may
// take 9 s, at a time of 20 s.
func TestRank(t *testing.T) {
	const now = 20 * time.Second
	p := track.NewPool(track.Config{Pool: "p"}, event.Clock{Steady: now, Wall: now.Milliseconds()}, &work.Rules{Queues: map[string]*work.Queue{"q": {Name: "q", Stretch: 1.5}}})
	for i, c := range []struct {
		name     string
		accepted time.Duration
	}{
		{"is of no use any more", 12 * time.Second},
		{"just accepted", 20 * time.Second},
		{"late, and soon of no use", 13100 * time.Millisecond},
		{"can just be in time", 19 * time.Second},
		{"late", 18 * time.Second},
	} {
		j := &track.Job{Spec: &work.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Tenant: c.name, Accepted: c.accepted.Milliseconds(), Steps: []work.Step{{Count: 1, Estimate: 2 * time.Second}}}, Record: &work.Record{}}
		j.OpenOccurrence(0, c.accepted)
		p.Jobs[j.Spec.ID] = j
		p.JobsByArrival = append(p.JobsByArrival, j)
	}
	l := Units(p)
	slices.SortFunc(l, func(a, b *assign.Unit) int { return int(a.Rank - b.Rank) })
	var got []string
	for _, u := range l {
		got = append(got, p.Jobs[u.TaskID(0).Job].Spec.Tenant)
	}
	// Work that is late comes before new work once two thirds of its time have passed.
	want := []string{"can just be in time", "late, and soon of no use", "just accepted", "late", "is of no use any more"}
	if !slices.Equal(got, want) {
		t.Errorf("order is %q, want %q", got, want)
	}
}

// TestPlacedOnceProbationEnds guards against work that waits for workers on which runs have
// failed, and isn't placed when that no longer counts against them, as nothing else happens.
func TestPlacedOnceProbationEnds(t *testing.T) {
	const now = 20 * time.Second
	p := track.NewPool(track.Config{Pool: "p"}, event.Clock{Steady: now}, &work.Rules{})
	w := p.Worker("w0")
	w.FailedRuns, w.FailedJobs, w.LastFailure = 2, 2, now-time.Second
	if l, _ := Workers(p); p.PlaceAt != w.SuspectUntil() || len(l) != 0 {
		t.Errorf("the next placement is at %v, want %v", p.PlaceAt, w.SuspectUntil())
	}
	if p.PlaceAt = 0; !w.Suspect(now) || w.Suspect(w.SuspectUntil()) {
		t.Error("the worker isn't suspected just until then")
	}
}
