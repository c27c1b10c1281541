package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"citronbridge/fakes/model"
)

// reserve hands in small jobs, half of them without an estimate, while a lasting job runs on
// two of 18 workers. With trouble, a gang comes before that needs all 18 workers, and so can't
// start. Every small job must run, as the other 16 workers are idle.
func reserve(b *bed) (bool, error) {
	const (
		workers = 18
		jobs    = 40
	)
	if err := b.start(3, workers); err != nil {
		return false, err
	}
	// All workers are known to the decider by then.
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	started := map[string]bool{}
	b.platform.Lock(func(c *model.Cluster) {
		c.OnStart = func(w *model.Worker, r *model.ActiveRun) {
			mu.Lock()
			defer mu.Unlock()
			b.logf("worker %s starts %s run %d", w.ID, r.Task, r.Run)
			started[r.Task[:16]] = true
		}
	})
	has := func(n int) bool {
		mu.Lock()
		defer mu.Unlock()
		return started[jobID(n)]
	}
	submit := func(path string, n int, step map[string]any, p model.TaskProfile) error {
		v, err := json.Marshal(map[string]any{"spec": model.Spec(p), "steps": []any{step}})
		if err != nil {
			panic(err)
		}
		if !b.submit(path+jobID(n), v, 10*time.Second) {
			return fmt.Errorf("%w: job %d wasn't accepted", errCannotRun, n)
		}
		b.logf("POST %s%s: 200; estimate-ms %v", path, jobID(n), step["estimate-ms"])
		return nil
	}
	const lasting, gang = 1 << 16, 1<<16 + 1
	serve := model.TaskProfile{Work: 500 * time.Millisecond, Lasts: time.Hour, CPU: 8000, Memory: 8000, Accelerators: 8}
	if err := submit("/digest/", lasting, map[string]any{"count": 2, "cpu": 8000, "mem-mb": 8000, "gpu": 8, "long-running": true, "estimate-ms": 500}, serve); err != nil {
		return false, err
	}
	if !await(10*time.Second, func() bool { return has(lasting) }) {
		return false, fmt.Errorf("%w: the lasting job doesn't run", errCannotRun)
	}
	time.Sleep(2 * time.Second)
	if b.trouble {
		member := model.TaskProfile{Work: 2 * time.Second, Gang: workers, CPU: 8000, Memory: 8000, Accelerators: 8}
		if err := submit("/digest/", gang, map[string]any{"count": workers, "cpu": 8000, "mem-mb": 8000, "gpu": 8, "gang": true, "estimate-ms": 2000}, member); err != nil {
			return false, err
		}
		b.logf("the gang needs all %d workers, of which the lasting job uses two", workers)
		time.Sleep(time.Second)
	}
	small := model.TaskProfile{Work: 500 * time.Millisecond, CPU: 1000, Memory: 1000, Accelerators: 1}
	for n := range jobs {
		step := map[string]any{"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1}
		if n%2 == 0 {
			step["estimate-ms"] = 500
		}
		if err := submit("/batch/", n, step, small); err != nil {
			return false, err
		}
		time.Sleep(250 * time.Millisecond)
	}
	// finish_s after the end of the traffic, jobs are asked for.
	time.Sleep(14*time.Second + 10*time.Second)
	lost := 0
	for n := range jobs {
		if !has(n) {
			lost++
			b.logf("LOST: job %s has nothing running; it is shown as %s", jobID(n), b.state("/batch/"+jobID(n)))
		}
	}
	idle := 0
	b.platform.Lock(func(c *model.Cluster) {
		for i := range workers {
			if c.Workers[fmt.Sprintf("w%02d", i)].FittingTasks(1000, 1000, 1) == 8 {
				idle++
			}
		}
	})
	b.logf("%d of %d small jobs have not started; %d of %d workers are idle, each with room for 8 of them", lost, jobs, idle, workers)
	return lost > 0 && idle > workers/2, nil
}
