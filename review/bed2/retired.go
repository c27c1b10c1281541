package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"citronbridge/fakes/model"
)

// Bounds of the small sites, and how long a worker stays after it has begun to drain.
const (
	finish    = 14 * time.Second
	idle      = 3 * time.Second
	drainTime = 4 * time.Second
)

// drain lets a worker leave as planned: its entry says draining and for how long it stays at
// least; then it is gone, and its entry with it.
func (b *bed) drain(id string) error {
	b.mu.Lock()
	b.silent[id] = true
	b.mu.Unlock()
	var v map[string]any
	if err := json.Unmarshal(b.platform.Store.Value("servers", "", id), &v); err != nil {
		return err
	}
	b.platform.Lock(func(c *model.Cluster) { v["clock-ms"] = c.Workers[id].ClockMS() })
	v["state"], v["remaining-ms"] = "draining", drainTime.Milliseconds()
	e, err := json.Marshal(v)
	if err != nil {
		return err
	}
	b.platform.Store.Put("servers", id, e)
	time.AfterFunc(drainTime+time.Second, func() {
		b.log("worker %s has left", id)
		b.platform.Lock(func(c *model.Cluster) { c.Crash(id) })
		b.platform.Store.Remove("servers", id)
	})
	return nil
}

// state asks a host for a job's state.
func (h *host) state(path string) string {
	status, body := h.call(http.MethodGet, path, "")
	var v struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &v) != nil {
		return ""
	}
	return v.State
}

// retired sends a queue to another service and empties the only worker of the old one, while jobs
// of the queue wait.
func retired(b *bed, trouble bool) (bool, error) {
	old, err := addWorkers(b, pool, "w", 1)
	if err != nil {
		return false, err
	}
	if _, err := addWorkers(b, otherPool, "x", 14); err != nil {
		return false, err
	}
	if err := b.deploy(); err != nil {
		return false, err
	}
	jobs := []string{"00000000000000c0", "00000000000000c1", "00000000000000c2", "00000000000000c3"}
	for n, id := range jobs {
		work := time.Second
		if n == 0 {
			work = 6 * time.Second
		}
		if err := b.submit(batch, id, 1, wholeWorker(work)); err != nil {
			return false, err
		}
		if n > 0 {
			continue
		}
		if err := await("the first job runs", 5*time.Second, func() bool { return len(b.running(id)) == 1 }); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	if trouble {
		b.batchPool = otherPool
		b.log("a configuration sends the queue to the service %s", otherPool)
		if err := b.configure(); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
		b.log("worker %s of the service %s drains", old[0], pool)
		if err := b.drain(old[0]); err != nil {
			return false, err
		}
		time.Sleep(drainTime + time.Second)
	}
	time.Sleep(finish)
	var stuck []string
	began := time.Now()
	for _, id := range jobs {
		if s := b.hosts[0].state(batch + id); s == "pending" || s == "running" {
			stuck = append(stuck, id)
		}
	}
	for time.Since(began) < idle+time.Second {
		for _, id := range stuck {
			if len(b.running(id)) > 0 {
				b.log("%s runs now", id)
				return false, nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, id := range stuck {
		b.log("LOST: job %s is %s, with nothing running for %v, while 14 workers of %s are idle", id, b.hosts[1].state(batch+id), time.Since(began).Round(time.Second), otherPool)
	}
	if len(stuck) > 0 {
		return true, nil
	}
	for _, id := range jobs {
		if s := b.hosts[0].state(batch + id); s != "succeeded" {
			return false, fmt.Errorf("job %s is %q", id, s)
		}
	}
	return false, nil
}
