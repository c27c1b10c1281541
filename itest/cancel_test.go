package itest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/retry"
	"citronbridge/table"
)

// TestCancelUnreportedJob cancels jobs that are in the store but were never reported to
// their decider. This happens when a cancellation follows right after the answer to a
// submission. The first host called must accept it.
func TestCancelUnreportedJob(t *testing.T) {
	t.Parallel()
	c := newCluster(t, oneRackLayout)
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	store := table.NewClient("http://"+c.tableAddress, retry.New(retry.Config{Name: "table", CallsPerSecond: 100}), nil)
	rows := ledger.New(store, table.NewBatcher(store))
	ctx := context.Background()
	for i, h := range c.hosts {
		s := newSpec(fmt.Sprintf("u%d", i), time.Hour)
		s.Account = kelani
		digest, err := s.Digest()
		must(t, err)
		_, _, err = rows.Insert(ctx, &jobs.Record{Spec: *s, Digest: digest, Cell: "dc1", State: jobs.Waiting, Accepted: time.Now().UTC()})
		must(t, err)
		k := c.client(kelani+"-token", h)
		_, err = k.Cancel(ctx, s.ID)
		must(t, err)
		v, err := k.Answer(ctx, s.ID, awaitTimeout)
		must(t, err)
		if v.State != jobs.Finished || v.Outcome == jobs.Done {
			t.Errorf("job %s is %s with outcome %s, want finished and not done", s.ID, v.State, v.Outcome)
		}
	}
}

// TestCancelAfterRun guards against the outcome NotRun for a job that did run: its only
// target is lost, and it is cancelled while it waits for another one, under the same
// decider or under a successor.
func TestCancelAfterRun(t *testing.T) {
	t.Parallel()
	for _, successor := range []bool{false, true} {
		t.Run(fmt.Sprintf("Successor=%v", successor), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, layout{hosts: []string{"dc1", "dc1", "dc1"}, targetCentres: []string{"dc1"}, racksPerCentre: 1, targetsPerRack: 1})
			c.propose(manifest(nil, nil))
			c.awaitDeciders()
			k := c.client(kelani + "-token")
			s := newSpec("ran", time.Hour, gangOf(1, 1))
			c.submit(k, s)
			eventually(t, "the job is running", func() bool { return c.runningTasks(kelani) == 1 })
			if successor {
				d := c.decider("dc1")
				d.kill()
				c.killTarget(c.targets[0])
				k = c.client(kelani+"-token", c.hostsExcept(d)...)
			} else {
				c.killTarget(c.targets[0])
				eventually(t, "the job is waiting again", func() bool {
					v, err := k.Status(context.Background(), s.ID)
					return err == nil && v.State == jobs.Waiting
				})
			}
			eventually(t, "cancelled", func() bool {
				_, err := k.Cancel(context.Background(), s.ID)
				return err == nil
			})
			v, err := k.Answer(context.Background(), s.ID, awaitTimeout)
			must(t, err)
			if v.State != jobs.Finished || v.Outcome == jobs.NotRun {
				t.Errorf("state %s, outcome %s, detail %q; want finished and not NotRun", v.State, v.Outcome, v.Detail)
			}
		})
	}
}
