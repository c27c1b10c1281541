package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"citronbridge/fakes/model"
)

// staleAck: a worker crashes silently and starts again at once, while the hold that tells it which
// ends may be forgotten is on its way. Its new incarnation is given a short task.
func staleAck(b *bed, trouble bool) (string, error) {
	const id, rack = "v0", "rack-9" // the rack of v0 alone
	if err := b.addWorkers(desk, "w", 6); err != nil {
		return "", err
	}
	if err := b.startWorker(id, desk, "zone-0", rack, 0, 0); err != nil {
		return "", err
	}
	if err := b.start(); err != nil {
		return "", err
	}
	task := model.TaskProfile{Work: 200 * time.Millisecond, CPU: 4000, Memory: 8000, Accelerators: 1}
	long := task
	long.Work = 10 * time.Minute
	if err := b.submit(rack, "/batch/", jobID(0), 1, long); err != nil {
		return "", err
	}
	began := time.Now()
	for n := 1; time.Since(began) < 75*time.Second; n += 2 {
		if err := await("the long job runs", 10*time.Second, func() bool { return b.running(jobID(0)) == 1 }); err != nil {
			return "", err
		}
		time.Sleep(time.Second)
		if err := b.submit(rack, "/batch/", jobID(n), 1, task); err != nil {
			return "", err
		}
		if err := await("the first short job is done", 10*time.Second, func() bool { return len(b.runsOf(jobID(n))) == 1 && b.running(jobID(n)) == 0 }); err != nil {
			return "", err
		}
		time.Sleep(1700 * time.Millisecond)
		if trouble {
			b.crash(id)
			time.Sleep(300 * time.Millisecond)
			go b.startWorker(id, "", "", "", 0, rand.N(heartbeat))
			if err := await("the worker is up", time.Second, func() bool { _, up := b.lifeOf(id); return up }); err != nil {
				return "", err
			}
		}
		if err := b.submit(rack, "/batch/", jobID(n+1), 1, task); err != nil {
			return "", err
		}
		for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if x, y, ok := b.doubled(); ok {
				return fmt.Sprintf("%s is done in run %d on %s at %.3f, taken note of at %.3f, and begins again in run %d on %s at %.3f", x.task, x.n, x.worker, x.to.Seconds(), x.notedAt.Seconds(), y.n, y.worker, y.from.Seconds()), nil
			}
		}
	}
	return "", nil
}
