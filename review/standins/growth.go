package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	"citronbridge/fakes/model"
)

// growth hands in small jobs all the time and, with trouble, one job that recurs many times.
// Every small job must run.
func growth(b *bed) (bool, error) {
	if err := b.start(3, 16); err != nil {
		return false, err
	}
	times := 500
	if s := os.Getenv("TIMES"); s != "" {
		times, _ = strconv.Atoi(s)
	}
	var mu sync.Mutex
	started := map[string]time.Duration{}
	done := 0
	b.platform.Lock(func(c *model.Cluster) {
		c.OnStart = func(_ *model.Worker, r *model.ActiveRun) {
			mu.Lock()
			defer mu.Unlock()
			if started[r.Task[:16]] == 0 {
				started[r.Task[:16]] = time.Since(b.began)
			}
		}
		c.OnEnd = func(_ *model.Worker, e model.End) {
			mu.Lock()
			defer mu.Unlock()
			if e.How == "done" {
				done++
			}
		}
	})
	small := model.TaskProfile{Work: 20 * time.Millisecond, CPU: 100, Memory: 100}
	interval := 100 * time.Millisecond
	if b.trouble {
		var steps []stepOf
		for range 10 {
			steps = append(steps, stepOf{profile: small, count: 1})
		}
		if !b.submit("/digest/"+jobID(1<<16), jobBody(times, time.Now(), interval, steps...), 10*time.Second) {
			return false, fmt.Errorf("%w: the recurring job wasn't accepted", errCannotRun)
		}
		b.logf("the recurring job is accepted: %d times 10 steps of one task, every %v", times, interval)
	}
	accepted := map[string]time.Duration{}
	end := time.Now().Add(time.Duration(times)*interval + 15*time.Second)
	for n := 0; time.Now().Before(end); n++ {
		id := jobID(n)
		if b.submit("/batch/"+id, jobBody(0, time.Time{}, 0, stepOf{profile: small, count: 1}), 5*time.Second) {
			accepted[id] = time.Since(b.began)
		}
		if n%40 == 0 {
			mu.Lock()
			waiting := 0
			for id, at := range accepted {
				if started[id] == 0 && time.Since(b.began)-at > 3*time.Second {
					waiting++
				}
			}
			b.logf("%d small jobs accepted, %d of them not started after 3 s; tasks done in all: %d; too large rows refused: %d", len(accepted), waiting, done, b.store.refused())
			mu.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(14 * time.Second)
	lost := 0
	for id := range accepted {
		mu.Lock()
		ok := started[id] > 0
		mu.Unlock()
		if !ok {
			lost++
			b.logf("LOST: job %s, accepted at %.1f s, has not started; it is shown as %s", id, accepted[id].Seconds(), b.state("/batch/"+id))
		}
	}
	if b.trouble {
		b.logf("the recurring job is shown as %s", b.state("/digest/"+jobID(1<<16)))
	}
	b.logf("%d of %d accepted small jobs have not started", lost, len(accepted))
	return lost > 0, nil
}
