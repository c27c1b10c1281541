package itest

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/jobs"
)

// twoCentreLayout is a deployment of 3 hosts, 2 data centres and 8 targets.
var twoCentreLayout = layout{hosts: []string{"dc1", "dc2", "dc1"}, targetCentres: []string{"dc1", "dc2"}, racksPerCentre: 2, targetsPerRack: 2}

// TestKillHost kills each host in turn while jobs run. Every request has its
// whole answer at the hosts that are left, and none ran twice.
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
			eventually(t, "a job runs", func() bool { return len(c.events()) > 0 })
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

// checkStarts checks the targets' logs against what was asked for: a
// non-idempotent job started each member at most once, and the members of a
// gang started and ended together.
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
			c.t.Errorf("job %s: %d of %d members started", s.ID, len(starts), s.Shape.Members)
		}
	}
}
