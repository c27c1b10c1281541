package native

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"citronbridge/fakes/model"
	"citronbridge/fakes/plat"
)

// runningTasks returns how many tasks of a job are running.
func (d *deployment) runningTasks(w *runMonitor, job string) int {
	n := 0
	d.platform.Lock(func(*model.Cluster) {
		for task, at := range w.running {
			if at && strings.HasPrefix(task, job+".") {
				n++
			}
		}
	})
	return n
}

// crashWorkerRunning crashes a worker that runs a task of a job, and returns its ID.
func (d *deployment) crashWorkerRunning(job string) string {
	d.t.Helper()
	worker := ""
	d.platform.Lock(func(c *model.Cluster) {
		for _, i := range slices.Sorted(maps.Keys(c.Workers)) {
			for n := range 6 {
				if worker == "" && c.Workers[i].Serving(fmt.Sprintf("%s.0.0.%d", job, n)) {
					worker = i
				}
			}
		}
		c.Crash(worker)
	})
	if worker == "" {
		d.t.Fatal("no worker runs a task of the job")
	}
	return worker
}

// TestLongRunning runs a long-running step while its decider is killed and the next one
// is paused, while one worker crashes and comes back and another crashes for good, and
// while the store loses answers: all tasks must run again, none twice at a time, and a
// cancel must end them all.
func TestLongRunning(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 4)
	w := d.monitorRuns()
	longRunning := step{shape: model.TaskProfile{Work: 50 * time.Millisecond, Lasts: time.Hour, CPU: 1000, Memory: 1000, Accelerators: 1}, count: 6, mayMiss: 1}
	d.submit(jobID(1), "/batch/", jobBody(longRunning))
	awaitAllRunning := func(after string) {
		t.Helper()
		d.await("all tasks run "+after, func() bool { return d.runningTasks(w, jobID(1)) == longRunning.count })
	}
	awaitAllRunning("at first")
	killed := d.decider()
	killed.kill()
	d.await("another decider after the kill", func() bool { return d.decider() != killed })
	d.addWorker(d.crashWorkerRunning(jobID(1)), 2)
	awaitAllRunning("after a worker's crash")
	paused := d.decider()
	paused.signal(t, syscall.SIGSTOP)
	d.await("another decider during the pause", func() bool { return d.decider() != paused })
	paused.signal(t, syscall.SIGCONT)
	for _, h := range d.hosts {
		h.endpoint.SetFaults(plat.StoreFaults{LoseOneIn: 3})
	}
	d.crashWorkerRunning(jobID(1))
	awaitAllRunning("while the store loses answers")
	for _, h := range d.hosts {
		h.endpoint.SetFaults(plat.StoreFaults{})
	}
	d.await("a host accepts the cancel", func() bool {
		for _, h := range d.hosts {
			if status, _ := h.call("DELETE", "/batch/"+jobID(1), apiKey, ""); status == 200 {
				return true
			}
		}
		return false
	})
	d.await("the end of all tasks", func() bool { return d.runningTasks(w, jobID(1)) == 0 })
	d.awaitState("/batch/", jobID(1), "canceled")
	d.checkRuns(w)
}

// TestGuaranteeOfOtherAccount lets one account fill the pool with urgent tasks that
// never end. An urgent gang of another account must still get that account's guarantee,
// also after a takeover, while the first account keeps its own.
func TestGuaranteeOfOtherAccount(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 2)
	const other = "key-of-tenant-b"
	d.configure(
		map[string]any{"name": "tenant-a", "api-keys": []string{apiKey}, "guaranteed": map[string]int{"gpu": 4}},
		map[string]any{"name": "tenant-b", "api-keys": []string{other}, "guaranteed": map[string]int{"gpu": 4}},
	)
	w := d.monitorRuns()
	d.submit(jobID(1), "/urgent/", jobBody(singleTasks(8, time.Hour)))
	d.awaitStarts(w, 8)
	d.decider().kill()
	gang := step{shape: model.TaskProfile{Work: time.Hour, Gang: 2, CPU: 1000, Memory: 1000, Accelerators: 2}, count: 2}
	d.submitAs(other, jobID(2), "/urgent/", jobBody(gang))
	d.await("the guaranteed gang", func() bool { return d.runningTasks(w, jobID(2)) == 2 })
	if n := d.runningTasks(w, jobID(1)); n != 4 {
		t.Errorf("%d tasks of tenant-a run, want 4 as guaranteed", n)
	}
	d.checkRuns(w)
}

// TestDisruptionBudget submits urgent jobs to a pool that is full of long-running tasks,
// also after a takeover. Each job must preempt some of them and run. As the step allows
// one task to be away, none may be stopped while another one isn't running.
func TestDisruptionBudget(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 2)
	w := d.monitorRuns()
	longRunning := step{shape: model.TaskProfile{Work: 50 * time.Millisecond, Lasts: time.Hour, CPU: 1000, Memory: 1000, Accelerators: 2}, count: 4, mayMiss: 1}
	stops := 0
	d.platform.Lock(func(c *model.Cluster) {
		previous := c.OnEnd
		c.OnEnd = func(x *model.Worker, e model.End) {
			previous(x, e)
			if e.How != "stopped" || !strings.HasPrefix(e.Task, jobID(1)+".") {
				return
			}
			stops++
			for i := range longRunning.count {
				o := fmt.Sprintf("%s.0.0.%d", jobID(1), i)
				if o != e.Task && !slices.ContainsFunc(slices.Collect(maps.Values(c.Workers)), func(y *model.Worker) bool { return y.Serving(o) }) {
					w.violations = append(w.violations, fmt.Sprintf("%s is stopped while %s is also away", e.Task, o))
				}
			}
		}
	})
	d.submit(jobID(1), "/batch/", jobBody(longRunning))
	awaitAllRunning := func() {
		t.Helper()
		d.await("all long-running tasks run", func() bool { return d.runningTasks(w, jobID(1)) == longRunning.count })
	}
	urgent := step{shape: model.TaskProfile{Work: 300 * time.Millisecond, CPU: 1000, Memory: 1000, Accelerators: 2}, count: 2}
	for n := range 3 {
		awaitAllRunning()
		if n == 2 {
			h := d.decider()
			h.kill()
			d.await("another decider", func() bool { return d.decider() != h })
		}
		d.submit(jobID(10+n), "/urgent/", jobBody(urgent))
		d.awaitState("/urgent/", jobID(10+n), "succeeded")
	}
	awaitAllRunning()
	d.platform.Lock(func(*model.Cluster) {
		if stops < 3 {
			t.Errorf("%d stops of long-running tasks, want at least 3", stops)
		}
	})
	d.checkRuns(w)
}
