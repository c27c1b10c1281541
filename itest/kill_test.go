package itest

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/jobs"
)

// twoCentreLayout is a deployment of 3 hosts and 8 targets in 2 data centres.
var twoCentreLayout = layout{hosts: []string{"dc1", "dc2", "dc1"}, targetCentres: []string{"dc1", "dc2"}, racksPerCentre: 2, targetsPerRack: 2}

// TestKillHost kills a host while jobs run, a different one in each subtest. The remaining
// hosts return the complete answer of every job, and no non-idempotent job runs twice.
func TestKillHost(t *testing.T) {
	for i := range twoCentreLayout.hosts {
		t.Run(fmt.Sprintf("h%d", i), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, twoCentreLayout)
			c.propose(manifest(nil, nil))
			c.awaitDeciders()
			k := c.client(kelani + "-token")
			var l []*jobs.Spec
			for n := range 8 {
				s := newSpec(fmt.Sprintf("j%d", n), 700*time.Millisecond)
				s.NonIdempotent = n%2 == 0
				c.submit(k, s)
				l = append(l, s)
			}
			victim := c.hosts[i]
			eventually(t, "a target has logged an event", func() bool { return len(c.events()) > 0 })
			victim.kill()
			var rest []*hostProcess
			for _, h := range c.hosts {
				if h != victim {
					rest = append(rest, h)
				}
			}
			k = c.client(kelani+"-token", rest...)
			for _, s := range l {
				c.awaitDone(k, s)
			}
			c.checkStarts(l)
		})
	}
}

// checkStarts checks the targets' logs against the jobs of kelani in l: no member of a
// non-idempotent job started more than once, and of each gang either all members
// started or none.
func (c *cluster) checkStarts(l []*jobs.Spec) {
	c.t.Helper()
	events := c.events()
	for _, s := range l {
		starts := map[int]int{}
		for _, e := range events[jobs.Key{Account: kelani, ID: s.ID}] {
			if e.Event == "Start" {
				starts[e.Task.Member]++
			}
		}
		for m, n := range starts {
			if s.NonIdempotent && n > 1 {
				c.t.Errorf("job %s: member %d started %d times", s.ID, m, n)
			}
		}
		if len(starts) != 0 && len(starts) != s.Shape.Members {
			c.t.Errorf("job %s: only %d of %d members started", s.ID, len(starts), s.Shape.Members)
		}
	}
}
