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

// Advance takes the next step that a job's members allow. The lock is held.
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

// handleStopped decides what becomes of a job all of whose members have ended. The
// lock is held.
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

// attributeFailures counts broken members against the job, and its targets, and reports
// whether the job itself is at fault. Failures at a target that fails all are
// not the job's.
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

// settleRecovered decides about a job found at takeover, once enough of its members
// are known. The lock is held.
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
		// Members that are only armed may start until their targets say that
		// they were stopped.
		c.HaltJob(j, active.HaltLost, "gang found incomplete at takeover")
	}
}

// finish records the outcome of a job. The lock is held.
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

// learnWeight is the weight of the newest run time in an account's ratio of
// actual to declared run time.
const learnWeight = 0.2

// learnRunTime corrects what the account's declared run times mean. The lock is held.
func (c *Controller) learnRunTime(j *active.Job) {
	s := j.Spec()
	ran := j.Record.Finished.Sub(j.Record.Started).Seconds()
	if ran <= 0 || j.Record.Started.IsZero() {
		return
	}
	r := math.Log(ran / s.RunTime.D().Seconds())
	c.logRunTimeRatio[s.Account] += learnWeight * (r - c.logRunTimeRatio[s.Account])
}

// ExpectedRunTime returns how long a job is expected to run. The lock is held.
func (c *Controller) ExpectedRunTime(s *jobs.Spec) time.Duration {
	return time.Duration(float64(s.RunTime.D()) * math.Exp(c.logRunTimeRatio[s.Account]))
}

// saveOutcome writes the outcome of a job until it is written or another decider has
// taken the cell.
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

// reconcileSave finds out whether the row has changed because an earlier try of this
// save took effect.
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

// handleSaved lets go of a job whose outcome is written.
func (c *Controller) handleSaved(j *active.Job) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	j.Saving = false
	c.clearAttempt(j)
	c.Forget(j)
	s := j.Spec()
	c.Config.Meter.Outcomes.WithLabelValues(s.Account, s.Kind, string(j.Record.Outcome)).Inc()
	c.Config.Meter.Completion.WithLabelValues(s.Account, s.Kind).Observe(j.Record.Finished.Sub(j.Record.Accepted).Seconds())
	c.Log.Info().Stringer("job", j.Key()).Str("account", s.Account).Str("outcome", string(j.Record.Outcome)).
		Int64("revision", j.Record.Revision).Str("detail", j.Record.Detail).Msg("job ended")
	c.RequestPlan()
}

// Forget drops a job that ended or moved. The lock is held.
func (c *Controller) Forget(j *active.Job) {
	delete(c.Jobs, j.Key())
	delete(c.Waits, j.Key())
	c.Departed[j.Key()] = active.Departure{At: c.Now(), Version: j.Version}
	close(j.Done)
}
