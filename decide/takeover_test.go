package decide

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/event"
	"citronbridge/repo"
	"citronbridge/sched"
	"citronbridge/track"
)

// TestTakeoverMilestones checks that each milestone of a takeover is logged once, when it is
// reached.
func TestTakeoverMilestones(t *testing.T) {
	var out bytes.Buffer
	k := takeover{log: zerolog.New(&out)}
	logged := func(text string) int { return strings.Count(out.String(), text) }
	s := sched.New(track.Config{Pool: "p", PartitionOf: func(string) string { return "j0" }}, event.Clock{}, nil)
	s.Handle(event.Clock{}, event.WorkerListed{Worker: event.Worker{ID: "w", Address: "a"}})
	parts := repo.JobPartitions()
	for _, p := range parts[1:] {
		s.Handle(event.Clock{}, event.PartitionLoaded{Partition: p})
	}
	k.logProgress(s)
	if out.Len() > 0 {
		t.Errorf("milestones are logged too soon: %s", &out)
	}
	s.Handle(event.Clock{}, event.PartitionLoaded{Partition: parts[0]})
	w := s.Workers["w"]
	w.Synced, w.SyncedAt = true, time.Second
	k.logProgress(s)
	s.Handle(event.Clock{}, event.OwnershipProved{At: 2 * time.Second})
	s.Inheriting = false
	for range 3 {
		k.logProgress(s)
		k.startOrdered("w")
	}
	for _, m := range []string{"all partitions are loaded", "all listed workers may get tasks", "running unknown", "first start of a task"} {
		if n := logged(m); n != 1 {
			t.Errorf("%q is logged %d times, want once: %s", m, n, &out)
		}
	}
}
