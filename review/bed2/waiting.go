package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"citronbridge/fakes/model"
)

// visible is visible_ms and 2 s: jobs that were accepted before count.
const visible = 5 * time.Second

// waiting asks a host for the number of waiting jobs of a queue. It returns false if the host
// gives no number.
func (h *host) waiting(prefix string) (int, bool) {
	status, body := h.call(http.MethodGet, prefix, "")
	var v struct {
		Waiting *int `json:"waiting"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &v) != nil || v.Waiting == nil {
		return 0, false
	}
	return *v.Waiting, true
}

// undercounted asks the hosts until one of them gives under half of the jobs that wait, or the
// time is over. The jobs were accepted at a time, and none of them has begun.
func undercounted(b *bed, hosts []*host, prefix string, jobs []string, accepted time.Time, limit time.Duration) (bool, error) {
	time.Sleep(time.Until(accepted.Add(visible + 500*time.Millisecond)))
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, h := range hosts {
			n, ok := h.waiting(prefix)
			left := 0
			for _, id := range jobs {
				if !b.hasBegun(id) {
					left++
				}
			}
			if left < len(jobs) {
				return false, nil
			}
			if ok && 2*n < left {
				b.log("MIXED: %s gives %d as waiting; %d jobs wait for more than %v", h.name, n, left, visible)
				return true, nil
			}
		}
	}
	return false, nil
}

// lost loses a worker for good, as a job comes that only it has room for, and stops the deciding
// host as planned.
func lost(b *bed, trouble bool) (bool, error) {
	workers, err := addWorkers(b, pool, "w", 7)
	if err != nil {
		return false, err
	}
	if err := b.deploy(); err != nil {
		return false, err
	}
	const full, job = "00000000000000d0", "00000000000000d1"
	if err := b.submit(urgent, full, 6, wholeWorker(time.Minute)); err != nil {
		return false, err
	}
	if err := await("six workers are full", 5*time.Second, func() bool { return len(b.running(full)) == 6 }); err != nil {
		return false, err
	}
	busy := map[string]bool{}
	for _, w := range b.running(full) {
		busy[w] = true
	}
	idle := ""
	for _, w := range workers {
		if !busy[w] {
			idle = w
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		b.log("worker %s is lost for good", idle)
		b.platform.Lock(func(c *model.Cluster) { c.Crash(idle) })
		b.leaveRegistry(idle)
	} else if err := b.submit(urgent, "00000000000000d2", 1, wholeWorker(time.Minute)); err != nil {
		// Nothing is lost, so the worker is filled for the job to wait.
		return false, err
	}
	if err := b.submit(batch, job, 1, wholeWorker(time.Second)); err != nil {
		return false, err
	}
	accepted := time.Now()
	time.Sleep(time.Second)
	first := b.leader()
	if first == nil {
		return false, fmt.Errorf("no host gives orders")
	}
	b.log("%s gives the orders; it gets SIGTERM", first.name)
	first.signal(syscall.SIGTERM)
	var others []*host
	for _, h := range b.hosts {
		if h != first {
			others = append(others, h)
		}
	}
	return undercounted(b, others, batch, []string{job}, accepted, 10*time.Second)
}
