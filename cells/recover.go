package cells

import (
	"context"
	"sync"

	"citronbridge/active"
	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/target"
)

// Recover rebuilds the cell's state from its open rows and its targets.
func (c *Cell) Recover(ctx context.Context) error {
	reports := c.fenceAll(ctx)
	keys, err := c.Config.Records.ListOpen(ctx, c.Name)
	if err != nil {
		return err
	}
	entries, bad, err := c.Config.Records.LoadAll(ctx, keys)
	if err != nil {
		return err
	}
	c.Config.Meter.Malformed.WithLabelValues("Table").Add(float64(bad))
	c.Mu.Lock()
	defer c.Mu.Unlock()
	c.adopt(entries, reports)
	return nil
}

// fenceAll fences every target that answers within its time.
func (c *Cell) fenceAll(ctx context.Context) map[string]target.Report {
	var mu sync.Mutex
	var wg sync.WaitGroup
	m := map[string]target.Report{}
	for _, h := range c.Config.Hosts.Targets(c.Name) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, err := c.Config.Connect(h, c.Config.Bounds.Lease).Fence(ctx, c.Hold.Epoch)
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
			if o := last[t.ID.Job]; o == nil || active.Later(t.ID.Attempt, o.ID.Attempt) {
				last[t.ID.Job] = t
			}
		}
	}
	for _, e := range entries {
		if e.Record.Final() || e.Record.Cell != c.Name {
			continue
		}
		j := active.NewJob(e)
		c.Jobs[j.Key()] = j
		c.resume(j, last[j.Key()])
	}
}

// resume sets up a job that may have an attempt at the targets. The lock is
// held.
func (c *Cell) resume(j *active.Job, t *target.Task) {
	j.Record.State = jobs.Waiting
	if !j.Spec().NonIdempotent && c.Hold.Epoch > 1 && j.Record.Past == jobs.NeverRan {
		// Its starts leave no trace in the row, and a target forgets them when it
		// restarts.
		j.Record.Past = jobs.MayHaveRan
	}
	targets := j.Record.Targets
	switch {
	case j.Spec().NonIdempotent && j.Record.Attempt.Epoch > 0:
		j.Attempt = j.Record.Attempt
	case !j.Spec().NonIdempotent && t != nil:
		j.Attempt, targets = t.ID.Attempt, t.Targets
	default:
		return
	}
	if len(targets) != j.Spec().Shape.Members {
		return
	}
	if t != nil && t.ID.Attempt == j.Attempt {
		j.Guarantee = t.Guarantee
	}
	j.Members = make([]active.Member, len(targets))
	for i, id := range targets {
		j.Members[i].Target = id
	}
	j.Record.Started = c.Taken
	c.Fire(j, jobs.Doubt)
	c.Event(j, "TakenOver", j.Attempt.String())
}
