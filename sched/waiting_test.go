package sched

import (
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/work"
)

// TestWaitingJobsOfFormerDecider guards against a successor that counts a job as started because it
// was placed, although its worker was lost before the start.
func TestWaitingJobsOfFormerDecider(t *testing.T) {
	placed := func() *work.Record {
		r := &work.Record{State: work.Running, Queue: "normal", Pool: "p"}
		r.SetPlaced(0, 0, 0, "w0")
		return r
	}
	task := work.TaskID{Job: "00000000000000a1"}
	done := placed()
	done.SetDone(0, 0, 0)
	for _, c := range []struct {
		name    string
		record  *work.Record
		running []event.Running
		ended   []event.Ended
		// silent leaves Holds of the worker without an answer.
		silent  bool
		waiting int
	}{
		{"placed on a worker that was lost", placed(), nil, nil, true, 1},
		{"placed and not begun", placed(), nil, nil, false, 1},
		{"running", placed(), []event.Running{{Task: task, Run: 1}}, nil, false, 0},
		{"failed, not recorded", placed(), nil, []event.Ended{{N: 1, Task: task, Run: 1, Reason: event.Failed}}, false, 0},
		{"another task done", done, nil, nil, true, 0},
		{"known to have started", &work.Record{State: work.Running, Queue: "normal", Pool: "p", Started: true}, nil, nil, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBenchOf(t, 2)
			b.losesStarts = true
			if c.silent {
				b.unresponsive = "w0"
			}
			b.step(event.WorkerInherited{ID: "w0", Address: "a"})
			b.list(1)
			b.running["w0"], b.ended["w0"] = c.running, c.ended
			b.step(event.JobAdded{Job: &work.Job{ID: task.Job, Queue: "normal", Steps: []work.Step{{Count: 2, Demand: work.Amounts{Accelerators: 4}}}}, Record: c.record, Inherited: true})
			b.pass(time.Second)
			if n := b.s.WaitingByQueue()["normal"]; n != c.waiting {
				t.Errorf("%d jobs count as waiting, want %d", n, c.waiting)
			}
		})
	}
}
