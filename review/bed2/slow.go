package main

import (
	"fmt"
	"strings"
	"time"

	"citronbridge/fakes/model"
)

// slowClock is the slowest steady clock that a worker may have.
const slowClock = 0.98

// idleFor is how long the workers have nothing to do before the job comes.
const idleFor = 40 * time.Second

// slow cuts off the region of a worker that has begun a task half a second before, after it had
// nothing to do for some time.
func slow(b *bed, trouble bool) (bool, error) {
	racks := map[string]string{}
	for zone := range 3 {
		for n := range 2 {
			id := fmt.Sprintf("w%d%d", zone+1, n+1)
			racks[id] = fmt.Sprintf("rack-%d", zone+1)
			if err := b.addWorker(id, fmt.Sprintf("zone-%d", zone+1), racks[id], slowClock); err != nil {
				return false, err
			}
		}
	}
	go b.renewEntries(racks)
	if err := b.deploy(); err != nil {
		return false, err
	}
	b.log("the hosts are ready; no job for %v", idleFor)
	time.Sleep(idleFor)
	// A task takes a whole worker. The first one outside of the deciding host's region is used.
	zone := ""
	for n := range 4 {
		id := fmt.Sprintf("00000000000000c%d", n)
		if err := b.submit(urgent, id, 1, model.TaskProfile{Work: time.Minute, CPU: 30000, Memory: 100000, Accelerators: 8}); err != nil {
			return false, err
		}
		if err := await("task runs", 5*time.Second, func() bool { return len(b.running(id)) == 1 }); err != nil {
			return false, err
		}
		first := b.leader()
		if first == nil {
			return false, fmt.Errorf("no host gives orders")
		}
		if at := b.running(id); len(at) == 1 && b.zones[at[0]] != first.zone {
			zone = b.zones[at[0]]
			b.log("%s gives the orders; job %s runs on %s", first.name, id, at[0])
			break
		}
	}
	if zone == "" {
		return false, fmt.Errorf("no task runs outside of the deciding host's region")
	}
	time.Sleep(500 * time.Millisecond)
	cutAt := time.Now()
	if trouble {
		b.log("region of %s loses the others and the store", zone)
		for _, h := range b.hosts {
			if h.zone == zone {
				h.endpoint.SetFaults(unresponsive)
			}
		}
		b.cutPaths(func(from, to string) bool { return (b.zones[from] == zone) != (b.zones[to] == zone) })
		for w := range racks {
			if b.zones[w] == zone {
				b.leaveRegistry(w)
			}
		}
	}
	for time.Since(cutAt) < 12*time.Second {
		if task, on := b.doubled(); task != "" {
			b.log("TWICE: %s runs on %s at the same time", task, strings.Join(on, " and "))
			time.Sleep(time.Second)
			return true, nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return false, nil
}
