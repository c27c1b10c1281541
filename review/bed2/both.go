package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// silence makes the connections on which a host now waits for changes of a table silent for good.
// New ones work.
func (h *host) silence(table string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for w, t := range h.feeds {
		if t == table {
			h.silent[w] = true
			n++
		}
	}
	return n
}

// begin and end note a call that waits for changes of a table. end reports whether its connection
// has become silent.
func (h *host) begin(r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.URL.Path == "/-/rows-feed" {
		h.feeds[r] = r.URL.Query().Get("table")
	}
}

func (h *host) end(r *http.Request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	silent := h.silent[r]
	delete(h.feeds, r)
	delete(h.silent, r)
	return silent
}

// both adds a service and sends a queue to it, as one connection of the deciding host goes silent.
// Jobs of the queue follow at another host.
func both(b *bed, trouble bool) (bool, error) {
	if _, err := addWorkers(b, pool, "w", 3); err != nil {
		return false, err
	}
	if _, err := addWorkers(b, otherPool, "x", 3); err != nil {
		return false, err
	}
	b.onePool = true
	if err := b.deploy(); err != nil {
		return false, err
	}
	const before = "00000000000000a0"
	if err := b.submit(batch, before, 1, wholeWorker(time.Second)); err != nil {
		return false, err
	}
	if err := await("a job runs", 5*time.Second, func() bool { return len(b.running(before)) == 1 }); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	first := b.leader()
	if first == nil {
		return false, fmt.Errorf("no host gives orders")
	}
	var other *host
	for _, h := range b.hosts {
		if h != first {
			other = h
		}
	}
	b.log("%s gives the orders", first.name)
	if trouble {
		n := first.silence("op")
		b.log("%d open connection of %s to the store goes silent", n, first.name)
	}
	b.onePool, b.batchPool = false, otherPool
	if err := b.configure(); err != nil {
		return false, err
	}
	b.log("a configuration adds the service %s and sends the queue to it", otherPool)
	for n := range 4 {
		time.Sleep(50 * time.Millisecond)
		if err := b.submitAt(other, batch, fmt.Sprintf("00000000000000b%d", n), 1, wholeWorker(4*time.Second)); err != nil {
			return false, err
		}
	}
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if task, on := b.doubled(); task != "" {
			b.log("TWICE: %s runs on %s at the same time", task, strings.Join(on, " and "))
			time.Sleep(5 * time.Second)
			return true, nil
		}
	}
	return false, nil
}
