package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"citronbridge/fakes/model"
)

// avoid runs a lasting job on five of the six workers of a rack, and then hands in a job that
// requires the label of that rack. With trouble, the sixth worker fails what it starts for a
// while. The job must run again afterwards: it has attempts left, and that worker is idle.
func avoid(b *bed) (bool, error) {
	const (
		workers = 18
		greyFor = 6 * time.Second
	)
	if err := b.start(3, workers); err != nil {
		return false, err
	}
	// All workers are known to the decider by then.
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	started, failed, workersOf := map[string]int{}, map[string]int{}, map[string]map[string]bool{}
	b.platform.Lock(func(c *model.Cluster) {
		c.OnStart = func(w *model.Worker, r *model.ActiveRun) {
			mu.Lock()
			defer mu.Unlock()
			b.logf("worker %s starts %s run %d", w.ID, r.Task, r.Run)
			started[r.Task[:16]]++
			if workersOf[r.Task[:16]] == nil {
				workersOf[r.Task[:16]] = map[string]bool{}
			}
			workersOf[r.Task[:16]][w.ID] = true
		}
		c.OnEnd = func(w *model.Worker, e model.End) {
			mu.Lock()
			defer mu.Unlock()
			b.logf("worker %s: %s run %d ends %s", w.ID, e.Task, e.Run, e.How)
			if e.How == "failed" {
				failed[e.Task[:16]]++
			}
		}
	})
	count := func(n int) (starts, fails int) {
		mu.Lock()
		defer mu.Unlock()
		return started[jobID(n)], failed[jobID(n)]
	}
	submit := func(n int, step map[string]any, p model.TaskProfile) error {
		v, err := json.Marshal(map[string]any{"spec": model.Spec(p), "steps": []any{step}})
		if err != nil {
			panic(err)
		}
		if !b.submit("/digest/"+jobID(n), v, 10*time.Second) {
			return fmt.Errorf("%w: job %d wasn't accepted", errCannotRun, n)
		}
		return nil
	}
	serve := model.TaskProfile{Work: 500 * time.Millisecond, Lasts: time.Hour, CPU: 8000, Memory: 8000, Accelerators: 8}
	if err := submit(1, map[string]any{"count": 5, "cpu": 8000, "mem-mb": 8000, "gpu": 8, "long-running": true, "estimate-ms": 500, "requires": "r0", "anti-affinity": 1}, serve); err != nil {
		return false, err
	}
	if !await(10*time.Second, func() bool { n, _ := count(1); return n == 5 }) {
		return false, fmt.Errorf("%w: the lasting job doesn't run", errCannotRun)
	}
	free := ""
	mu.Lock()
	for i := range 6 {
		if id := fmt.Sprintf("w%02d", i); !workersOf[jobID(1)][id] {
			free = id
		}
	}
	mu.Unlock()
	b.logf("the lasting job has its 5 tasks on rack r0; its worker %s is idle", free)
	if b.trouble {
		b.platform.Lock(func(c *model.Cluster) { c.Workers[free].FailsAll = true })
		b.logf("worker %s fails all that it starts, for %v", free, greyFor)
	}
	if err := submit(2, map[string]any{"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "requires": "r0", "estimate-ms": 500},
		model.TaskProfile{Work: 500 * time.Millisecond, CPU: 1000, Memory: 1000, Accelerators: 1}); err != nil {
		return false, err
	}
	b.logf("the job is accepted: one task, which requires the label r0; its queue has max-attempts 4")
	time.Sleep(greyFor)
	b.platform.Lock(func(c *model.Cluster) { c.Workers[free].FailsAll = false })
	b.logf("worker %s is sound from now on", free)
	for began := time.Now(); time.Since(began) < 45*time.Second && b.state("/digest/"+jobID(2)) != "succeeded"; {
		time.Sleep(time.Second)
	}
	state := b.state("/digest/" + jobID(2))
	starts, fails := count(2)
	b.logf("the job is shown as %s; it has had %d starts, of which %d failed", state, starts, fails)
	if state == "succeeded" || fails >= 4 {
		return false, nil
	}
	room, idle := 0, 0
	b.platform.Lock(func(c *model.Cluster) {
		room = c.Workers[free].FittingTasks(1000, 1000, 1)
		for i := range workers {
			if c.Workers[fmt.Sprintf("w%02d", i)].FittingTasks(8000, 8000, 8) > 0 {
				idle++
			}
		}
	})
	b.logf("LOST: the job has nothing running, while worker %s, which has the label, has room for %d such tasks, and %d of %d workers are idle", free, room, idle, workers)
	return room >= 2 && 2*idle > workers, nil
}
