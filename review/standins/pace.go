package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"citronbridge/fakes/model"
)

// pace runs tasks that serve and tasks that fill on the workers of one rack. With trouble,
// these workers turn slow for a while, so that the tasks that fill are paced down. Both jobs
// are cancelled. A later job that fills must run on the idle workers.
func pace(b *bed) (bool, error) {
	const (
		workers = 18
		perRack = 3
		slowFor = 6 * time.Second
		slower  = 6.5
	)
	b.perRack = perRack
	if err := b.start(3, workers); err != nil {
		return false, err
	}
	// All workers are known to the decider by then.
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	started := map[string]int{}
	b.platform.Lock(func(c *model.Cluster) {
		c.OnStart = func(w *model.Worker, r *model.ActiveRun) {
			mu.Lock()
			defer mu.Unlock()
			b.logf("worker %s starts %s run %d", w.ID, r.Task, r.Run)
			started[r.Task[:16]]++
		}
		c.OnEnd = func(w *model.Worker, e model.End) {
			b.logf("worker %s: %s run %d ends %s", w.ID, e.Task, e.Run, e.How)
		}
	})
	count := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return started[jobID(n)]
	}
	submit := func(n int, step map[string]any, p model.TaskProfile) error {
		v, err := json.Marshal(map[string]any{"spec": model.Spec(p), "steps": []any{step}})
		if err != nil {
			panic(err)
		}
		if !b.submit("/digest/"+jobID(n), v, 10*time.Second) {
			return fmt.Errorf("%w: job %d wasn't accepted", errCannotRun, n)
		}
		b.logf("POST job %d: 200", n)
		return nil
	}
	const target = 100 * time.Millisecond
	serve := model.TaskProfile{Work: 500 * time.Millisecond, Lasts: time.Hour, CPU: 8000, Memory: 8000, Tail: 40 * time.Millisecond, Target: target}
	fill := model.TaskProfile{Work: time.Hour, CPU: 8000, Memory: 8000, Harm: 5 * time.Millisecond}
	later := fill
	later.Work = time.Second
	fillStep := map[string]any{"count": perRack, "cpu": 8000, "mem-mb": 8000, "fills": true, "image": "batch-image", "requires": "r0", "anti-affinity": 1, "estimate-ms": 1000}
	if err := submit(1, map[string]any{"count": perRack, "cpu": 8000, "mem-mb": 8000, "long-running": true, "image": "serve-image", "target-ms": target.Milliseconds(), "requires": "r0", "anti-affinity": 1, "estimate-ms": 500}, serve); err != nil {
		return false, err
	}
	if err := submit(2, fillStep, fill); err != nil {
		return false, err
	}
	if !await(15*time.Second, func() bool { return count(1) >= perRack && count(2) >= perRack }) {
		return false, fmt.Errorf("%w: the first jobs don't run", errCannotRun)
	}
	time.Sleep(3 * time.Second)
	setFactor := func(f float64) {
		b.platform.Lock(func(c *model.Cluster) {
			for i := range perRack {
				c.Workers[fmt.Sprintf("w%02d", i)].TailFactor = f
			}
		})
	}
	if b.trouble {
		setFactor(slower)
		b.logf("the workers of rack r0 are %.1f times as slow", slower)
	}
	time.Sleep(slowFor - time.Second)
	for n := 1; n <= 2; n++ {
		ok := await(5*time.Second, func() bool {
			status, _ := b.call(b.hosts[0], 3*time.Second, http.MethodDelete, "/digest/"+jobID(n), nil)
			return status == http.StatusOK
		})
		if !ok {
			return false, fmt.Errorf("%w: job %d wasn't cancelled", errCannotRun, n)
		}
		b.logf("DELETE job %d: 200", n)
	}
	time.Sleep(time.Second)
	setFactor(1)
	b.logf("all workers are sound from now on")
	time.Sleep(5 * time.Second)
	if err := submit(3, fillStep, later); err != nil {
		return false, err
	}
	for began := time.Now(); time.Since(began) < 45*time.Second && b.state("/digest/"+jobID(3)) != "succeeded"; {
		time.Sleep(time.Second)
	}
	b.logf("job 3 is shown as %s; it has had %d starts", b.state("/digest/"+jobID(3)), count(3))
	if count(3) > 0 {
		return false, nil
	}
	room := 0
	b.platform.Lock(func(c *model.Cluster) {
		for i := range perRack {
			room += c.Workers[fmt.Sprintf("w%02d", i)].FittingTasks(8000, 8000, 0)
		}
	})
	b.logf("LOST: job 3 has nothing running, while the %d workers of rack r0 have room for %d such tasks and the fleet is idle", perRack, room)
	return room >= 2*perRack, nil
}
