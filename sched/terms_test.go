package sched

import (
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/work"
)

// TestTermsOfNewerConfiguration guards against a job that fails after fewer attempts than its queue
// allows: the decider doesn't have the configuration yet by which the job was accepted.
func TestTermsOfNewerConfiguration(t *testing.T) {
	b := newBench(t, 1)
	q := *b.s.Rules.Queues["normal"]
	q.MaxAttempts = 3
	const id = "00000000000000a1"
	b.step(event.JobAdded{Job: &work.Job{ID: id, Queue: q.Name, Steps: []work.Step{{Count: 1}}, Terms: q.Terms(b.s.Rules.Version + 1)}, Record: &work.Record{State: work.Pending, Queue: q.Name}})
	j := b.s.Jobs[id]
	for n := range q.MaxAttempts {
		if j.Record.State.Final() {
			t.Fatalf("the job ends as %v after %d failures, want %d", j.Record.State, n, q.MaxAttempts)
		}
		for len(b.running["w0"]) == 0 {
			b.pass(100 * time.Millisecond)
		}
		b.end("w0", b.running["w0"][0].Task, event.Failed)
		b.pass(2 * time.Second)
	}
	if j.Record.State != work.Failed {
		t.Errorf("the job is %v after %d failures, want it to have failed", j.Record.State, q.MaxAttempts)
	}
}
