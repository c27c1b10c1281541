package decide

import (
	"time"

	"citronbridge/timer"
)

// retireDelay is how long a pool that isn't configured any more must have had no jobs before its
// decider retires it. By then hosts with the former configuration accept no more jobs for it.
const retireDelay = 30 * time.Second

// retirement tells when a decider retires its pool. Only the loop uses it.
type retirement struct {
	// unusedSince is the time since which the pool has been unused, 0 if it isn't.
	unusedSince time.Duration
}

// due reports whether a pool that is used or not at a time is to be retired then.
func (r *retirement) due(now time.Duration, used bool) bool {
	switch {
	case used:
		r.unusedSince = 0
	case r.unusedSince == 0:
		r.unusedSince = now
	}
	return !used && now-r.unusedSince >= retireDelay
}

// used reports whether the pool is configured, or may have jobs or runs.
func (d *Decider) used() bool {
	jobs, runs, _ := d.state.Counts()
	return d.c.Rules().Pools[d.c.Pool] != nil || jobs > 0 || runs > 0 || len(d.state.LoadedPartitions) < len(d.partitions)
}

// retireIfUnused ends the decider if its pool has been unused for long, and reports whether it does.
// Ended is to call Stop then, which tells all hosts that the pool needs no decider.
func (d *Decider) retireIfUnused() bool {
	if !d.retirement.due(timer.SinceBoot(), d.used()) {
		return false
	}
	d.log.Info().Msg("pool is not configured any more and has no jobs; retiring it")
	d.retired.Store(true)
	return true
}

// Retired reports whether the decider has ended because its pool needs none any more.
func (d *Decider) Retired() bool { return d.retired.Load() }
