package cells

import "citronbridge/health"

// suspect stops giving a target work if it fails all it starts while its
// peers don't. The lock is held.
func (c *Cell) suspect(x *node) {
	n := 0
	for _, o := range c.nodes {
		if o.health.Suspect {
			n++
		}
	}
	if x.health.Judge(n, len(c.nodes), c.now()) {
		c.log.Warn().Str("target", x.host.ID).Int("failed", len(x.health.Failed)).Msg("target suspected")
	}
}

// worked clears a target of suspicion. The lock is held.
func (c *Cell) worked(id string) {
	x := c.nodes[id]
	if x == nil {
		return
	}
	if x.health.Suspect || x.health.Probes > 0 {
		c.log.Info().Str("target", id).Msg("target works again")
	}
	x.health = health.Record{}
}
