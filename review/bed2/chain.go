package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"citronbridge/fakes/model"
)

// chain cuts the region of the deciding host off, and stops the host that takes over as planned,
// soon after its first orders. The platform starts it again.
func chain(b *bed, trouble bool) (bool, error) {
	racks := map[string]string{}
	var workers []string
	for zone := range 3 {
		for n := range 3 {
			id := fmt.Sprintf("w%d%d", zone+1, n+1)
			workers = append(workers, id)
			racks[id] = fmt.Sprintf("rack-%d", zone+1)
			if err := b.addWorker(id, fmt.Sprintf("zone-%d", zone+1), racks[id], 1); err != nil {
				return false, err
			}
		}
	}
	go b.renewEntries(racks)
	if err := b.deploy(); err != nil {
		return false, err
	}
	const long, short = "00000000000000a1", "00000000000000b2"
	if err := b.submit(batch, long, 6, model.TaskProfile{Work: time.Minute, CPU: 20000, Memory: 50000, Accelerators: 5}); err != nil {
		return false, err
	}
	if err := await("long tasks run", 5*time.Second, func() bool { return len(b.running(long)) == 6 }); err != nil {
		return false, err
	}
	if err := b.submit(batch, short, 27, model.TaskProfile{Work: 3 * time.Second, CPU: 2000, Memory: 5000, Accelerators: 1}); err != nil {
		return false, err
	}
	if err := await("short tasks run", 5*time.Second, func() bool { return len(b.running(short)) == 27 }); err != nil {
		return false, err
	}
	first := b.leader()
	if first == nil {
		return false, fmt.Errorf("no host gives orders")
	}
	zone := first.zone
	inside := slices.ContainsFunc(b.running(long), func(w string) bool { return b.zones[w] == zone })
	if !inside {
		return false, fmt.Errorf("no long task runs in %s", zone)
	}
	b.log("%s gives the orders; long tasks run on %s", first.name, strings.Join(b.running(long), " "))
	time.Sleep(time.Second)
	cutAt := time.Now()
	second := first
	if trouble {
		b.log("region of %s loses the others and the store", zone)
		first.endpoint.SetFaults(unresponsive)
		b.cutPaths(func(from, to string) bool { return (b.zones[from] == zone) != (b.zones[to] == zone) })
		for _, w := range workers {
			if b.zones[w] == zone {
				b.leaveRegistry(w)
			}
		}
		err := await("another host gives orders", 10*time.Second, func() bool {
			for _, h := range b.hosts {
				if h != first && b.lastOrder(h.name).After(cutAt) {
					second = h
				}
			}
			return second != first
		})
		if err != nil {
			return false, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	b.log("%s gives orders; it gets SIGTERM", second.name)
	second.signal(syscall.SIGTERM)
	go func() {
		<-second.exited
		b.log("%s has stopped and is started again", second.name)
		if err := second.start(); err != nil {
			b.log("%s isn't started: %v", second.name, err)
		}
	}()
	for time.Since(cutAt) < 16*time.Second {
		if task, on := b.doubled(); task != "" {
			b.log("TWICE: %s runs on %s at the same time", task, strings.Join(on, " and "))
			time.Sleep(3 * time.Second)
			return true, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false, nil
}
