package cells

import (
	"context"
	"errors"
	"math"
	"time"

	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/target"
)

// advance takes the next step that a job's members allow. The lock is held.
func (c *Cell) advance(j *job) {
	if j.saving || j.moving || j.verifying {
		return
	}
	if j.all(complete) && !j.all(func(m *member) bool { return m.verified }) {
		j.verifying = true
		c.wg.Add(1)
		go c.verify(j, j.attempt)
		return
	}
	switch j.Record.State {
	case jobs.Waiting:
		c.advanceWaiting(j)
	case jobs.Running:
		c.advanceRunning(j)
	case jobs.Stopping:
		if j.all((*member).ended) {
			c.stopped(j)
		}
	case jobs.Settling:
		c.settle(j)
	}
}

func (c *Cell) advanceWaiting(j *job) {
	s := j.spec()
	switch {
	case j.cancelled:
		c.finish(j, jobs.NotRun, "cancelled")
	case !s.StartBy.IsZero() && c.now().After(s.StartBy.Time):
		c.finish(j, jobs.NotRun, "not started by "+s.StartBy.Format(time.RFC3339))
	case c.c.Book.Current() != nil && c.c.Book.Current().Manifest.Account(s.Account) == nil:
		c.finish(j, jobs.NotRun, "client account is no longer in the manifest")
	}
}

func (c *Cell) advanceRunning(j *job) {
	if j.all(complete) {
		c.finish(j, jobs.Done, "")
		return
	}
	if m := j.bad(); m != nil {
		why := haltLost
		if m.state == target.Broken {
			why = haltFailed
		}
		c.haltJob(j, why, "member at "+m.target+" ended: "+m.detail)
		return
	}
	if j.cancelled {
		c.haltJob(j, haltCancelled, "cancelled by the caller")
	}
}

func complete(m *member) bool { return m.state == target.Complete }

// all reports whether f holds for every member.
func (j *job) all(f func(*member) bool) bool {
	for i := range j.members {
		if !f(&j.members[i]) {
			return false
		}
	}
	return len(j.members) > 0
}

// bad returns a member that ended without completing, a broken one first.
func (j *job) bad() *member {
	var b *member
	for i := range j.members {
		m := &j.members[i]
		if !m.ended() || m.state == target.Complete {
			continue
		}
		if m.state == target.Broken {
			return m
		}
		if b == nil {
			b = m
		}
	}
	return b
}

// started reports whether a member may have run.
func (j *job) started() bool {
	for i := range j.members {
		if j.members[i].started {
			return true
		}
	}
	return false
}

// stopped decides what becomes of a job all of whose members have ended. The
// lock is held.
func (c *Cell) stopped(j *job) {
	s := j.spec()
	broken := j.blame(c)
	switch {
	case j.all(complete):
		c.finish(j, jobs.Done, "")
	case !j.started() && !j.gone && j.halt == haltCancelled:
		c.finish(j, jobs.NotRun, "cancelled")
	case !j.started() && !j.gone:
		c.yield(j, "NotStarted", j.detail)
	case j.halt == haltCancelled:
		c.finish(j, jobs.Stopped, "cancelled")
	case s.NonIdempotent && j.gone:
		c.finish(j, jobs.Unknown, "a target is gone that may have run it")
	case j.halt == haltPreempted && (!s.NonIdempotent || j.all(saved)):
		c.yield(j, preemptedEvent, j.detail)
	case j.halt == haltPreempted:
		c.finish(j, jobs.Stopped, "stopped for a guarantee before it was checkpointed")
	case s.NonIdempotent:
		c.finish(j, jobs.Failed, j.detail)
	case broken && j.failures > s.Retries, j.restarts >= maxRestarts:
		c.finish(j, jobs.Failed, j.detail)
	default:
		j.restarts++
		c.yield(j, "AttemptEnded", j.detail)
	}
}

func saved(m *member) bool { return m.state == target.Saved || m.state == target.Complete }

// blame counts broken members against the job, and its targets, and reports
// whether the job itself is at fault. Failures at a target that fails all are
// not the job's.
func (j *job) blame(c *Cell) bool {
	own := false
	for i := range j.members {
		m := &j.members[i]
		if m.state != target.Broken {
			continue
		}
		j.avoid[m.target] = c.now().Add(avoidBroken)
		x := c.nodes[m.target]
		if x != nil {
			x.health.Broke(j.key())
			c.suspect(x)
		}
		own = own || x == nil || !x.health.Suspect
	}
	if own {
		j.failures++
	}
	return own
}

// settle decides about a job found at takeover, once enough of its members
// are known. The lock is held.
func (c *Cell) settle(j *job) {
	for i := range j.members {
		if j.members[i].state == "" {
			return
		}
	}
	runs := func(m *member) bool { return m.state == target.Active || m.state == target.Complete }
	switch {
	case j.all(complete):
		c.finish(j, jobs.Done, "")
	case j.all(runs):
		c.fire(j, jobs.Launch)
		c.event(j, "Adopted", j.attempt.String())
		c.advance(j)
	default:
		// Members that are only armed may start until their targets say that
		// they were stopped.
		c.haltJob(j, haltLost, "gang found incomplete at takeover")
	}
}

// finish records the outcome of a job. The lock is held.
func (c *Cell) finish(j *job, o jobs.Outcome, detail string) {
	r := j.Record
	r.Outcome, r.Detail, r.Finished, r.Revision = o, detail, c.now(), c.c.Book.Number()
	r.Targets, r.Incarnations, r.Attempt = nil, nil, j.attempt
	for i := range j.members {
		m := &j.members[i]
		r.Targets = append(r.Targets, m.target)
		if o == jobs.Done {
			r.Answer = append(r.Answer, m.output)
			c.worked(m.target)
		}
	}
	if o == jobs.Done {
		c.learn(j)
	}
	c.fire(j, jobs.Finish)
	c.event(j, string(o), detail)
	j.saving = true
	delete(c.waits, j.key())
	c.wg.Add(1)
	go c.save(j)
}

// learnWeight is the weight of the newest run time in an account's ratio of
// actual to declared run time.
const learnWeight = 0.2

// learn corrects what the account's declared run times mean. The lock is held.
func (c *Cell) learn(j *job) {
	s := j.spec()
	ran := j.Record.Finished.Sub(j.Record.Started).Seconds()
	if ran <= 0 || j.Record.Started.IsZero() {
		return
	}
	r := math.Log(ran / s.RunTime.D().Seconds())
	c.declared[s.Account] += learnWeight * (r - c.declared[s.Account])
}

// expect returns how long a job is expected to run. The lock is held.
func (c *Cell) expect(s *jobs.Spec) time.Duration {
	return time.Duration(float64(s.RunTime.D()) * math.Exp(c.declared[s.Account]))
}

// save writes the outcome of a job until it is written or another decider has
// taken the cell.
func (c *Cell) save(j *job) {
	defer c.wg.Done()
	for i := 0; c.ctx.Err() == nil; i++ {
		ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
		_, err := c.c.Records.Update(ctx, c.hold, j.Entry)
		if errors.Is(err, ledger.ErrChanged) {
			err = c.resave(ctx, j)
		}
		cancel()
		switch {
		case err == nil:
			c.ended(j)
			return
		case errors.Is(err, ledger.ErrFenced):
			c.lost("table service has a newer epoch")
			return
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(min(firstBackoff<<min(i, 10), maxBackoff)):
		}
	}
}

// resave finds out whether the row has changed because an earlier try of this
// save took effect.
func (c *Cell) resave(ctx context.Context, j *job) error {
	e, err := c.c.Records.Load(ctx, j.key())
	if err != nil {
		return err
	}
	if e.Record != nil && e.Record.Final() {
		return nil
	}
	c.mu.Lock()
	j.Version = e.Version
	c.mu.Unlock()
	return ledger.ErrChanged
}

// ended lets go of a job whose outcome is written.
func (c *Cell) ended(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.saving = false
	c.clear(j)
	c.forget(j)
	s := j.spec()
	c.c.Meter.Outcomes.WithLabelValues(s.Account, s.Kind, string(j.Record.Outcome)).Inc()
	c.c.Meter.Completion.WithLabelValues(s.Account, s.Kind).Observe(j.Record.Finished.Sub(j.Record.Accepted).Seconds())
	c.log.Info().Stringer("job", j.key()).Str("account", s.Account).Str("outcome", string(j.Record.Outcome)).
		Int64("revision", j.Record.Revision).Str("detail", j.Record.Detail).Msg("job ended")
	c.wake()
}

// forget drops a job that ended or moved. The lock is held.
func (c *Cell) forget(j *job) {
	delete(c.jobs, j.key())
	delete(c.waits, j.key())
	c.recent[j.key()] = departure{c.now(), j.Version}
	close(j.done)
}
