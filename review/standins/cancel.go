package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"citronbridge/fakes/model"
)

// cancel hands in jobs whose clients give up without an answer and cancel them. With
// trouble, the store loses answers to writes meanwhile and does these writes later. No task
// may start later than cancel_ms after the cancel of its job was acknowledged.
func cancel(b *bed) (bool, error) {
	const (
		cancelTime  = 3 * time.Second
		contactTime = 3 * time.Second
		lossFor     = 4500 * time.Millisecond
		loseShare   = 0.35
		jobs        = 1000
		clients     = 8
		pause       = 200 * time.Millisecond
		patience    = 900 * time.Millisecond
		blockerTime = 20 * time.Second
	)
	if err := b.start(3, 16); err != nil {
		return false, err
	}
	var mu sync.Mutex
	started := map[string]time.Duration{}
	b.platform.Lock(func(c *model.Cluster) {
		c.OnStart = func(_ *model.Worker, r *model.ActiveRun) {
			mu.Lock()
			defer mu.Unlock()
			b.logf("worker starts %s run %d", r.Task, r.Run)
			if started[r.Task[:16]] == 0 {
				started[r.Task[:16]] = time.Since(b.began)
			}
		}
	})
	// A job takes all accelerators for a while, so that later jobs start long after the store
	// has recovered.
	blocker := jobBody(0, time.Time{}, 0, stepOf{profile: model.TaskProfile{Work: blockerTime, CPU: 1000, Memory: 1000, Accelerators: 8}, count: 16})
	if !b.submit("/digest/"+jobID(1<<16), blocker, 10*time.Second) || !await(10*time.Second, func() bool { return b.state("/digest/"+jobID(1<<16)) == "running" }) {
		return false, fmt.Errorf("%w: the first job doesn't run", errCannotRun)
	}
	time.Sleep(2 * time.Second)
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	if b.trouble {
		b.store.setLoss(func() (bool, time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			return rng.Float64() < loseShare, time.Second + time.Duration(rng.Int64N(int64(5*time.Second)))
		})
		b.logf("the store loses %.0f%% of the answers to writes, for %v, and does these 1 to 6 s later", 100*loseShare, lossFor)
	}
	lossEnd := time.Now().Add(lossFor)
	sound := make(chan time.Duration, 1)
	time.AfterFunc(lossFor, func() {
		b.store.setLoss(nil)
		b.logf("the store is sound from now on")
		sound <- time.Since(b.began)
	})
	body := jobBody(0, time.Time{}, 0, stepOf{profile: model.TaskProfile{Work: 100 * time.Millisecond, CPU: 100, Memory: 100, Accelerators: 1}, count: 1})
	posted, canceled, canceledAt := make([]int, jobs), make([]int, jobs), make([]time.Duration, jobs)
	parallel(jobs, clients, func(n int) bool {
		if time.Now().After(lossEnd) {
			return true
		}
		h := b.hosts[n%len(b.hosts)]
		path := "/batch/" + jobID(n)
		status, _ := b.call(h, patience, http.MethodPost, path, body)
		b.logf("POST %s at %s: %d", path, h.name, status)
		posted[n] = status
		for range 20 {
			status, _ := b.call(h, 3*time.Second, http.MethodDelete, path, nil)
			b.logf("DELETE %s at %s: %d", path, h.name, status)
			if status == http.StatusOK || status == http.StatusGone {
				canceled[n], canceledAt[n] = status, time.Since(b.began)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(pause)
		return true
	})
	recovered := <-sound
	time.Sleep(blockerTime + 6*time.Second)
	broken := false
	for n := range jobs {
		mu.Lock()
		at := started[jobID(n)]
		mu.Unlock()
		if at == 0 || canceledAt[n] == 0 || at <= canceledAt[n]+cancelTime || at <= recovered+contactTime+6*time.Second {
			continue
		}
		broken = true
		b.logf("UNASKED: job %s starts at %.3f s; its POST had status %d, its cancel was acknowledged with %d at %.3f s; the job is shown as %s",
			jobID(n), at.Seconds(), posted[n], canceled[n], canceledAt[n].Seconds(), b.state("/batch/"+jobID(n)))
	}
	return broken, nil
}
