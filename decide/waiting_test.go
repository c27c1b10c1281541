package decide

import (
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/sched"
	"citronbridge/track"
	"citronbridge/work"
)

// TestNoCountBeforeAllJobsAreKnown guards against a successor that counts the waiting jobs
// before it has read all partitions.
func TestNoCountBeforeAllJobsAreKnown(t *testing.T) {
	d := &Decider{partitions: map[string]*partition{"j0": nil, "j1": nil}}
	d.state = sched.New(track.Config{Pool: "p", PartitionOf: func(string) string { return "j0" }}, event.Clock{}, nil)
	add := func(id string) {
		d.state.Handle(event.Clock{}, event.JobAdded{Job: &work.Job{ID: id, Queue: "q", Steps: []work.Step{{Count: 1}}}, Record: &work.Record{State: work.Pending, Queue: "q"}})
	}
	add("00000000000000a1")
	for _, p := range []string{"j0", "j1"} {
		d.countWaiting()
		if d.waitingJobs != nil {
			t.Errorf("waiting jobs are counted as %v before partition %s is loaded", d.waitingJobs, p)
		}
		d.state.Handle(event.Clock{}, event.PartitionLoaded{Partition: p})
	}
	d.countWaiting()
	if d.waitingJobs["q"] != 1 {
		t.Errorf("waiting jobs are counted as %v, want 1", d.waitingJobs)
	}
}

// TestNoCountBeforeWorkersAnswer guards against a successor that counts running jobs as waiting, as
// the workers that it can ask haven't said yet what runs there.
func TestNoCountBeforeWorkersAnswer(t *testing.T) {
	d := &Decider{partitions: map[string]*partition{}}
	d.state = sched.New(track.Config{Pool: "p", PartitionOf: func(string) string { return "j0" }}, event.Clock{}, nil)
	d.state.Handle(event.Clock{}, event.WorkerListed{Worker: event.Worker{ID: "w", Address: "a"}})
	if d.countWaiting(); d.waitingJobs != nil {
		t.Error("waiting jobs are counted before the worker has answered")
	}
	d.state.Handle(event.Clock{Steady: time.Second}, event.Tick{})
	if d.countWaiting(); d.waitingJobs == nil {
		t.Error("no jobs are counted long after the takeover, as a worker doesn't answer")
	}
}
