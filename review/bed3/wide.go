package main

import (
	"fmt"
	"time"

	"citronbridge/fakes/model"
)

// finishTime is finish_s, and idleTime for how long a job may have nothing running after that.
const (
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// wideFailure: a job of many tasks comes that can never be done, among others that can.
func wideFailure(b *bed, trouble bool) (string, error) {
	const workers, tasks, trafficTime = 12, 6000, 58 * time.Second
	if err := b.addWorkers(desk, "w", workers); err != nil {
		return "", err
	}
	if err := b.start(); err != nil {
		return "", err
	}
	wide := model.TaskProfile{Work: 26 * time.Second, CPU: 100, Memory: 100}
	if trouble {
		wide.FailOneIn = 1
	}
	small := model.TaskProfile{Work: time.Second, CPU: 1000, Memory: 100}
	// open has the jobs that haven't ended, and since when nothing of them is running.
	began, open := time.Now(), map[string]time.Duration{}
	for n := 0; time.Since(began) < trafficTime; n++ {
		id, count, p := jobID(n), 1, small
		if n == 0 {
			count, p = tasks, wide
		}
		if err := b.submit("", "/batch/", id, count, p); err != nil {
			return "", err
		}
		open[id] = 0
		time.Sleep(2 * time.Second)
	}
	b.log("the traffic has ended")
	time.Sleep(finishTime)
	idle := map[string]bool{}
	for end := time.Now().Add(24 * time.Second); len(open) > 0 && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for id, since := range open {
			now := time.Since(b.began)
			switch s := ""; {
			case b.running(id) > 0 || !b.hasRoom(small.CPU):
				open[id] = 0
			case since == 0:
				open[id] = now
			case now-since >= idleTime && !idle[id]:
				if s = b.state("/batch/", id); s == "succeeded" || s == "failed" {
					delete(open, id)
					break
				}
				idle[id] = true
				b.log("job %s is %q, and nothing of it has run for %.1f s", id, s, (now - since).Seconds())
			}
		}
	}
	if len(idle) > 0 {
		return fmt.Sprintf("after the traffic has ended %d accepted jobs, one of them the large job: %v, have had nothing running for %v, though a task's turn has come and all workers have room", len(idle), idle[jobID(0)], idleTime), nil
	}
	if len(open) > 0 {
		return "", fmt.Errorf("%d jobs haven't ended", len(open))
	}
	return "", nil
}

// hasRoom reports whether each worker has room for two such tasks, and under half of all capacity
// is in use.
func (b *bed) hasRoom(cpu int64) bool {
	ok := true
	b.platform.Lock(func(c *model.Cluster) {
		used, all := int64(0), int64(0)
		for _, w := range c.Workers {
			free := int64(w.FittingTasks(1, 0, 0))
			used, all = used+w.CPU-free, all+w.CPU
			ok = ok && free >= 2*cpu
		}
		ok = ok && 2*used < all
	})
	return ok
}
