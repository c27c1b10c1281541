package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"citronbridge/fakes/model"
)

const (
	memoryMB     = 284 // memory-mb
	restartPause = time.Second
)

// residentMB returns the resident memory of a host's process, without the pages of its program file.
func (h *host) residentMB() int {
	v, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for l := range bytes.Lines(v) {
		if f := strings.Fields(string(l)); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// limitMemory does what the platform does: it kills a process that exceeds memory-mb, and starts it
// again after a short delay. It counts the kills.
func (b *bed) limitMemory(kills *atomic.Int64, stop <-chan struct{}) {
	for _, h := range b.hosts {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				mb := h.residentMB()
				if mb <= memoryMB {
					continue
				}
				b.kill(h)
				kills.Add(1)
				b.log("platform: host %s has %d MB of %d and is killed", h.name, mb, memoryMB)
				time.Sleep(restartPause)
				if b.startHost(h) != nil {
					return
				}
			}
		}()
	}
}

// manyTasks: jobs of many tasks come while all workers are in use.
func manyTasks(b *bed, trouble bool) (string, error) {
	if err := b.addWorkers(desk, "w", 12); err != nil {
		return "", err
	}
	if err := b.start(); err != nil {
		return "", err
	}
	var kills atomic.Int64
	stop := make(chan struct{})
	defer close(stop)
	b.limitMemory(&kills, stop)
	wide := model.TaskProfile{Work: 8 * time.Second, CPU: 32000, Memory: 1000}
	count := 20000
	if !trouble {
		count = 2
	}
	const jobs, perSecond = 240, 4
	began, accepted := time.Now(), 0
	for n := range jobs {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / perSecond)))
		if b.submit("", "/batch/", jobID(n), count, wide) == nil {
			accepted++
		}
	}
	small := jobID(jobs)
	if err := await("a small urgent job is accepted", 20*time.Second, func() bool {
		return b.submit("", "/urgent/", small, 1, model.TaskProfile{Work: time.Second, CPU: 1000, Memory: 100}) == nil
	}); err != nil {
		return "", err
	}
	b.log("%d jobs are accepted; the traffic has ended", accepted+1)
	time.Sleep(finishTime)
	idle := time.Now()
	for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if b.running(small) > 0 || !b.hasRoom(1000) {
			idle = time.Now()
		}
		if b.state("/urgent/", small) == "succeeded" {
			return "", nil
		}
		if time.Since(idle) > idleTime {
			return fmt.Sprintf("hosts exceeded their memory and were killed %d times; the small urgent job is %q, and nothing of it has run for %v after the traffic has ended, with all workers idle", kills.Load(), b.state("/urgent/", small), finishTime+idleTime), nil
		}
	}
	return "", fmt.Errorf("the small job hasn't ended, %d of %d are accepted, %d kills", accepted, jobs, kills.Load())
}
