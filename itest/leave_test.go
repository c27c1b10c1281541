package itest

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"citronbridge/jobs"
)

// TestLeavingTarget lists a target as leaving while jobs are submitted, and then kills the
// decider of its cell. Once the hosts have read the list, no job starts on that target,
// not even under the next decider. The job that runs there continues.
func TestLeavingTarget(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{hosts: []string{"dc1", "dc1", "dc1"}, targetCentres: []string{"dc1"}, racksPerCentre: 1, targetsPerRack: 3, hostListLag: 300 * time.Millisecond})
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	k := c.client(kelani + "-token")
	long := newSpec("long", 4*time.Second, gangOf(1, 1))
	c.submit(k, long)
	var w *targetProcess
	eventually(t, "the long job is running", func() bool {
		for _, e := range c.events()[jobs.Key{Account: kelani, ID: "long"}] {
			w = c.targetByID(e.target)
		}
		return w != nil && c.runningTasks(kelani) == 1
	})
	var stop atomic.Bool
	done := make(chan []*jobs.Spec)
	go func() {
		var l []*jobs.Spec
		for i := 0; !stop.Load(); i++ {
			s := newSpec(fmt.Sprintf("f%d", i), 20*time.Millisecond, gangOf(1, 2))
			c.submit(k, s)
			l = append(l, s)
			time.Sleep(10 * time.Millisecond)
		}
		done <- l
	}()
	w.listEntry.Leaving = true
	listed := time.Now()
	c.updateHostLists()
	c.awaitTargetState(w, "Leaving", c.hosts...)
	d := c.decider("dc1")
	d.kill()
	rest := c.hostsExcept(d)
	deciderKilled := time.Now()
	c.awaitTargetState(w, "Leaving", rest...)
	time.Sleep(500 * time.Millisecond)
	stop.Store(true)
	l := append(<-done, long)
	k = c.client(kelani+"-token", rest...)
	if v := c.audit(k, l); v.done != len(l) {
		t.Errorf("%+v", v)
	}
	lastStart := time.Time{}
	for _, events := range c.events() {
		for _, e := range events {
			if e.target == w.listEntry.ID && e.Event == "Start" && e.Time.After(lastStart) {
				lastStart = e.Time
			}
		}
	}
	t.Logf("last start on the target %s after it was listed as leaving, %d jobs", lastStart.Sub(listed), len(l))
	if lastStart.After(deciderKilled) {
		t.Errorf("a job started on a leaving target %s after the hosts knew that it leaves", lastStart.Sub(deciderKilled))
	}
}

// awaitTargetState waits until a target has a state, according to the first of the hosts
// that answers.
func (c *cluster) awaitTargetState(w *targetProcess, state string, hosts ...*hostProcess) {
	c.t.Helper()
	eventually(c.t, w.listEntry.ID+" is "+state, func() bool {
		l, err := c.client(operatorToken, hosts...).Targets(context.Background())
		if err != nil {
			return false
		}
		for _, v := range l {
			if v.ID == w.listEntry.ID {
				return v.State == state
			}
		}
		return false
	})
}
