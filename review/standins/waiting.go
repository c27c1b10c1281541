package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"citronbridge/fakes/model"
)

// waiting keeps jobs waiting while the fleet is full, and asks all hosts for the number of
// waiting jobs. With trouble, the decider's process is killed. Its machine's answers don't
// count; those of the others must not be under half of the jobs that wait.
func waiting(b *bed) (bool, error) {
	const (
		jobs    = 1000
		visible = 3 * time.Second
		kills   = 3
		// restartAfter is how long after its end the platform starts a process again.
		restartAfter = 3 * time.Second
		quiet        = 8 * time.Second
		queuePath    = "/batch/"
	)
	if err := b.start(3, 16); err != nil {
		return false, err
	}
	var mu sync.Mutex
	started := map[string]bool{}
	b.platform.Lock(func(c *model.Cluster) {
		c.OnStart = func(_ *model.Worker, r *model.ActiveRun) {
			mu.Lock()
			defer mu.Unlock()
			started[r.Task[:16]] = true
		}
	})
	blocker := jobBody(0, time.Time{}, 0, stepOf{profile: model.TaskProfile{Work: 100 * time.Second, CPU: 1000, Memory: 1000, Accelerators: 8}, count: 16})
	if !b.submit("/digest/"+jobID(1<<16), blocker, 10*time.Second) || !await(10*time.Second, func() bool { return b.state("/digest/"+jobID(1<<16)) == "running" }) {
		return false, fmt.Errorf("%w: the first job doesn't run", errCannotRun)
	}
	time.Sleep(2 * time.Second)
	body := jobBody(0, time.Time{}, 0, stepOf{profile: model.TaskProfile{Work: time.Second, CPU: 100, Memory: 100, Accelerators: 1}, count: 1})
	if !parallel(jobs, 8, func(n int) bool { return b.submit(queuePath+jobID(n), body, 10*time.Second) }) {
		return false, fmt.Errorf("%w: jobs weren't accepted", errCannotRun)
	}
	b.logf("%d jobs are accepted; all accelerators are in use", jobs)
	time.Sleep(visible + 2*time.Second + time.Second)
	broken := 0
	for k := range kills {
		d := b.decider()
		if d == nil {
			return false, fmt.Errorf("%w: no host decides", errCannotRun)
		}
		if b.trouble {
			b.kill(d)
			b.logf("%s, the decider, is killed", d.name)
		}
		restarted := !b.trouble
		killed := time.Now()
		for end := time.Now().Add(quiet); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
			if !restarted && time.Since(killed) > restartAfter {
				restarted = true
				if err := b.startHost(d); err != nil {
					return false, fmt.Errorf("%w: %w", errCannotRun, err)
				}
			}
			for _, h := range b.hosts {
				if h == d && b.trouble {
					continue
				}
				asked := time.Since(b.began)
				status, text := b.call(h, time.Second, http.MethodGet, queuePath, nil)
				if status != http.StatusOK {
					continue
				}
				var v struct{ Waiting int }
				if err := json.Unmarshal([]byte(text), &v); err != nil {
					return false, fmt.Errorf("%w: %w", errCannotRun, err)
				}
				mu.Lock()
				waits := jobs
				for n := range jobs {
					if started[jobID(n)] {
						waits--
					}
				}
				mu.Unlock()
				if 2*v.Waiting < waits {
					broken++
					b.logf("MIXED: GET %s at %s, asked at %.3f s: 200 %s while %d jobs that were accepted over %v before haven't begun", queuePath, h.name, asked.Seconds(), text[:len(text)-1], waits, visible+2*time.Second)
				}
			}
		}
		b.logf("round %d is over, %d wrong answers so far", k+1, broken)
		if b.trouble {
			if !await(10*time.Second, d.isReady) {
				return false, fmt.Errorf("%w: %s isn't ready again", errCannotRun, d.name)
			}
			// contact-ms, so that the machine is in touch again.
			time.Sleep(3500 * time.Millisecond)
		}
	}
	return broken > 0, nil
}
