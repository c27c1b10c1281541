package cells

import (
	"context"
	"sync"

	"citronbridge/active"
	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/target"
)

// Recover rebuilds the cell's state after a takeover from its open jobs' rows and targets' reports.
func (c *Cell) Recover(ctx context.Context) error {
	reports := c.fenceAll(ctx)
	keys, err := c.Config.Records.ListOpen(ctx, c.Name)
	if err != nil {
		return err
	}
	entries, malformed, err := c.Config.Records.LoadAll(ctx, keys)
	if err != nil {
		return err
	}
	c.Config.Meter.Malformed.WithLabelValues("Table").Add(float64(malformed))
	c.Mu.Lock()
	defer c.Mu.Unlock()
	c.adoptJobs(entries, reports)
	return nil
}

// fenceAll fences all targets in parallel, and returns the reports of those that answered.
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

// adoptJobs adds the open jobs, with the latest attempt of each that targets reported. Watches that
// start later fence the targets again and report each task. The caller holds Mu.
func (c *Cell) adoptJobs(entries []ledger.Entry, reports map[string]target.Report) {
	latest := map[jobs.Key]*target.Task{}
	for _, r := range reports {
		for i := range r.Tasks {
			t := &r.Tasks[i]
			if o := latest[t.ID.Job]; o == nil || active.LaterAttempt(t.ID.Attempt, o.ID.Attempt) {
				latest[t.ID.Job] = t
			}
		}
	}
	for _, e := range entries {
		if e.Record.Final() || e.Record.Cell != c.Name {
			continue
		}
		j := active.NewJob(e)
		c.Jobs[j.Key()] = j
		c.resumeJob(j, latest[j.Key()])
	}
}

// resumeJob restores the attempt of a job that its targets may still run: for a non-idempotent job
// the one in its row, for another job the one of the task t. The caller holds Mu.
func (c *Cell) resumeJob(j *active.Job, t *target.Task) {
	j.Record.State = jobs.Waiting
	if !j.Spec().NonIdempotent && c.Hold.Epoch > 1 && j.Record.Past == jobs.NeverRan {
		// The starts of an idempotent job aren't written to its row, and a target forgets them
		// when it restarts, so a former decider may have started it.
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
	j.Record.Started = c.AcquiredAt
	c.Fire(j, jobs.Recover)
	c.AddEvent(j, "TakenOver", j.Attempt.String())
}
