package gangs

import (
	"context"
	"errors"
	"time"

	"citronbridge/active"
	"citronbridge/blobs"
	"citronbridge/jobs"
)

// verifyOutputs reads the large outputs of the attempt a from the object store, so that an
// answer is recorded only if it is complete. It retries until the object store answers for
// each output.
func (c *Controller) verifyOutputs(j *active.Job, a jobs.Attempt) {
	defer c.Work.Done()
	for i := range j.Spec().Shape.Members {
		c.verifyMemberOutput(j, i)
	}
	c.Mu.Lock()
	defer c.Mu.Unlock()
	j.Verifying = false
	if c.Ctx.Err() == nil && j.Attempt == a {
		c.Advance(j)
	}
}

// verifyMemberOutput reads the output of one member. An output that is missing or doesn't
// match its checksum makes the member a broken one.
func (c *Controller) verifyMemberOutput(j *active.Job, i int) {
	c.Mu.Lock()
	m := &j.Members[i]
	p := m.Output
	done := m.Verified || !active.IsComplete(m)
	c.Mu.Unlock()
	for n := 0; !done && c.Ctx.Err() == nil; n++ {
		ctx, cancel := context.WithTimeout(c.Ctx, writeTimeout)
		b, err := c.Config.Objects.Get(ctx, p.Object)
		cancel()
		if err == nil || errors.Is(err, blobs.ErrNotFound) {
			c.Mu.Lock()
			if m.Verified = err == nil && p.Verify(b); !m.Verified {
				m.MarkOutputBroken()
			}
			c.Mu.Unlock()
			return
		}
		select {
		case <-c.Ctx.Done():
		case <-time.After(min(firstBackoff<<min(n, 10), maxBackoff)):
		}
	}
}
