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

// oneRackLayout is a deployment of a single cell with 4 targets in one rack, so that a
// gang of 4 x 8 accelerators needs all of them.
var oneRackLayout = layout{hosts: []string{"dc1", "dc1", "dc1"}, targetCentres: []string{"dc1"}, racksPerCentre: 1, targetsPerRack: 4}

func gangOf(n, a int) func(*jobs.Spec) {
	return func(s *jobs.Spec) { s.Shape = shape(n, a, jobs.AdjacentRack) }
}

// TestGangFaults brings about faults at one target of a gang. No member works
// unless all do, and the job runs once the fault is over.
func TestGangFaults(t *testing.T) {
	for _, x := range []struct {
		name string
		// partial says that the fault strikes after the start.
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
			eventually(t, "a job has tried", func() bool {
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

// TestGangTargetLost kills a target while a gang runs on it. The rest of the
// gang stops, and an idempotent job runs again elsewhere.
func TestGangTargetLost(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{hosts: []string{"dc1", "dc1", "dc1"}, targetCentres: []string{"dc1"}, racksPerCentre: 2, targetsPerRack: 2})
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	k := c.client(kelani + "-token")
	s := newSpec("g0", 2*time.Second, gangOf(2, 8))
	c.submit(k, s)
	var victim *targetProcess
	eventually(t, "the gang runs", func() bool {
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

// TestCompetingGangs submits gangs that each need more than half of the rack at
// once, at different hosts. Each runs whole, none holds part of what another
// needs.
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
