package main

import (
	"fmt"
	"time"

	"citronbridge/fakes/model"
)

// repeatedRun: a job that always fails is handed over to another service, whose decider is killed
// after the first run.
func repeatedRun(b *bed, trouble bool) (string, error) {
	if err := b.addWorkers(desk, "w", 3); err != nil {
		return "", err
	}
	const rack = "rack-9" // the rack of a0 and a1 alone
	for i := range 2 {
		if err := b.startWorker(fmt.Sprintf("a%d", i), annex, fmt.Sprintf("zone-%d", i), rack, 0, 0); err != nil {
			return "", err
		}
	}
	if err := b.start(); err != nil {
		return "", err
	}
	// Each task takes a whole worker.
	task := func(d time.Duration) model.TaskProfile {
		return model.TaskProfile{Work: d, CPU: 64000, Memory: 8000, Accelerators: 8}
	}
	fails := task(10 * time.Second)
	fails.FailOneIn = 1
	job, first := jobID(1), jobID(2)
	if err := b.submit(rack, "/batch/", job, 1, fails); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	b.queues["/batch/"], b.queues["/urgent/"] = annex, annex
	if err := b.configure(); err != nil {
		return "", err
	}
	if err := await("the job runs", 15*time.Second, func() bool { return b.running(job) == 1 }); err != nil {
		return "", err
	}
	// Urgent jobs take the other worker, and then that of the first run, which is too far on to be
	// stopped for them.
	if err := b.submit(rack, "/urgent/", first, 1, task(24*time.Second)); err != nil {
		return "", err
	}
	time.Sleep(9 * time.Second)
	for n := range 4 {
		if err := b.submit(rack, "/urgent/", jobID(3+n), 1, task(4*time.Second)); err != nil {
			return "", err
		}
	}
	if err := await("the job's first run has failed", 15*time.Second, func() bool {
		l := b.runsOf(job)
		return l[0].how == "failed" && l[0].notedAt > 0
	}); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if n := len(b.runsOf(job)); n != 1 {
		return "", fmt.Errorf("the job has begun %d times before the disruption", n)
	}
	if trouble {
		h := b.decider(annex)
		if h == nil {
			return "", fmt.Errorf("no host runs %s", annex)
		}
		b.kill(h)
		b.log("host %s, which runs %s, is killed", h.name, annex)
		time.Sleep(3 * time.Second)
		if err := b.startHost(h); err != nil {
			return "", err
		}
	}
	for end := time.Now().Add(80 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		failed := 0
		for _, r := range b.runsOf(job) {
			if failed >= maxAttempts {
				return fmt.Sprintf("%s begins again, in run %d on %s at %.3f, after %d failed runs that were taken note of", r.task, r.n, r.worker, r.from.Seconds(), failed), nil
			}
			if r.how == "failed" && r.notedAt > 0 {
				failed++
			}
		}
		if failed == maxAttempts && b.state("/batch/", job) == "failed" {
			return "", nil
		}
	}
	return "", fmt.Errorf("the job hasn't ended")
}
