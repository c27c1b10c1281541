package gangs

import (
	"context"
	"errors"
	"math"
	"time"

	"citronbridge/active"
	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/target"
)

// Advance takes the next step that the states of a job's members allow. The caller holds Mu.
func (c *Controller) Advance(j *active.Job) {
	if j.Saving || j.Moving || j.Verifying {
		return
	}
	if j.All(active.IsComplete) && !j.All(func(m *active.Member) bool { return m.Verified }) {
		j.Verifying = true
		c.Work.Add(1)
		go c.verifyOutputs(j, j.Attempt)
		return
	}
	switch j.Record.State {
	case jobs.Waiting:
		c.advanceWaiting(j)
	case jobs.Running:
		c.advanceRunning(j)
	case jobs.Stopping:
		if j.All((*active.Member).Ended) {
			c.handleStopped(j)
		}
	case jobs.Settling:
		c.settleRecovered(j)
	}
}

// advanceWaiting ends a waiting job that is cancelled, that is past its latest start, or whose
// account has left the manifest.
func (c *Controller) advanceWaiting(j *active.Job) {
	s := j.Spec()
	switch {
	case j.Cancelled:
		c.finish(j, j.Record.Past.Outcome(), "cancelled")
	case !s.StartBy.IsZero() && c.Now().After(s.StartBy.Time):
		c.finish(j, j.Record.Past.Outcome(), "not started by "+s.StartBy.Format(time.RFC3339))
	case c.Config.Revisions.Current() != nil && c.Config.Revisions.Current().Manifest.Account(s.Account) == nil:
		c.finish(j, j.Record.Past.Outcome(), "client account is no longer in the manifest")
	}
}

// advanceRunning finishes a running job whose members are all complete, and stops one that has
// failed or is cancelled.
func (c *Controller) advanceRunning(j *active.Job) {
	if j.All(active.IsComplete) {
		c.finish(j, jobs.Done, "")
		return
	}
	if m := j.FailedMember(); m != nil {
		reason := active.HaltLost
		if m.State == target.Broken {
			reason = active.HaltFailed
		}
		c.HaltJob(j, reason, "member at "+m.Target+" ended: "+m.Detail)
		return
	}
	if j.Cancelled {
		c.HaltJob(j, active.HaltCancelled, "cancelled by the caller")
	}
}

// handleStopped finishes or requeues a job all of whose members have ended. The caller holds
// Mu.
func (c *Controller) handleStopped(j *active.Job) {
	s := j.Spec()
	broken := c.attributeFailures(j)
	switch {
	case j.All(active.IsComplete):
		c.finish(j, jobs.Done, "")
	case !j.HasStarted() && !j.TargetGone && j.HaltReason == active.HaltCancelled:
		c.finish(j, j.Record.Past.Outcome(), "cancelled")
	case !j.HasStarted() && !j.TargetGone:
		c.requeue(j, "NotStarted", j.HaltDetail)
	case j.HaltReason == active.HaltCancelled:
		c.finish(j, jobs.Stopped, "cancelled")
	case s.NonIdempotent && j.TargetGone:
		c.finish(j, jobs.Unknown, "a target is gone that may have run it")
	case j.HaltReason == active.HaltPreempted && (!s.NonIdempotent || j.All(active.IsSaved)):
		c.requeue(j, preemptedEvent, j.HaltDetail)
	case j.HaltReason == active.HaltPreempted:
		c.finish(j, jobs.Stopped, "stopped for a guarantee before it was checkpointed")
	case s.NonIdempotent:
		c.finish(j, jobs.Failed, j.HaltDetail)
	case broken && j.Failures > s.Retries, j.Restarts >= maxRestarts:
		c.finish(j, jobs.Failed, j.HaltDetail)
	default:
		j.Restarts++
		c.requeue(j, "AttemptEnded", j.HaltDetail)
	}
}

// attributeFailures counts broken members as failures of their targets, which the job then
// avoids, and of the job. It reports whether the job itself is at fault. A failure at a
// suspect target doesn't count as the job's. The caller holds Mu.
func (c *Controller) attributeFailures(j *active.Job) bool {
	jobFault := false
	for i := range j.Members {
		m := &j.Members[i]
		if m.State != target.Broken {
			continue
		}
		j.Avoid[m.Target] = c.Now().Add(avoidBroken)
		x := c.Nodes[m.Target]
		if x != nil {
			x.Health.RecordFailure(j.Key())
			c.checkSuspect(x)
		}
		jobFault = jobFault || x == nil || !x.Health.Suspect
	}
	if jobFault {
		j.Failures++
	}
	return jobFault
}

// settleRecovered adopts, finishes or stops a job that was found at takeover, once the state
// of each of its members is known. The caller holds Mu.
func (c *Controller) settleRecovered(j *active.Job) {
	for i := range j.Members {
		if j.Members[i].State == "" {
			return
		}
	}
	runs := func(m *active.Member) bool { return m.State == target.Active || m.State == target.Complete }
	switch {
	case j.All(active.IsComplete):
		c.finish(j, jobs.Done, "")
	case j.All(runs):
		c.Fire(j, jobs.Launch)
		c.AddEvent(j, "Adopted", j.Attempt.String())
		c.Advance(j)
	default:
		// Members that only wait for their arming delay may still start, until their targets
		// report that they were stopped.
		c.HaltJob(j, active.HaltLost, "gang found incomplete at takeover")
	}
}

// finish sets the outcome of a job and begins to save it. The caller holds Mu.
func (c *Controller) finish(j *active.Job, o jobs.Outcome, detail string) {
	r := j.Record
	r.Outcome, r.Detail, r.Finished, r.Revision = o, detail, c.Now(), c.Config.Revisions.Number()
	r.Targets, r.Incarnations, r.Attempt = nil, nil, j.Attempt
	for i := range j.Members {
		m := &j.Members[i]
		r.Targets = append(r.Targets, m.Target)
		if o == jobs.Done {
			r.Answer = append(r.Answer, m.Output)
			c.RecordSuccess(m.Target)
		}
	}
	if o == jobs.Done {
		c.learnRunTime(j)
	}
	c.Fire(j, jobs.Finish)
	c.AddEvent(j, string(o), detail)
	j.Saving = true
	delete(c.Waits, j.Key())
	c.Work.Add(1)
	go c.saveOutcome(j)
}

// learnWeight is the weight of the newest run time in an account's mean ratio of actual to
// declared run time.
const learnWeight = 0.2

// learnRunTime updates the account's ratio of actual to declared run time with a completed
// job. The mean is of logarithms, so that a run of twice and one of half the declared time
// cancel out. The caller holds Mu.
func (c *Controller) learnRunTime(j *active.Job) {
	s := j.Spec()
	ran := j.Record.Finished.Sub(j.Record.Started).Seconds()
	if ran <= 0 || j.Record.Started.IsZero() {
		return
	}
	r := math.Log(ran / s.RunTime.D().Seconds())
	c.logRunTimeRatio[s.Account] += learnWeight * (r - c.logRunTimeRatio[s.Account])
}

// ExpectedRunTime returns the declared run time of a job, corrected by the account's ratio of
// actual to declared run time. The caller holds Mu.
func (c *Controller) ExpectedRunTime(s *jobs.Spec) time.Duration {
	return time.Duration(float64(s.RunTime.D()) * math.Exp(c.logRunTimeRatio[s.Account]))
}

// saveOutcome writes the outcome of a job. It retries until the row is written or another
// decider has acquired the cell.
func (c *Controller) saveOutcome(j *active.Job) {
	defer c.Work.Done()
	for i := 0; c.Ctx.Err() == nil; i++ {
		ctx, cancel := context.WithTimeout(c.Ctx, writeTimeout)
		_, err := c.Config.Records.Update(ctx, c.Hold, j.Entry)
		if errors.Is(err, ledger.ErrChanged) {
			err = c.reconcileSave(ctx, j)
		}
		cancel()
		switch {
		case err == nil:
			c.handleSaved(j)
			return
		case errors.Is(err, ledger.ErrFenced):
			c.Depose("table service has a newer epoch")
			return
		}
		select {
		case <-c.Ctx.Done():
		case <-time.After(min(firstBackoff<<min(i, 10), maxBackoff)):
		}
	}
}

// reconcileSave reads a row that changed since it was last read. It returns nil if an earlier
// try of this save took effect, otherwise it adopts the new version and returns ErrChanged.
func (c *Controller) reconcileSave(ctx context.Context, j *active.Job) error {
	e, err := c.Config.Records.Load(ctx, j.Key())
	if err != nil {
		return err
	}
	if e.Record != nil && e.Record.Final() {
		return nil
	}
	c.Mu.Lock()
	j.Version = e.Version
	c.Mu.Unlock()
	return ledger.ErrChanged
}

// handleSaved removes a job whose outcome is written, and clears its attempt at the targets.
func (c *Controller) handleSaved(j *active.Job) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	j.Saving = false
	c.clearAttempt(j)
	c.RemoveJob(j)
	s := j.Spec()
	c.Config.Meter.Outcomes.WithLabelValues(s.Account, s.Kind, string(j.Record.Outcome)).Inc()
	c.Config.Meter.Completion.WithLabelValues(s.Account, s.Kind).Observe(j.Record.Finished.Sub(j.Record.Accepted).Seconds())
	c.Log.Info().Stringer("job", j.Key()).Str("account", s.Account).Str("outcome", string(j.Record.Outcome)).
		Int64("revision", j.Record.Revision).Str("detail", j.Record.Detail).Msg("job ended; its outcome is recorded")
	c.RequestPlan()
}

// RemoveJob removes a job that ended or moved. The caller holds Mu.
func (c *Controller) RemoveJob(j *active.Job) {
	delete(c.Jobs, j.Key())
	delete(c.Waits, j.Key())
	c.Departed[j.Key()] = active.Departure{At: c.Now(), Version: j.Version}
	close(j.Done)
}
