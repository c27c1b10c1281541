package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"citronbridge/fakes/model"
)

// memoryMB is the bound of a process's memory in the hosts' settings.
const memoryMB = 284

// recurring is the number of recurring jobs.
const recurring = 3

// residentMB returns the memory of a host's process in MB, 0 if it has ended.
func (h *host) residentMB() int {
	v, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(v))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(f[1])
	return pages * os.Getpagesize() >> 20
}

// memory hands in small jobs all the time and, with trouble, one recurring job whose schedule
// began in the past. The platform kills processes over their bound of memory and starts them
// again. Every small job must run.
func memory(b *bed) (bool, error) {
	if err := b.start(3, 16); err != nil {
		return false, err
	}
	var mu sync.Mutex
	started := map[string]time.Duration{}
	b.platform.Lock(func(c *model.Cluster) {
		c.OnStart = func(_ *model.Worker, r *model.ActiveRun) {
			mu.Lock()
			defer mu.Unlock()
			if started[r.Task[:16]] == 0 {
				started[r.Task[:16]] = time.Since(b.began)
			}
		}
	})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var killed int
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, h := range b.hosts {
				if m := h.residentMB(); m > memoryMB {
					b.logf("%s uses %d MB, over memory-mb: the platform kills it and starts it again", h.name, m)
					b.kill(h)
					killed++
					time.Sleep(500 * time.Millisecond)
					if err := b.startHost(h); err != nil {
						b.logf("%s: %v", h.name, err)
						return
					}
				}
			}
		}
	}()
	defer func() {
		close(stop)
		wg.Wait()
	}()
	profile := model.TaskProfile{Work: 2 * time.Second, CPU: 5600, Memory: 29000, Accelerators: 1}
	small := model.TaskProfile{Work: 100 * time.Millisecond, CPU: 100, Memory: 100}
	accepted := map[string]time.Duration{}
	begin := time.Now()
	poisoned := false
	for n := 0; time.Since(begin) < 70*time.Second; n++ {
		if n == 20 && b.trouble {
			times, count := 10000, 94
			if s := os.Getenv("TIMES"); s != "" {
				times, _ = strconv.Atoi(s)
			}
			if s := os.Getenv("COUNT"); s != "" {
				count, _ = strconv.Atoi(s)
			}
			body := jobBody(times, time.Now().Add(-time.Duration(times)*time.Minute), time.Minute, stepOf{profile: profile, count: count})
			for i := range recurring {
				if !b.submit("/batch/"+jobID(1<<16+i), body, 5*time.Second) {
					return false, fmt.Errorf("%w: a recurring job wasn't accepted", errCannotRun)
				}
			}
			poisoned = true
			b.logf("the recurring job is accepted: %d times %d tasks, each minute, the first %d minutes ago", times, count, times)
		}
		id := jobID(n)
		if b.submit("/brief/"+id, jobBody(0, time.Time{}, 0, stepOf{profile: small, count: 1}), 3*time.Second) {
			accepted[id] = time.Since(b.began)
		}
		if n%20 == 0 {
			var use []string
			for _, h := range b.hosts {
				use = append(use, fmt.Sprintf("%s %d MB", h.name, h.residentMB()))
			}
			mu.Lock()
			b.logf("%d small jobs are accepted, %d jobs have started (recurring job handed in: %v); %s", len(accepted), len(started), poisoned, strings.Join(use, ", "))
			mu.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(17 * time.Second)
	lost := 0
	for id, at := range accepted {
		mu.Lock()
		ok := started[id] > 0
		mu.Unlock()
		if !ok {
			lost++
			b.logf("LOST: job %s, accepted at %.1f s, has not started", id, at.Seconds())
		}
	}
	b.logf("%d of %d accepted small jobs have not started", lost, len(accepted))
	return lost > 0, nil
}
