package native

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/fakes/model"
)

// tenantA is the account of the tests.
var tenantA = map[string]any{"name": "tenant-a", "api-keys": []string{key}, "guaranteed": map[string]int{"gpu": 4}}

// twoPools starts hosts, and workers for "pool" and "other", with urgent jobs
// for the former and batch jobs for the latter.
func twoPools(t *testing.T, hosts, workers int) *deployment {
	d := newDeployment(t, 2*time.Minute)
	d.pools = map[string]string{"batch": "other"}
	for i := workers; i < 2*workers; i++ {
		d.p.AssignPool(fmt.Sprintf("w%d", i), "other")
	}
	d.launch(hosts, 2*workers)
	return d
}

// noteStarts notes on which workers tasks of each job begin.
func (d *deployment) noteStarts() map[string]map[string]bool {
	on := map[string]map[string]bool{}
	d.p.Lock(func(c *model.Cluster) {
		next := c.OnStart
		c.OnStart = func(x *model.Worker, p *model.ActiveRun) {
			next(x, p)
			if on[p.Task[:16]] == nil {
				on[p.Task[:16]] = map[string]bool{}
			}
			on[p.Task[:16]][x.ID] = true
		}
	})
	return on
}

// TestTwoPools serves two pools with deciders of their own, kills each in turn,
// and takes all machines through one wave of maintenance, whose cap both share.
func TestTwoPools(t *testing.T) {
	t.Parallel()
	d := twoPools(t, 3, 2)
	w := d.watch()
	on := d.noteStarts()
	d.submit(id(1), "/urgent/", job(tasks(6, 50*time.Millisecond)))
	d.submit(id(2), "/batch/", job(tasks(6, 50*time.Millisecond)))
	d.awaitState("/urgent/", id(1), "succeeded")
	d.awaitState("/batch/", id(2), "succeeded")
	d.askForWave(7, 1, w, id(1), 0)
	for n, pool := range []string{"pool", "other"} {
		h := d.deciderOf(pool)
		h.kill()
		d.await("another decider of "+pool, func() bool { return d.deciderOf(pool) != h })
		d.start(h)
		d.awaitReady(h)
		d.submit(id(10+n), "/urgent/", job(tasks(3, 50*time.Millisecond)))
		d.submit(id(20+n), "/batch/", job(tasks(3, 50*time.Millisecond)))
		d.awaitState("/urgent/", id(10+n), "succeeded")
		d.awaitState("/batch/", id(20+n), "succeeded")
	}
	d.await("the end of the wave", func() bool { return d.waveState(7) == "succeeded" })
	if n := d.began(7); n != 4 {
		t.Errorf("%d of 4 machines have had their maintenance", n)
	}
	d.p.Lock(func(c *model.Cluster) {
		pools := map[string]string{}
		for _, m := range c.Machines {
			pools[m.ID] = m.Pool
		}
		for job, workers := range on {
			want := "pool"
			if job == id(2) || job == id(20) || job == id(21) {
				want = "other"
			}
			for x := range workers {
				if p := pools["m-"+x[:2]]; p != want {
					t.Errorf("job %s ran on %s of %s", job, x, p)
				}
			}
		}
	})
	d.check(w)
}

// TestQueueGoes lets jobs wait while a configuration takes their queue away, or
// sends it to another pool, and their decider dies: they run on the terms that
// they were accepted on, where room comes.
func TestQueueGoes(t *testing.T) {
	t.Parallel()
	for _, to := range []string{"", "pool"} {
		d := twoPools(t, 2, 1)
		w := d.watch()
		on := d.noteStarts()
		d.submit(id(1), "/batch/", job(tasks(4, 2*time.Second)))
		d.awaitStarts(w, 4)
		d.submit(id(2), "/batch/", job(tasks(4, 50*time.Millisecond)))
		if to == "" {
			d.without = map[string]bool{"batch": true}
		}
		d.pools = map[string]string{"batch": to, "open": "other"}
		d.configure(tenantA)
		for _, h := range d.hosts {
			d.await("the configuration", func() bool { return h.logged(fmt.Sprintf(`"version":%d,"queues"`, d.version)) })
		}
		h := d.deciderOf("other")
		h.kill()
		d.await("another decider", func() bool { return d.deciderOf("other") != h })
		d.await("the end of all tasks", func() bool { return d.check(w) == 8 })
		d.p.Lock(func(*model.Cluster) {
			if len(on[id(2)]) != 1 || !on[id(2)]["w1"] {
				t.Errorf("the job that waited ran on %v", on[id(2)])
			}
		})
	}
}
