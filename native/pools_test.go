package native

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/fakes/model"
)

// tenantA is the default account of the deployments, with a guarantee of 4 accelerators.
var tenantA = map[string]any{"name": "tenant-a", "api-keys": []string{apiKey}, "guaranteed": map[string]int{"gpu": 4}}

// deployTwoPools starts hosts, and workers for each of the pools "pool" and "other". The
// former serves urgent jobs, the latter batch jobs.
func deployTwoPools(t *testing.T, hosts, workers int) *deployment {
	d := newDeployment(t, 2*time.Minute)
	d.poolByQueue = map[string]string{"batch": "other"}
	for i := workers; i < 2*workers; i++ {
		d.platform.AssignPool(fmt.Sprintf("w%d", i), "other")
	}
	d.launch(hosts, 2*workers)
	return d
}

// recordStartWorkers records from now on, by job, the workers on which its tasks start.
func (d *deployment) recordStartWorkers() map[string]map[string]bool {
	workersByJob := map[string]map[string]bool{}
	d.platform.Lock(func(c *model.Cluster) {
		previous := c.OnStart
		c.OnStart = func(x *model.Worker, p *model.ActiveRun) {
			previous(x, p)
			if workersByJob[p.Task[:16]] == nil {
				workersByJob[p.Task[:16]] = map[string]bool{}
			}
			workersByJob[p.Task[:16]][x.ID] = true
		}
	})
	return workersByJob
}

// TestTwoPools runs two pools, kills the decider of each in turn, and maintains the
// machines of both in one maintenance wave, whose cap they share. Jobs must run only on
// the workers of their own pool.
func TestTwoPools(t *testing.T) {
	t.Parallel()
	d := deployTwoPools(t, 3, 2)
	w := d.monitorRuns()
	workersByJob := d.recordStartWorkers()
	d.submit(jobID(1), "/urgent/", jobBody(singleTasks(6, 50*time.Millisecond)))
	d.submit(jobID(2), "/batch/", jobBody(singleTasks(6, 50*time.Millisecond)))
	d.awaitState("/urgent/", jobID(1), "succeeded")
	d.awaitState("/batch/", jobID(2), "succeeded")
	d.requestWave(7, 1, w, jobID(1), 0)
	for n, pool := range []string{"pool", "other"} {
		h := d.deciderOf(pool)
		h.kill()
		d.await("another decider of "+pool, func() bool { return d.deciderOf(pool) != h })
		d.startHost(h)
		d.awaitReady(h)
		d.submit(jobID(10+n), "/urgent/", jobBody(singleTasks(3, 50*time.Millisecond)))
		d.submit(jobID(20+n), "/batch/", jobBody(singleTasks(3, 50*time.Millisecond)))
		d.awaitState("/urgent/", jobID(10+n), "succeeded")
		d.awaitState("/batch/", jobID(20+n), "succeeded")
	}
	d.await("the end of the wave", func() bool { return d.waveState(7) == "succeeded" })
	if n := d.startedMaintenance(7); n != 4 {
		t.Errorf("%d of 4 machines have had their maintenance, want all", n)
	}
	d.platform.Lock(func(c *model.Cluster) {
		pools := map[string]string{}
		for _, m := range c.Machines {
			pools[m.ID] = m.Pool
		}
		for job, workers := range workersByJob {
			want := "pool"
			if job == jobID(2) || job == jobID(20) || job == jobID(21) {
				want = "other"
			}
			for x := range workers {
				if p := pools["m-"+x[:2]]; p != want {
					t.Errorf("job %s ran on worker %s of pool %s", job, x, p)
				}
			}
		}
	})
	d.checkRuns(w)
}

// TestQueueRemovedOrMoved lets a job wait while a new configuration removes its queue or
// moves it to another pool, and then kills the decider. The job must run once: in its former
// pool on the terms on which it was accepted, once there is room, if its queue is removed, and
// else in the queue's new pool.
func TestQueueRemovedOrMoved(t *testing.T) {
	t.Parallel()
	for to, worker := range map[string]string{"": "w1", "pool": "w0"} {
		d := deployTwoPools(t, 2, 1)
		w := d.monitorRuns()
		workersByJob := d.recordStartWorkers()
		d.submit(jobID(1), "/batch/", jobBody(singleTasks(4, 2*time.Second)))
		d.awaitStarts(w, 4)
		d.submit(jobID(2), "/batch/", jobBody(singleTasks(4, 50*time.Millisecond)))
		if to == "" {
			d.omittedQueues = map[string]bool{"batch": true}
		}
		d.poolByQueue = map[string]string{"batch": to, "open": "other"}
		d.configure(tenantA)
		for _, h := range d.hosts {
			d.await("the host applies the configuration", func() bool { return h.hasLogged(fmt.Sprintf(`"version":%d,"queues"`, d.configVersion)) })
		}
		h := d.deciderOf("other")
		h.kill()
		d.await("another decider", func() bool { return d.deciderOf("other") != h })
		d.await("the end of all tasks", func() bool { return d.checkRuns(w) == 8 })
		d.platform.Lock(func(*model.Cluster) {
			if len(workersByJob[jobID(2)]) != 1 || !workersByJob[jobID(2)][worker] {
				t.Errorf("the waiting job ran on %v, want worker %s alone", workersByJob[jobID(2)], worker)
			}
		})
	}
}
