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

// TestCancelUntold cancels jobs that were recorded by a host that did not tell
// their decider of them: a cancel that comes right behind the answer to a
// submission finds its job so. Each cancel is taken by the first host called.
func TestCancelUntold(t *testing.T) {
	t.Parallel()
	c := newCluster(t, one)
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	store := table.NewClient("http://"+c.table, retry.New(retry.Config{Name: "table", CallsPerSecond: 100}), nil)
	rows := ledger.New(store, table.NewBatcher(store))
	ctx := context.Background()
	for i, h := range c.hosts {
		s := job(fmt.Sprintf("u%d", i), time.Hour)
		s.Account = kelani
		digest, err := s.Digest()
		must(t, err)
		_, _, err = rows.Insert(ctx, &jobs.Record{Spec: *s, Digest: digest, Cell: "dc1", State: jobs.Waiting, Accepted: time.Now().UTC()})
		must(t, err)
		k := c.client(kelani+"-token", h)
		_, err = k.Cancel(ctx, s.ID)
		must(t, err)
		v, err := k.Answer(ctx, s.ID, patience)
		must(t, err)
		if v.State != jobs.Finished || v.Outcome == jobs.Done {
			t.Errorf("job %s: %s %s", s.ID, v.State, v.Outcome)
		}
	}
}
