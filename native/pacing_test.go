package native

import (
	"syscall"
	"testing"
	"time"

	"citronbridge/fakes/model"
	"citronbridge/fakes/plat"
)

// pacingState returns how many latency-sensitive tasks are above their target because of
// best-effort tasks on their worker, and the lowest pace of any best-effort task, in
// percent.
func (d *deployment) pacingState() (n, lowestPace int) {
	lowestPace = 100
	d.platform.Lock(func(c *model.Cluster) {
		for _, x := range c.Workers {
			if !x.Up() {
				continue
			}
			n += len(x.HarmedTasks())
			for _, p := range x.BestEffortPaces() {
				lowestPace = min(lowestPace, p)
			}
		}
	})
	return n, lowestPace
}

// setLoad sets the factor by which the tail latencies on all workers are multiplied.
func (d *deployment) setLoad(by float64) {
	d.platform.Lock(func(c *model.Cluster) {
		for _, x := range c.Workers {
			x.TailFactor = by
		}
	})
}

// TestPacing runs best-effort tasks next to latency-sensitive ones. Each time the load
// rises, also while a decider is killed or paused and while the store loses answers, the
// tail latencies must fall below their target again. Once the load has fallen, best-effort
// tasks must run at full pace again.
func TestPacing(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 2)
	w := d.monitorRuns()
	latencySensitive := step{shape: model.TaskProfile{Work: 50 * time.Millisecond, Lasts: time.Hour, CPU: 1000, Memory: 1000, Accelerators: 3, Tail: 20 * time.Millisecond, Target: 100 * time.Millisecond}, count: 2, image: "web"}
	bestEffort := step{shape: model.TaskProfile{Work: time.Hour, CPU: 8000, Memory: 1000, Harm: 60 * time.Millisecond}, count: 4, image: "batch"}
	d.submit(jobID(1), "/batch/", jobBody(latencySensitive))
	d.await("all latency-sensitive tasks run", func() bool { return d.runningTasks(w, jobID(1)) == latencySensitive.count })
	d.submit(jobID(2), "/batch/", jobBody(bestEffort))
	d.await("a best-effort task runs", func() bool { return d.runningTasks(w, jobID(2)) > 0 })
	awaitTailsBelowTarget := func(when string) {
		t.Helper()
		d.await("tail latencies below their target "+when, func() bool {
			n, lowestPace := d.pacingState()
			return n == 0 && lowestPace < 100
		})
	}
	awaitTailsBelowTarget("at first")
	killed := d.decider()
	d.setLoad(3.5)
	killed.kill()
	d.await("another decider after the kill", func() bool { return d.decider() != killed })
	awaitTailsBelowTarget("after the kill")
	paused := d.decider()
	for _, h := range d.hosts {
		h.endpoint.SetFaults(plat.StoreFaults{LoseOneIn: 4})
	}
	d.setLoad(4.5)
	paused.signal(t, syscall.SIGSTOP)
	d.await("another decider during the pause", func() bool { return d.decider() != paused })
	paused.signal(t, syscall.SIGCONT)
	awaitTailsBelowTarget("after the pause")
	for _, h := range d.hosts {
		h.endpoint.SetFaults(plat.StoreFaults{})
	}
	d.setLoad(0.01)
	d.platform.Lock(func(c *model.Cluster) { c.CompleteJob(jobID(2)) })
	d.submit(jobID(3), "/batch/", jobBody(step{shape: model.TaskProfile{Work: time.Hour, CPU: 8000, Memory: 1000, Harm: time.Millisecond}, count: 2, image: "light"}))
	d.await("best-effort tasks that harm no other task run", func() bool { return d.runningTasks(w, jobID(3)) == 2 })
	d.await("full pace of all best-effort tasks", func() bool {
		n, lowestPace := d.pacingState()
		return n == 0 && lowestPace == 100
	})
	d.checkRuns(w)
}
