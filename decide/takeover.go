package decide

import (
	"time"

	"github.com/rs/zerolog"

	"citronbridge/repo"
	"citronbridge/sched"
	"citronbridge/timer"
)

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
