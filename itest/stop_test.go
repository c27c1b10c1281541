package itest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"citronbridge/config"
	"citronbridge/entry"
	"citronbridge/httpc"
	"citronbridge/jobs"
	"citronbridge/units"
)

// balancer picks ready hosts in turn for calls, like the platform's load balancer.
type balancer struct {
	mu    sync.Mutex
	hosts []*hostProcess
	ready map[*hostProcess]bool
	next  int
}

// pollReadiness polls the readiness of the hosts until ctx ends.
func (b *balancer) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for _, h := range b.hosts {
			x, cancel := context.WithTimeout(ctx, time.Second)
			err := httpc.New("http://"+h.httpAddress()).Do(x, http.MethodGet, "/readyz", nil, nil)
			cancel()
			b.mu.Lock()
			b.ready[h] = err == nil
			b.mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// pick returns the address of the next ready host, or "" if no host is ready.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.hosts {
		b.next++
		if h := b.hosts[b.next%len(b.hosts)]; b.ready[h] {
			return h.httpAddress()
		}
	}
	return ""
}

// TestPlannedStop stops each host in turn, and then two at once, while callers submit jobs
// and wait for answers in long polls. No call fails, and every job is done. Each host gets
// the signal twice, as a repeated signal must not end the drain.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{hosts: []string{"dc1", "dc2", "dc1", "dc2"}, targetCentres: []string{"dc1", "dc2"}, racksPerCentre: 1, targetsPerRack: 3, settings: func(s *config.Settings) {
		// Longer than the balancer takes to notice that a host is no longer ready, even
		// on a busy machine.
		s.Bounds.DrainGrace = units.Duration(2 * time.Second)
	}})
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	b := &balancer{hosts: c.hosts, ready: map[*hostProcess]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.pollReadiness(ctx)
	eventually(t, "the balancer has a ready host", func() bool { return b.pick() != "" })
	var stop atomic.Bool
	var submissions, failed, polls atomic.Int64
	var wg sync.WaitGroup
	var specs [4][]*jobs.Spec
	for i := range specs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; !stop.Load(); n++ {
				s := newSpec(fmt.Sprintf("s%d-%d", i, n), 50*time.Millisecond)
				s.NonIdempotent = n%2 == 0
				specs[i] = append(specs[i], s)
				submissions.Add(1)
				if err := callHost(b.pick(), http.MethodPost, "/v1/jobs", s, nil); err != nil {
					failed.Add(1)
					t.Errorf("submit %s: %v", s.ID, err)
				}
				for {
					var a entry.Answer
					polls.Add(1)
					if err := callHost(b.pick(), http.MethodGet, "/v1/jobs/"+s.ID+"/answer?Wait=5s", nil, &a); err != nil {
						failed.Add(1)
						t.Errorf("answer %s: %v", s.ID, err)
						break
					}
					if a.State == jobs.Finished {
						break
					}
				}
			}
		}()
	}
	for _, group := range [][]*hostProcess{{c.hosts[0]}, {c.hosts[1]}, {c.hosts[2]}, {c.hosts[3]}, {c.hosts[0], c.hosts[1]}} {
		for _, h := range group {
			h.signal(syscall.SIGTERM)
			h.signal(syscall.SIGTERM)
		}
		for _, h := range group {
			<-h.exited
			c.restart(h)
		}
		c.awaitDeciders()
	}
	stop.Store(true)
	wg.Wait()
	var allSpecs []*jobs.Spec
	for _, l := range specs {
		allSpecs = append(allSpecs, l...)
	}
	v := c.audit(c.client(kelani+"-token"), allSpecs)
	t.Logf("%d submissions and %d polls over 6 stops, %d failed; %+v", submissions.Load(), polls.Load(), failed.Load(), v)
	if v.done != len(allSpecs) {
		t.Errorf("%d of %d jobs done", v.done, len(allSpecs))
	}
}

// restart starts a host again after its process has exited, on new ports, and waits until
// it is ready.
func (c *cluster) restart(h *hostProcess) {
	c.startHost(h)
	c.awaitReady(h)
}

// callHost calls a host once, without retries, on a connection of its own.
func callHost(host, method, path string, in, out any) error {
	k := httpc.New("http://" + host)
	k.Token = kelani + "-token"
	defer k.HTTP.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	return k.Do(ctx, method, path, in, out)
}
