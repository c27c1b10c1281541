package cells

import (
	"time"

	"citronbridge/jobs"
)

// Rules of suspicion.
const (
	// suspectJobs is how many different jobs must break in a row at a target.
	suspectJobs = 3
	// suspectShare is the share of a cell's targets that can be suspect: if
	// more fail, the fault is likely not theirs.
	suspectShare = 0.25
)

// health is what is known of a target's reliability.
type health struct {
	// failed holds the jobs that broke since one last worked.
	failed  map[jobs.Key]bool
	suspect bool
	since   time.Time
	probes  int
}

// broke counts a job that broke.
func (h *health) broke(k jobs.Key) {
	if h.failed == nil {
		h.failed = map[jobs.Key]bool{}
	}
	h.failed[k] = true
}

// suspect stops giving a target work if it fails all it starts while its
// peers don't. The lock is held.
func (c *Cell) suspect(x *node) {
	if len(x.health.failed) < suspectJobs || x.health.suspect {
		return
	}
	n := 1
	for _, o := range c.nodes {
		if o.health.suspect {
			n++
		}
	}
	if float64(n) > max(1, suspectShare*float64(len(c.nodes))) {
		return
	}
	x.health.suspect, x.health.since = true, c.now()
	c.log.Warn().Str("target", x.host.ID).Int("failed", len(x.health.failed)).Msg("target suspected")
}

// worked clears a target of suspicion. The lock is held.
func (c *Cell) worked(id string) {
	x := c.nodes[id]
	if x == nil {
		return
	}
	if x.health.suspect || x.health.probes > 0 {
		c.log.Info().Str("target", id).Msg("target works again")
	}
	x.health = health{}
}

// probe lets a suspected target have one task after a while. The lock is held.
func (c *Cell) probe(x *node) {
	if !x.health.suspect {
		return
	}
	wait := c.c.Bounds.Probe << min(x.health.probes, 6)
	if c.now().Sub(x.health.since) < wait {
		return
	}
	x.health.suspect = false
	x.health.probes++
}
