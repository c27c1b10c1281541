package itest

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"citronbridge/fakes"
	"citronbridge/jobs"
	"citronbridge/place"
)

// oneRackLayout is a deployment of one cell with 3 hosts and 4 targets in one rack, so that
// a gang of 4 members with 8 accelerators each needs all targets.
var oneRackLayout = layout{hosts: []string{"dc1", "dc1", "dc1"}, targetCentres: []string{"dc1"}, racksPerCentre: 1, targetsPerRack: 4}

// gangOf gives a job n members with a accelerators each, in one rack.
func gangOf(n, a int) func(*jobs.Spec) {
	return func(s *jobs.Spec) { s.Shape = shape(n, a, jobs.AdjacentRack) }
}

// TestGangFaults injects a fault at one target of a gang. No member starts unless all do,
// and the jobs are done once the fault is over.
func TestGangFaults(t *testing.T) {
	for _, x := range []struct {
		name string
		// partial says that the fault occurs after the start.
		partial bool
		begin   func(c *cluster, w *targetProcess)
		end     func(c *cluster, w *targetProcess)
	}{
		{"RefuseReserve", false,
			func(_ *cluster, w *targetProcess) { w.setFaults(t, fakes.TargetFaults{RefuseReserve: true}) },
			func(_ *cluster, w *targetProcess) { w.setFaults(t, fakes.TargetFaults{}) }},
		{"RefuseStart", false,
			func(_ *cluster, w *targetProcess) { w.setFaults(t, fakes.TargetFaults{RefuseStart: true}) },
			func(_ *cluster, w *targetProcess) { w.setFaults(t, fakes.TargetFaults{}) }},
		{"Frozen", false,
			func(_ *cluster, w *targetProcess) { w.signal(syscall.SIGSTOP) },
			func(_ *cluster, w *targetProcess) { w.signal(syscall.SIGCONT) }},
		{"Cut", false,
			func(c *cluster, w *targetProcess) {
				for _, h := range c.hosts {
					c.cutLink(h.name, w.listEntry.ID)
				}
			},
			func(c *cluster, w *targetProcess) {
				for _, h := range c.hosts {
					c.restoreLink(h.name, w.listEntry.ID)
				}
			}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, oneRackLayout)
			c.propose(manifest(nil, nil))
			c.awaitDeciders()
			k := c.client(kelani + "-token")
			w := c.targets[2]
			x.begin(c, w)
			l := []*jobs.Spec{newSpec("g0", 50*time.Millisecond, gangOf(4, 8)), newSpec("g1", 50*time.Millisecond, gangOf(4, 8), nonIdempotent)}
			for _, s := range l {
				c.submit(k, s)
			}
			eventually(t, "the first job was tried or found no room", func() bool {
				x, err := k.Explain(t.Context(), "g0")
				return err == nil && (len(x.Events) > 2 || x.State == jobs.Waiting && strings.HasPrefix(x.Reason, string(place.NoRoom)))
			})
			x.end(c, w)
			v := c.audit(k, l)
			t.Logf("%+v", v)
			if v.done != len(l) || v.partial != 0 {
				t.Errorf("%+v", v)
			}
		})
	}
}

// TestGangTargetLost kills a target while a gang runs on it. The remaining members stop,
// and the job, which is idempotent, runs again on other targets.
func TestGangTargetLost(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{hosts: []string{"dc1", "dc1", "dc1"}, targetCentres: []string{"dc1"}, racksPerCentre: 2, targetsPerRack: 2})
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	k := c.client(kelani + "-token")
	s := newSpec("g0", 2*time.Second, gangOf(2, 8))
	c.submit(k, s)
	var victim *targetProcess
	eventually(t, "the gang is running", func() bool {
		e := c.events()[jobs.Key{Account: kelani, ID: "g0"}]
		for _, w := range c.targets {
			if len(e) > 0 && e[len(e)-1].Event == "Start" && w.listEntry.ID == e[len(e)-1].target {
				victim = w
			}
		}
		return victim != nil
	})
	c.killTarget(victim)
	c.awaitDone(k, s)
	for id, a := range groupByAttempt(c.events()[jobs.Key{Account: kelani, ID: "g0"}]) {
		if len(a.ends) != len(a.starts) {
			t.Errorf("attempt %s: %d of %d members ended", id, len(a.ends), len(a.starts))
		}
	}
}

// TestCompetingGangs guards against deadlock between gangs: it submits several at different
// hosts, each of which needs more than half of the rack. All of them run, one after
// the other, and none holds part of the targets while it waits for the rest.
func TestCompetingGangs(t *testing.T) {
	t.Parallel()
	c := newCluster(t, oneRackLayout)
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	var l []*jobs.Spec
	for i := range 9 {
		s := newSpec(fmt.Sprintf("g%d", i), 30*time.Millisecond, gangOf(3, 8))
		c.submit(c.client(kelani+"-token", c.hosts[i%3]), s)
		l = append(l, s)
	}
	v := c.audit(c.client(kelani+"-token"), l)
	if v.done != len(l) || v.partial != 0 {
		t.Errorf("%+v", v)
	}
}
