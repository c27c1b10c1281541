package native

import (
	"syscall"
	"testing"
	"time"

	"citronbridge/fakes/model"
	"citronbridge/fakes/plat"
)

// harmed counts the tasks that others beside them slow down beyond their
// target, and slowest returns the lowest pace of those others.
func (d *deployment) harmed() (n, slowest int) {
	slowest = 100
	d.p.Lock(func(c *model.Cluster) {
		for _, x := range c.Workers {
			if !x.Up() {
				continue
			}
			n += len(x.HarmedTasks())
			for _, p := range x.BestEffortPaces() {
				slowest = min(slowest, p)
			}
		}
	})
	return n, slowest
}

// load sets what the tails on all workers are multiplied by.
func (d *deployment) load(by float64) {
	d.p.Lock(func(c *model.Cluster) {
		for _, x := range c.Workers {
			x.TailFactor = by
		}
	})
}

// TestPacing lets best-effort tasks run beside latency-sensitive ones: these come back
// below their target each time, with a decider that is killed or frozen as the
// load rises, and with the store losing answers; and once the load is gone the
// others work at full pace again.
func TestPacing(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 2)
	w := d.watch()
	serving := step{shape: model.TaskProfile{Work: 50 * time.Millisecond, Lasts: time.Hour, CPU: 1000, Memory: 1000, Accelerators: 3, Tail: 20 * time.Millisecond, Target: 100 * time.Millisecond}, count: 2, image: "web"}
	filling := step{shape: model.TaskProfile{Work: time.Hour, CPU: 8000, Memory: 1000, Harm: 60 * time.Millisecond}, count: 4, image: "batch"}
	d.submit(id(1), "/batch/", job(serving))
	d.await("all latency-sensitive tasks", func() bool { return d.serving(w, id(1)) == serving.count })
	d.submit(id(2), "/batch/", job(filling))
	d.await("best-effort tasks", func() bool { return d.serving(w, id(2)) > 0 })
	calm := func(when string) {
		t.Helper()
		d.await("tails below their target "+when, func() bool {
			n, slowest := d.harmed()
			return n == 0 && slowest < 100
		})
	}
	calm("at first")
	killed := d.decider()
	d.load(3.5)
	killed.kill()
	d.await("another decider after a kill", func() bool { return d.decider() != killed })
	calm("after a kill")
	frozen := d.decider()
	for _, h := range d.hosts {
		h.door.SetFaults(plat.StoreFaults{LoseOneIn: 4})
	}
	d.load(4.5)
	frozen.signal(t, syscall.SIGSTOP)
	d.await("another decider after a freeze", func() bool { return d.decider() != frozen })
	frozen.signal(t, syscall.SIGCONT)
	calm("after a freeze")
	for _, h := range d.hosts {
		h.door.SetFaults(plat.StoreFaults{})
	}
	d.load(0.01)
	d.p.Lock(func(c *model.Cluster) { c.CompleteJob(id(2)) })
	d.submit(id(3), "/batch/", job(step{shape: model.TaskProfile{Work: time.Hour, CPU: 8000, Memory: 1000, Harm: time.Millisecond}, count: 2, image: "light"}))
	d.await("tasks that disturb nobody", func() bool { return d.serving(w, id(3)) == 2 })
	d.await("full pace", func() bool {
		n, slowest := d.harmed()
		return n == 0 && slowest == 100
	})
	d.check(w)
}
