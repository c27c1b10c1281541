package main

import (
	"fmt"
	"time"

	"citronbridge/fakes/model"
)

// earlierBirth: a worker goes down and up twice, and between its two starts the time of day of its
// machine jumps back, so that the second start is earlier by it than the first.
func earlierBirth(b *bed, trouble bool) (string, error) {
	if err := b.addWorkers(desk, "w", 9); err != nil {
		return "", err
	}
	const id, rack = "v0", "rack-9" // the rack of v0 alone
	if err := b.startWorker(id, desk, "zone-0", rack, 0, 0); err != nil {
		return "", err
	}
	if err := b.start(); err != nil {
		return "", err
	}
	const down, period, jump = 700 * time.Millisecond, 1400 * time.Millisecond, 2 * time.Second
	if trouble {
		for _, ahead := range []time.Duration{0, -jump} {
			if ahead != 0 {
				b.log("the time of day of %s's machine jumps by %v", id, ahead)
			}
			b.crash(id)
			time.Sleep(down)
			if err := b.startWorker(id, "", "", "", ahead, 0); err != nil {
				return "", err
			}
			time.Sleep(period - down)
		}
	}
	time.Sleep(8 * time.Second)
	job := jobID(1)
	if err := b.submit(rack, "/batch/", job, 1, model.TaskProfile{Work: time.Second, CPU: 4000, Memory: 8000, Accelerators: 1}); err != nil {
		return "", err
	}
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if b.state("/batch/", job) == "succeeded" {
			return "", nil
		}
	}
	return fmt.Sprintf("45 s after its acknowledgement job %s is shown as %q, and its task has begun %d times, though %s, which has the label that it requires, is up and idle", job, b.state("/batch/", job), len(b.runsOf(job)), id), nil
}
