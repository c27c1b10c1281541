package itest

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"citronbridge/admin"
	"citronbridge/client"
	"citronbridge/fakes"
	"citronbridge/jobs"
)

// TestManifestRace lets operators propose concurrently at two hosts while the table service
// loses answers and the third host is paused; later one host restarts. Exactly one
// proposal is accepted per revision, every host receives it, and no host returns to an
// earlier revision.
func TestManifestRace(t *testing.T) {
	t.Parallel()
	c := newCluster(t, twoCentreLayout)
	first := c.propose(manifest(nil, nil))
	c.setTableFaults(fakes.TableFaults{LosePercent: 25, Seed: 3})
	var stop atomic.Bool
	var watchers, wg sync.WaitGroup
	for _, h := range c.hosts {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			c.checkRevisionNeverFalls(h, &stop)
		}()
	}
	c.hosts[2].signal(syscall.SIGSTOP)
	const rounds, proposers = 5, 4
	revision := first
	for round := range rounds {
		var accepted atomic.Int64
		for i := range proposers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if c.proposeUntilDecided(c.hosts[i%2], fmt.Sprintf("r%d-%d", round, i), revision) {
					accepted.Add(1)
				}
			}()
		}
		wg.Wait()
		if accepted.Load() != 1 {
			t.Errorf("round %d: %d proposals accepted, want 1", round, accepted.Load())
		}
		revision++
	}
	c.hosts[2].signal(syscall.SIGCONT)
	c.awaitRevision(revision)
	// A host that starts during an outage of the table service can get the manifest only
	// from its peers.
	c.hosts[1].kill()
	c.setTableFaults(fakes.TableFaults{Outage: true})
	c.restart(c.hosts[1])
	v, err := c.client(operatorToken, c.hosts[1]).Manifest(context.Background())
	if err != nil || v.Number != revision {
		t.Errorf("restarted host has revision %d, want %d: %v", v.Number, revision, err)
	}
	stop.Store(true)
	watchers.Wait()
}

// proposeUntilDecided retries a proposal on a base revision until it is accepted or
// superseded, and reports whether it was accepted.
func (c *cluster) proposeUntilDecided(h *hostProcess, id string, base int64) bool {
	k := c.client(operatorToken, h)
	accepted := false
	eventually(c.t, "proposal "+id+" is accepted or superseded", func() bool {
		v, err := k.Propose(context.Background(), &admin.Proposal{ID: id, Base: base, Manifest: manifest(nil, nil)})
		if p := client.ProblemOf(err); p != nil && p.Status == 409 {
			return true
		}
		accepted = err == nil && v.Number == base+1
		return err == nil
	})
	return accepted
}

// checkRevisionNeverFalls polls the manifest revision that a host reports until stop is set
// and fails the test if it decreases.
func (c *cluster) checkRevisionNeverFalls(h *hostProcess, stop *atomic.Bool) {
	for seen := int64(0); !stop.Load(); time.Sleep(10 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		v, err := c.client(operatorToken, h).Manifest(ctx)
		cancel()
		if err != nil {
			continue
		}
		if v.Number < seen {
			c.t.Errorf("host %s went back from revision %d to %d", h.name, seen, v.Number)
		}
		seen = v.Number
	}
}

// TestNoStartsUnderUnconfirmedRules cuts off the hosts of a data centre from the table
// service and from the other data centre, so that they can't confirm that their manifest
// is current. After a few seconds they start no job until the links are restored.
func TestNoStartsUnderUnconfirmedRules(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{hosts: []string{"dc1", "dc1", "dc2"}, targetCentres: []string{"dc1"}, racksPerCentre: 1, targetsPerRack: 1})
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	d := c.decider("dc1")
	k := c.client(kelani+"-token", d)
	c.submit(k, newSpec("first", 8*time.Second, gangOf(1, 8)))
	eventually(t, "the first job is running", func() bool { return c.runningTasks(kelani) == 1 })
	second := newSpec("second", 10*time.Millisecond, gangOf(1, 8))
	c.submit(k, second)
	links := [][2]string{{"h0", "table"}, {"h1", "table"}, {"h0", "h2"}, {"h1", "h2"}, {"h2", "h0"}, {"h2", "h1"}, {"h2", "table"}}
	for _, l := range links {
		c.cutLink(l[0], l[1])
	}
	eventually(t, "the first job has ended", func() bool { return c.runningTasks(kelani) == 0 })
	// The decider plans every 250 ms while a job waits, so that this second covers
	// several rounds of planning.
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		if len(c.events()[jobs.Key{Account: kelani, ID: "second"}]) > 0 {
			t.Fatal("a job was started under unconfirmed rules")
		}
	}
	for _, l := range links {
		c.restoreLink(l[0], l[1])
	}
	c.awaitDone(k, second)
}
