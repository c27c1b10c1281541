package native

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"citronbridge/fakes/model"
	"citronbridge/fakes/plat"
)

// sendBatch configures the pool of the queue "batch". If that is "pool", the configuration has no
// other pool.
func (d *deployment) sendBatch(pool string) {
	d.poolByQueue = map[string]string{"batch": pool}
	if pool == "pool" {
		d.poolByQueue = nil
	}
	d.configure(tenantA)
}

// TestPoolWithoutWorkers guards against jobs that are lost with their pool: its queue is sent to
// another one, its only worker leaves, and its decider is lost with the configuration of the pool.
func TestPoolWithoutWorkers(t *testing.T) {
	t.Parallel()
	d := deployTwoPools(t, 3, 1)
	w := d.monitorRunsAllowingLapses()
	d.submit(jobID(1), "/batch/", jobBody(singleTasks(4, 30*time.Second)))
	d.awaitStarts(w, 4)
	for n := range 3 {
		d.submit(jobID(10+n), "/batch/", jobBody(singleTasks(2, 50*time.Millisecond)))
	}
	d.sendBatch("pool")
	d.deciderOf("other").kill()
	for n := range 3 {
		d.awaitState("/batch/", jobID(10+n), "succeeded")
	}
	d.platform.Lock(func(c *model.Cluster) { c.Crash("w1") })
	d.platform.Store.Remove("servers", "w1")
	d.await("the tasks that were lost start again", func() bool {
		again := 0
		d.platform.Lock(func(*model.Cluster) {
			for task, n := range w.started {
				if strings.HasPrefix(task, jobID(1)) && n == 2 {
					again++
				}
			}
		})
		return again == 4
	})
	d.checkRuns(w)
}

// TestWaitingWhileQueueMoves guards against answers that leave out waiting jobs of a queue that is
// sent from one pool to another.
func TestWaitingWhileQueueMoves(t *testing.T) {
	t.Parallel()
	d := deployTwoPools(t, 2, 0)
	const jobs = 10
	for n := range jobs {
		d.submit(jobID(1+n), "/batch/", jobBody(singleTasks(1, time.Second)))
	}
	// count returns the number of waiting jobs that a host gives, less than 0 if it gives none.
	count := func(h *hostProcess) int {
		var v struct{ Waiting int }
		status, b := h.call(http.MethodGet, "/batch/", apiKey, "")
		if status != http.StatusOK || json.Unmarshal([]byte(b), &v) != nil {
			return -1
		}
		return v.Waiting
	}
	for _, h := range d.hosts {
		d.await("all jobs count as waiting", func() bool { return count(h) == jobs })
	}
	for n := range 6 {
		d.sendBatch([]string{"pool", "other"}[n%2])
		for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, h := range d.hosts {
				if n := count(h); n >= 0 && n < jobs/2 {
					t.Fatalf("%s: %d of %d jobs count as waiting", h.name, n, jobs)
				}
			}
		}
	}
	for _, h := range d.hosts {
		d.await("all jobs count as waiting once", func() bool { return count(h) == jobs })
	}
}

var moveSeeds = flag.Int("move-seeds", 2, "how many seeds TestQueuesThatMove plays")

// TestQueuesThatMove sends a queue to and fro between two pools, one of which the configuration has
// only then, while jobs are submitted and hosts are killed, stopped, frozen, or hear late of
// configurations and jobs. Each task must be done, and none run twice.
func TestQueuesThatMove(t *testing.T) {
	t.Parallel()
	for seed := range *moveSeeds {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			playMoves(t, uint64(seed+1))
		})
	}
}

func playMoves(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 43))
	d := deployTwoPools(t, 3, 2)
	w := d.monitorRunsAllowingLapses()
	const length = 12 * time.Second
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for i, h := range d.hosts {
		hr := rand.New(rand.NewPCG(seed, uint64(100+i)))
		wg.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(hr.Int64N(int64(3 * time.Second))))
				d.trouble(t, h, hr)
			}
		})
	}
	tasks, jobs := 0, 0
	for time.Now().Before(end) {
		if r.IntN(3) == 0 {
			d.sendBatch([]string{"pool", "other"}[r.IntN(2)])
		}
		first := 1 + r.IntN(4)
		l := []step{singleTasks(first, time.Duration(50+r.IntN(500))*time.Millisecond)}
		if r.IntN(3) == 0 {
			second := singleTasks(1+r.IntN(2), 100*time.Millisecond)
			second.after = []int{0}
			l = append(l, second)
		}
		for _, s := range l {
			tasks += s.count
		}
		jobs++
		d.submit(jobID(jobs), "/batch/", jobBody(l...))
		time.Sleep(time.Duration(r.Int64N(int64(400 * time.Millisecond))))
	}
	wg.Wait()
	for n := range jobs {
		d.awaitState("/batch/", jobID(1+n), "succeeded")
	}
	if n := d.checkRuns(w); n != tasks {
		t.Errorf("seed %d: %d of %d tasks are done", seed, n, tasks)
	}
}

// trouble disrupts a host for a while, in a way that is drawn.
func (d *deployment) trouble(t *testing.T, h *hostProcess, r *rand.Rand) {
	wait := func(most time.Duration) { time.Sleep(time.Duration(r.Int64N(int64(most)))) }
	switch r.IntN(6) {
	case 0:
		h.kill()
		wait(time.Second)
		d.startHost(h)
	case 1:
		h.signal(t, syscall.SIGTERM)
		<-h.exited
		d.startHost(h)
	case 2:
		h.signal(t, syscall.SIGSTOP)
		wait(5 * time.Second)
		h.signal(t, syscall.SIGCONT)
	default:
		h.endpoint.SetFaults([]plat.StoreFaults{{HungFeed: "op"}, {HungFeed: "jobs"}, {LoseOneIn: 3}, {LoseOneIn: 3, LateBy: time.Second}}[r.IntN(4)])
		wait(3 * time.Second)
		h.endpoint.SetFaults(plat.StoreFaults{})
	}
}
