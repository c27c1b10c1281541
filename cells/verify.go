package cells

import (
	"context"
	"errors"
	"time"

	"citronbridge/blobs"
	"citronbridge/jobs"
)

// verify reads the large outputs of a job whose tasks are complete, so that an
// answer is recorded only if it is whole. It goes on until the object store
// answers for each.
func (c *Cell) verify(j *job, a jobs.Attempt) {
	defer c.wg.Done()
	for i := range j.spec().Shape.Members {
		c.verifyMember(j, i)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j.verifying = false
	if c.ctx.Err() == nil && j.attempt == a {
		c.advance(j)
	}
}

// verifyMember reads the output of one member.
func (c *Cell) verifyMember(j *job, i int) {
	c.mu.Lock()
	m := &j.members[i]
	p := m.output
	done := m.verified || !complete(m)
	c.mu.Unlock()
	for n := 0; !done && c.ctx.Err() == nil; n++ {
		ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
		b, err := c.c.Objects.Get(ctx, p.Object)
		cancel()
		if err == nil || errors.Is(err, blobs.ErrNotFound) {
			c.mu.Lock()
			if m.verified = err == nil && p.Verify(b); !m.verified {
				m.spoil()
			}
			c.mu.Unlock()
			return
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(min(firstBackoff<<min(n, 10), maxBackoff)):
		}
	}
}
