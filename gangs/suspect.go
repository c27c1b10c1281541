package gangs

import "citronbridge/health"

// checkSuspect stops giving a target work if it fails all it starts while its
// peers don't. The lock is held.
func (c *Controller) checkSuspect(x *Node) {
	n := 0
	for _, o := range c.Nodes {
		if o.Health.Suspect {
			n++
		}
	}
	if x.Health.Evaluate(n, len(c.Nodes), c.Now()) {
		c.Log.Warn().Str("target", x.ID).Int("failed", len(x.Health.Failed)).Msg("target suspected")
	}
}

// RecordSuccess clears a target of suspicion. The lock is held.
func (c *Controller) RecordSuccess(id string) {
	x := c.Nodes[id]
	if x == nil {
		return
	}
	if x.Health.Suspect || x.Health.Probes > 0 {
		c.Log.Info().Str("target", id).Msg("target works again")
	}
	x.Health = health.Record{}
}
