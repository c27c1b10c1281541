package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"citronbridge/fakes/model"
)

// rack runs a lasting job on two of three racks, and then hands in a gang that is as large as
// a rack. With trouble, one worker of the third rack drains and leaves before. The gang must
// run, as there is capacity for it twice over and hardly any is in use.
func rack(b *bed) (bool, error) {
	const workers = 18
	if err := b.start(3, workers); err != nil {
		return false, err
	}
	rackOf := map[string]string{}
	for i := range workers {
		rackOf[fmt.Sprintf("w%02d", i)] = fmt.Sprintf("r%d", i/6)
	}
	var mu sync.Mutex
	started, racks := map[string]int{}, map[string]bool{}
	b.platform.Lock(func(c *model.Cluster) {
		c.OnStart = func(w *model.Worker, r *model.ActiveRun) {
			mu.Lock()
			defer mu.Unlock()
			b.logf("worker %s starts %s run %d", w.ID, r.Task, r.Run)
			started[r.Task[:16]]++
			if r.Task[:16] == jobID(1) {
				racks[rackOf[w.ID]] = true
			}
		}
	})
	// All workers are known to the decider by then.
	time.Sleep(2 * time.Second)
	serve := model.TaskProfile{Work: 500 * time.Millisecond, Lasts: time.Hour, CPU: 8000, Memory: 8000, Accelerators: 8}
	body := func(l []map[string]any, p ...model.TaskProfile) []byte {
		v, err := json.Marshal(map[string]any{"spec": model.Spec(p...), "steps": l})
		if err != nil {
			panic(err)
		}
		return v
	}
	lasting := map[string]any{"count": 1, "cpu": 8000, "mem-mb": 8000, "gpu": 8, "long-running": true, "estimate-ms": 500}
	on := func(rack string) map[string]any {
		m := map[string]any{"affinity": rack}
		for k, v := range lasting {
			m[k] = v
		}
		return m
	}
	if !b.submit("/digest/"+jobID(1), body([]map[string]any{on("r0"), on("r1")}, serve, serve), 10*time.Second) {
		return false, fmt.Errorf("%w: the lasting job wasn't accepted", errCannotRun)
	}
	count := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return started[jobID(n)]
	}
	if !await(10*time.Second, func() bool { return count(1) == 2 }) {
		return false, fmt.Errorf("%w: the lasting job doesn't run", errCannotRun)
	}
	mu.Lock()
	placed := racks["r0"] && racks["r1"]
	mu.Unlock()
	if !placed {
		return false, fmt.Errorf("%w: the lasting job's tasks aren't on their racks", errCannotRun)
	}
	b.logf("the lasting job has a task on each of the racks r0 and r1")
	if b.trouble {
		const leaving = "w12"
		b.platform.Register(leaving, "r2", "draining")
		var entry map[string]any
		if err := json.Unmarshal(b.platform.Store.Value("servers", "", leaving), &entry); err != nil {
			return false, fmt.Errorf("%w: %w", errCannotRun, err)
		}
		entry["remaining-ms"] = 2000
		v, err := json.Marshal(entry)
		if err != nil {
			panic(err)
		}
		b.store.put("servers", leaving, v)
		b.logf("worker %s of rack r2 drains", leaving)
		time.Sleep(4 * time.Second)
		b.platform.Lock(func(c *model.Cluster) { c.Crash(leaving) })
		b.store.drop("servers", leaving)
		b.logf("worker %s has left", leaving)
		time.Sleep(2 * time.Second)
	}
	member := model.TaskProfile{Work: 2 * time.Second, Gang: 6, CPU: 8000, Memory: 8000, Accelerators: 8}
	gang := map[string]any{"count": 6, "cpu": 8000, "mem-mb": 8000, "gpu": 8, "gang": true, "same-rack": true, "estimate-ms": 2000}
	if !b.submit("/digest/"+jobID(2), body([]map[string]any{gang}, member), 10*time.Second) {
		return false, fmt.Errorf("%w: the gang wasn't accepted", errCannotRun)
	}
	b.logf("the gang is accepted: 6 tasks of 8 accelerators")
	began := time.Now()
	for time.Since(began) < 40*time.Second && count(2) == 0 {
		time.Sleep(time.Second)
	}
	b.logf("%.0f s later, the gang is shown as %s; it has had %d starts", time.Since(began).Seconds(), b.state("/digest/"+jobID(2)), count(2))
	if count(2) > 0 {
		return false, nil
	}
	var free []string
	b.platform.Lock(func(c *model.Cluster) {
		for i := range workers {
			w := c.Workers[fmt.Sprintf("w%02d", i)]
			if w.FittingTasks(8000, 8000, 8) > 0 {
				free = append(free, w.ID)
			}
		}
	})
	b.logf("LOST: the gang has nothing running, while %d workers are empty, each with room for one of its 6 tasks: %v", len(free), free)
	return len(free) >= 12, nil
}
