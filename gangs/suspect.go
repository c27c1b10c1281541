package gangs

import "citronbridge/health"

// checkSuspect marks a target as suspect, so that it gets no new work, if different jobs failed
// there in a row, unless too many targets of the cell are suspect already. The caller holds Mu.
func (c *Controller) checkSuspect(x *Node) {
	n := 0
	for _, o := range c.Nodes {
		if o.Health.Suspect {
			n++
		}
	}
	if x.Health.Evaluate(n, len(c.Nodes), c.Now()) {
		c.Log.Warn().Str("target", x.ID).Int("failed", len(x.Health.Failed)).Msg("different jobs failed in a row at target; it gets no new work until its probe")
	}
}

// RecordSuccess records that a job completed at a target, which clears its failures and any
// suspicion. The caller holds Mu.
func (c *Controller) RecordSuccess(id string) {
	x := c.Nodes[id]
	if x == nil {
		return
	}
	if x.Health.Suspect || x.Health.Probes > 0 {
		c.Log.Info().Str("target", id).Msg("job completed at target that was suspect or on probe; target is trusted again")
	}
	x.Health = health.Record{}
}
