package demand

import (
	"time"

	"citronbridge/track"
)

// longIdle is how long a pool must be mostly idle before tasks no longer wait for the sake of
// others. The platform allows 3 s.
const longIdle = 2 * time.Second

// idleForLong reports whether the pool has been mostly idle for longIdle. If it may be so later,
// it requests a placement for then.
func idleForLong(p *track.Pool) bool {
	now := p.Now.Steady
	switch {
	case !mostlyIdle(p):
		p.IdleSince = 0
		return false
	case p.IdleSince == 0:
		p.IdleSince = max(now, 1)
	}
	if at := p.IdleSince + longIdle; now < at {
		p.PlaceBy(at)
		return false
	}
	return true
}

// mostlyIdle reports whether less than half of the pool's capacity is in use. Evacuated data
// centres offer none.
func mostlyIdle(p *track.Pool) bool {
	used, total := 0.0, 0.0
	for _, w := range p.WorkersByID {
		if w.Listed && !p.InEvacuation(w) {
			used += w.Used.Cores()
			total += w.Capacity.Cores()
		}
	}
	return 2*used < total
}

// A task that has waited for long may use room that is reserved for other work.
const (
	// starvedAfter applies to long-running tasks. The platform requires them to run again
	// within 6 s where there is room.
	starvedAfter = 4 * time.Second
	// idleStarvedAfter applies to all others, in a pool that is mostly idle. The platform
	// requires accepted work to run there 14 s after the last submission.
	idleStarvedAfter = 10 * time.Second
)

// starved reports whether a task has waited for too long. If it hasn't yet, it requests a
// placement for when it has.
func starved(p *track.Pool, t *track.Task, idle bool) bool {
	at := t.WaitingSince
	switch {
	case t.Step.Spec.LongRunning:
		at += starvedAfter
	case idle:
		at += idleStarvedAfter
	default:
		return false
	}
	if p.Now.Steady < at {
		p.PlaceBy(at)
		return false
	}
	return true
}
