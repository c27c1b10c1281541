package decide

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/repo"
	"citronbridge/sched"
	"citronbridge/timer"
	"citronbridge/watch"
)

// Predecessor is what a host knows of the owner of a pool that it is about to take over.
type Predecessor struct {
	// Owner is its owner row, the zero value if the pool never had an owner.
	Owner repo.Owner
	// Stopped reports that it surely sends no more orders.
	Stopped bool
	// HeartbeatAge is the age of its last heartbeat, of which the takeover makes sure that it is
	// the last. HeartbeatKnown is false if none is known.
	HeartbeatAge   time.Duration
	HeartbeatKnown bool
}

// unknownTime stands for a time of the store's clock that isn't known. It is later than any.
const unknownTime time.Duration = math.MaxInt64

// OrdersUntil returns the FormerOrdersUntil of the host's own owner row.
func (p Predecessor) OrdersUntil(c *watch.Clock) time.Duration {
	if p.Owner.Epoch == 0 {
		return 0
	}
	now, ok := c.AtMost()
	switch {
	case !ok, !p.Stopped && !p.HeartbeatKnown:
		return unknownTime
	case p.Stopped:
		return max(p.Owner.FormerOrdersUntil, now)
	}
	return max(p.Owner.FormerOrdersUntil, now+clockSlack+maxHeartbeatAge-p.HeartbeatAge)
}

// formerOrdersEndIn returns for how long deciders before an owner may still send orders. It is
// negative if all of them have stopped doing so that long ago.
func formerOrdersEndIn(o repo.Owner, c *watch.Clock) time.Duration {
	if o.FormerOrdersUntil == 0 {
		return 0
	}
	now, ok := c.AtLeast()
	if !ok {
		return maxHeartbeatAge
	}
	// Each of them had its last heartbeat before this takeover.
	return min(o.FormerOrdersUntil-now, maxHeartbeatAge)
}

// minInheritTime is the least time for which a worker that doesn't answer may run tasks of former
// deciders. It leaves workers that can be asked the time to answer, also in large pools.
const minInheritTime = 6 * time.Second

// inheritTime returns how long after a takeover a worker that doesn't answer may run tasks of former
// deciders, whose orders end in a time and give leases of a length at most.
func inheritTime(ordersEndIn, lease time.Duration) time.Duration {
	return max(ordersEndIn+lease, minInheritTime)
}

// takeover logs, once each, what a decider waits for after it has acquired the pool. Only the
// goroutine that uses the state machine uses it.
type takeover struct {
	log   zerolog.Logger
	began time.Duration

	started, loaded, answered, inherited bool
}

// startOrdered logs the first start that the decider orders.
func (t *takeover) startOrdered(worker string) {
	if !t.started {
		t.started = true
		t.log.Info().Str("worker", worker).Dur("took", timer.SinceBoot()-t.began).Msg("takeover: first start of a task is ordered")
	}
}

// logProgress logs the milestones that the state machine has reached.
func (t *takeover) logProgress(s *sched.State) {
	took := timer.SinceBoot() - t.began
	if !t.loaded && len(s.LoadedPartitions) == len(repo.JobPartitions()) {
		t.loaded = true
		t.log.Info().Int("jobs", len(s.Jobs)).Dur("took", took).Msg("takeover: all partitions are loaded")
	}
	if t.answered && t.inherited {
		return
	}
	listed, silent, unproved := 0, 0, 0
	for _, w := range s.WorkersByID {
		switch {
		case !w.Listed || w.Terminated:
			continue
		case !w.Synced:
			silent++
		case s.OwnedAt <= w.SyncedAt:
			unproved++
		}
		listed++
	}
	if !t.answered && listed > 0 && silent+unproved == 0 {
		t.answered = true
		t.log.Info().Int("workers", listed).Dur("took", took).Msg("takeover: all listed workers may get tasks")
	}
	if !t.inherited && !s.Inheriting {
		t.inherited = true
		t.log.Info().Int("workers", listed).Int("silent", silent).Int("unproved", unproved).Dur("took", took).Msg("takeover: nothing of a former decider is running unknown any more")
	}
}
