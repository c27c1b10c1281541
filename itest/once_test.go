package itest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"citronbridge/fakes"
	"citronbridge/jobs"
	"citronbridge/units"
)

// TestFrozenDeciderRunsJobsOnce guards against jobs that run twice after a takeover: a
// decider is paused while it starts non-idempotent jobs and resumes once another host
// has taken over its cell.
func TestFrozenDeciderRunsJobsOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, oneRackLayout)
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	d := c.decider("dc1")
	var others []*hostProcess
	for _, h := range c.hosts {
		if h != d {
			others = append(others, h)
		}
	}
	k := c.client(kelani+"-token", others...)
	var l []*jobs.Spec
	for i := range 20 {
		s := newSpec(fmt.Sprintf("o%d", i), 100*time.Millisecond, gangOf(2, 4), nonIdempotent)
		c.submit(k, s)
		l = append(l, s)
		if i == 8 {
			d.signal(syscall.SIGSTOP)
		}
	}
	eventually(t, "another host has taken over the cell", func() bool {
		for _, h := range others {
			x, err := c.client(operatorToken, h).Hosts(context.Background())
			if err == nil && len(x[0].Cells) > 0 {
				return true
			}
		}
		return false
	})
	d.signal(syscall.SIGCONT)
	v := c.audit(k, l)
	t.Logf("%+v", v)
	if v.done == 0 {
		t.Errorf("%+v", v)
	}
}

// TestNotRun lets cancellations and deadlines race with starts while the table service
// loses answers and each request is sent to every host. No job with the outcome NotRun
// may have run, and no non-idempotent job may have run twice.
func TestNotRun(t *testing.T) {
	t.Parallel()
	c := newCluster(t, oneRackLayout)
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	c.setTableFaults(fakes.TableFaults{LosePercent: 30, Seed: 7})
	k := c.client(kelani + "-token")
	r := rand.New(rand.NewPCG(7, 7))
	var l []*jobs.Spec
	var wg sync.WaitGroup
	for i := range 60 {
		s := newSpec(fmt.Sprintf("n%d", i), 40*time.Millisecond, gangOf(1+r.IntN(4), 8), nonIdempotent)
		wait := time.Duration(r.IntN(400)) * time.Millisecond
		if i%3 == 0 {
			s.StartBy = units.Time{Time: time.Now().Add(wait).UTC()}
		}
		l = append(l, s)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range c.hosts {
				c.submit(c.client(kelani+"-token", c.hosts[(i+n)%3], c.hosts[(i+n+1)%3]), s)
			}
			if i%3 == 1 {
				time.Sleep(wait)
				eventually(t, "cancellation of job "+s.ID, func() bool {
					_, err := k.Cancel(context.Background(), s.ID)
					return err == nil
				})
			}
		}()
	}
	wg.Wait()
	v := c.audit(k, l)
	t.Logf("%+v", v)
	if v.notRun == 0 || v.done == 0 || v.partial != 0 {
		t.Errorf("%+v", v)
	}
}

// TestStoreOutage stops the table service for longer than a lease while jobs run. The
// jobs continue in their first attempt, and their outcomes are recorded once the service
// is back. Meanwhile no request is accepted.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, oneRackLayout)
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	k := c.client(kelani + "-token")
	var l []*jobs.Spec
	for i := range 4 {
		s := newSpec(fmt.Sprintf("s%d", i), 13*time.Second, gangOf(1, 8))
		s.NonIdempotent = i%2 == 0
		c.submit(k, s)
		l = append(l, s)
	}
	eventually(t, "all jobs are running", func() bool { return c.runningTasks(kelani) == 4 })
	c.setTableFaults(fakes.TableFaults{Outage: true})
	_, err := k.Submit(context.Background(), newSpec("late", time.Millisecond))
	if err == nil {
		t.Error("a request was accepted without the table service")
	}
	eventually(t, "all jobs have ended at their targets", func() bool { return c.runningTasks(kelani) == 0 })
	c.setTableFaults(fakes.TableFaults{})
	v := c.audit(k, l)
	if v.done != 4 {
		t.Errorf("%+v", v)
	}
	for key, e := range c.events() {
		if len(groupByAttempt(e)) != 1 {
			t.Errorf("job %s had %d attempts, want 1", key, len(groupByAttempt(e)))
		}
	}
}

// TestDeciderCutFromStore cuts off only the decider from the table service. Another host
// acquires its cell, and new jobs run.
func TestDeciderCutFromStore(t *testing.T) {
	t.Parallel()
	c := newCluster(t, oneRackLayout)
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	d := c.decider("dc1")
	c.cutLink(d.name, "table")
	var rest []*hostProcess
	for _, h := range c.hosts {
		if h != d {
			rest = append(rest, h)
		}
	}
	k := c.client(kelani+"-token", rest...)
	s := newSpec("after", 10*time.Millisecond, nonIdempotent)
	c.submit(k, s)
	c.awaitDone(k, s)
	c.restoreLink(d.name, "table")
}
