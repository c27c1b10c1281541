package cells

import (
	"context"
	"sync"

	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/target"
)

// Recover rebuilds the cell's state from its open rows and its targets.
func (c *Cell) Recover(ctx context.Context) error {
	reports := c.fenceAll(ctx)
	keys, err := c.c.Records.Open(ctx, c.Name)
	if err != nil {
		return err
	}
	entries, bad, err := c.c.Records.LoadAll(ctx, keys)
	if err != nil {
		return err
	}
	c.c.Meter.Malformed.WithLabelValues("Table").Add(float64(bad))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adopt(entries, reports)
	return nil
}

// fenceAll fences every target that answers within its time.
func (c *Cell) fenceAll(ctx context.Context) map[string]target.Report {
	var mu sync.Mutex
	var wg sync.WaitGroup
	m := map[string]target.Report{}
	for _, h := range c.c.Hosts.Targets(c.Name) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, err := c.c.Connect(h, c.c.Bounds.Lease).Fence(ctx, c.hold.Epoch)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			m[h.ID] = r
		}()
	}
	wg.Wait()
	return m
}

// adopt takes the jobs over that are open, with the tasks that the targets
// reported. The conversations that start behind it fence the targets again
// and tell of each task. The lock is held.
func (c *Cell) adopt(entries []ledger.Entry, reports map[string]target.Report) {
	last := map[jobs.Key]*target.Task{}
	for _, r := range reports {
		for i := range r.Tasks {
			t := &r.Tasks[i]
			if o := last[t.ID.Job]; o == nil || later(t.ID.Attempt, o.ID.Attempt) {
				last[t.ID.Job] = t
			}
		}
	}
	for _, e := range entries {
		if e.Record.Final() || e.Record.Cell != c.Name {
			continue
		}
		j := newJob(e)
		c.jobs[j.key()] = j
		c.resume(j, last[j.key()])
	}
}

// later reports whether attempt a came after b.
func later(a, b jobs.Attempt) bool {
	return a.Epoch > b.Epoch || a.Epoch == b.Epoch && a.Number > b.Number
}

// resume sets up a job that may have an attempt at the targets. The lock is
// held.
func (c *Cell) resume(j *job, t *target.Task) {
	j.Record.State = jobs.Waiting
	targets := j.Record.Targets
	switch {
	case j.spec().NonIdempotent && j.Record.Attempt.Epoch > 0:
		j.attempt = j.Record.Attempt
	case !j.spec().NonIdempotent && t != nil:
		j.attempt, targets = t.ID.Attempt, t.Targets
	default:
		return
	}
	if len(targets) != j.spec().Shape.Members {
		return
	}
	if t != nil && t.ID.Attempt == j.attempt {
		j.guarantee = t.Guarantee
	}
	j.members = make([]member, len(targets))
	for i, id := range targets {
		j.members[i].target = id
	}
	j.Record.Started = c.taken
	c.fire(j, jobs.Doubt)
	c.event(j, "TakenOver", j.attempt.String())
}
