package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"syscall"
	"time"

	"citronbridge/fakes/model"
)

// serveProxy serves a service of the platform at a further address, until the returned server
// is closed.
func serveProxy(backend string) (string, *http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: backend}), ReadHeaderTimeout: time.Second}
	go s.Serve(l)
	return l.Addr().String(), s, nil
}

// move gives the advice service another address: with trouble, the settings files of all hosts
// change, and all get SIGHUP. Jobs that need advice must run before and after.
func move(b *bed) (bool, error) {
	backend, err := b.platform.ServeAdvice()
	if err != nil {
		return false, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	first, former, err := serveProxy(backend)
	if err != nil {
		return false, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	b.advice = first
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
	profile := model.TaskProfile{Work: 200 * time.Millisecond, CPU: 1000, Memory: 1000, Accelerators: 1, Advised: true}
	body := jobBody(0, time.Time{}, 0, stepOf{profile: profile, count: 2})
	plain := profile
	plain.Advised = false
	plainBody := jobBody(0, time.Time{}, 0, stepOf{profile: plain, count: 2})
	accepted := map[string]time.Duration{}
	handIn := func(path, id string, v []byte) error {
		if !b.submit(path+id, v, 10*time.Second) {
			return fmt.Errorf("%w: job %s wasn't accepted", errCannotRun, id)
		}
		accepted[id] = time.Since(b.began)
		b.logf("POST %s%s: 200", path, id)
		return nil
	}
	for n := range 5 {
		if err := handIn("/advised/", jobID(n), body); err != nil {
			return false, err
		}
	}
	if !await(10*time.Second, func() bool { return b.state("/advised/"+jobID(4)) == "succeeded" }) {
		return false, fmt.Errorf("%w: jobs with advice don't run before the change", errCannotRun)
	}
	if b.trouble {
		second, _, err := serveProxy(backend)
		if err != nil {
			return false, fmt.Errorf("%w: %w", errCannotRun, err)
		}
		b.advice = second
		for _, h := range b.hosts {
			if err := b.writeSettings(h); err != nil {
				return false, fmt.Errorf("%w: %w", errCannotRun, err)
			}
			h.cmd.Process.Signal(syscall.SIGHUP)
		}
		b.logf("the advice service is at %s in the settings of all hosts, in place of %s; all got SIGHUP", second, first)
		time.Sleep(3 * time.Second)
		former.Close()
		b.logf("the former address is closed")
	}
	for n := range 5 {
		if err := handIn("/advised/", jobID(10+n), body); err != nil {
			return false, err
		}
		if err := handIn("/batch/", jobID(20+n), plainBody); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	// finish_s after the end of the traffic, jobs are asked for.
	time.Sleep(14*time.Second + 3*time.Second)
	broken := false
	for _, n := range []int{10, 11, 12, 13, 14, 20, 21, 22, 23, 24} {
		path := "/advised/"
		if n >= 20 {
			path = "/batch/"
		}
		mu.Lock()
		at := started[jobID(n)]
		mu.Unlock()
		b.logf("job %s%s is shown as %s", path, jobID(n), b.state(path+jobID(n)))
		if at == 0 {
			broken = true
			b.logf("LOST: job %s, accepted at %.3f s, has not started, though the fleet is idle", jobID(n), accepted[jobID(n)].Seconds())
		}
	}
	return broken, nil
}
