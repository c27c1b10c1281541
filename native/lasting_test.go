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

// serving returns how many tasks of a job are at work.
func (d *deployment) serving(w *watch, job string) int {
	n := 0
	d.p.Lock(func(*model.Cluster) {
		for task, at := range w.active {
			if at && strings.HasPrefix(task, job+".") {
				n++
			}
		}
	})
	return n
}

// crashBusy crashes a worker with a task of a job, and returns its name.
func (d *deployment) crashBusy(job string) string {
	d.t.Helper()
	name := ""
	d.p.Lock(func(c *model.Cluster) {
		for _, i := range slices.Sorted(maps.Keys(c.Workers)) {
			for n := range 6 {
				if name == "" && c.Workers[i].Serving(fmt.Sprintf("%s.0.0.%d", job, n)) {
					name = i
				}
			}
		}
		c.Crash(name)
	})
	if name == "" {
		d.t.Fatal("no worker has a task at work")
	}
	return name
}

// TestLongRunning keeps a step's tasks at work while its decider dies and is
// frozen, a worker crashes and another is cut off for good, and the store loses
// answers: no task has two runs at a time, and a cancel ends them all.
func TestLongRunning(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 4)
	w := d.watch()
	lasting := step{shape: model.TaskProfile{Work: 50 * time.Millisecond, Lasts: time.Hour, CPU: 1000, Memory: 1000, Accelerators: 1}, count: 6, mayMiss: 1}
	d.submit(id(1), "/batch/", job(lasting))
	whole := func(after string) {
		t.Helper()
		d.await("all tasks "+after, func() bool { return d.serving(w, id(1)) == lasting.count })
	}
	whole("at first")
	killed := d.decider()
	killed.kill()
	d.await("another decider after a kill", func() bool { return d.decider() != killed })
	d.addWorker(d.crashBusy(id(1)), 2)
	whole("after a crash")
	frozen := d.decider()
	frozen.signal(t, syscall.SIGSTOP)
	d.await("another decider", func() bool { return d.decider() != frozen })
	frozen.signal(t, syscall.SIGCONT)
	for _, h := range d.hosts {
		h.door.SetFaults(plat.StoreFaults{LoseOneIn: 3})
	}
	d.crashBusy(id(1))
	whole("with answers lost")
	for _, h := range d.hosts {
		h.door.SetFaults(plat.StoreFaults{})
	}
	d.await("the cancel", func() bool {
		for _, h := range d.hosts {
			if status, _ := h.call("DELETE", "/batch/"+id(1), key, ""); status == 200 {
				return true
			}
		}
		return false
	})
	d.await("the end of all tasks", func() bool { return d.serving(w, id(1)) == 0 })
	d.awaitState("/batch/", id(1), "canceled")
	d.check(w)
}

// TestGuaranteeOfOtherAccount lets one account fill the pool with urgent work
// that never ends: another one's urgent gang within its guarantee runs all the
// same, also under a decider that is new, and the first keeps its own guarantee.
func TestGuaranteeOfOtherAccount(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 2)
	const other = "key-of-tenant-b"
	d.configure(
		map[string]any{"name": "tenant-a", "api-keys": []string{key}, "guaranteed": map[string]int{"gpu": 4}},
		map[string]any{"name": "tenant-b", "api-keys": []string{other}, "guaranteed": map[string]int{"gpu": 4}},
	)
	w := d.watch()
	d.submit(id(1), "/urgent/", job(tasks(8, time.Hour)))
	d.awaitStarts(w, 8)
	d.decider().kill()
	gang := step{shape: model.TaskProfile{Work: time.Hour, Gang: 2, CPU: 1000, Memory: 1000, Accelerators: 2}, count: 2}
	d.submitAs(other, id(2), "/urgent/", job(gang))
	d.await("the guaranteed gang", func() bool { return d.serving(w, id(2)) == 2 })
	if n := d.serving(w, id(1)); n != 4 {
		t.Errorf("%d tasks of the other account run, its guarantee is 4", n)
	}
	d.check(w)
}

// TestBudget lets urgent jobs ask for the room of long-running tasks in a pool
// that is full of them, also under a decider that is new: each job runs, and no task is
// stopped while another of its step isn't at work, as one may be away.
func TestBudget(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 2)
	w := d.watch()
	lasting := step{shape: model.TaskProfile{Work: 50 * time.Millisecond, Lasts: time.Hour, CPU: 1000, Memory: 1000, Accelerators: 2}, count: 4, mayMiss: 1}
	stops := 0
	d.p.Lock(func(c *model.Cluster) {
		next := c.OnEnd
		c.OnEnd = func(x *model.Worker, e model.End) {
			next(x, e)
			if e.How != "stopped" || !strings.HasPrefix(e.Task, id(1)+".") {
				return
			}
			stops++
			for i := range lasting.count {
				o := fmt.Sprintf("%s.0.0.%d", id(1), i)
				if o != e.Task && !slices.ContainsFunc(slices.Collect(maps.Values(c.Workers)), func(y *model.Worker) bool { return y.Serving(o) }) {
					w.wrong = append(w.wrong, fmt.Sprintf("%s is stopped while %s is away", e.Task, o))
				}
			}
		}
	})
	d.submit(id(1), "/batch/", job(lasting))
	whole := func() {
		t.Helper()
		d.await("all long-running tasks", func() bool { return d.serving(w, id(1)) == lasting.count })
	}
	urgent := step{shape: model.TaskProfile{Work: 300 * time.Millisecond, CPU: 1000, Memory: 1000, Accelerators: 2}, count: 2}
	for n := range 3 {
		whole()
		if n == 2 {
			h := d.decider()
			h.kill()
			d.await("another decider", func() bool { return d.decider() != h })
		}
		d.submit(id(10+n), "/urgent/", job(urgent))
		d.awaitState("/urgent/", id(10+n), "succeeded")
	}
	whole()
	d.p.Lock(func(*model.Cluster) {
		if stops < 3 {
			t.Errorf("%d stops: nothing was asked of the budget", stops)
		}
	})
	d.check(w)
}
