// Package pacing controls the pace of best-effort tasks that share a worker with
// latency-sensitive ones. Next is a function of plain data, without a clock or I/O.
package pacing

import "time"

// Parameters of the controller.
const (
	// highRatio is the ratio of tail latency to target above which best-effort
	// tasks are throttled, lowRatio the one up to which they may speed up.
	highRatio, lowRatio = 0.9, 0.6
	// settleTime is how long a change of pace takes to show in tail latencies:
	// these cover the last half second, and a new pace takes effect after 0.1 s.
	// Both figures are the platform's.
	settleTime = 600 * time.Millisecond
	// calmTime is how long tail latencies must be low before best-effort tasks
	// speed up.
	calmTime = 1500 * time.Millisecond
	// slowdownDivisor divides the pace at each slowdown. Three slowdowns from full
	// pace pause the best-effort tasks, well within the time for which a target may be missed.
	slowdownDivisor = 3
	// speedupStep is added to the pace at each speed-up, in percentage points.
	speedupStep = 10
	// minPercent is the slowest pace in percent. Below it, tasks are paused.
	minPercent = 10
	// FullPercent is the unthrottled pace in percent, also that of a task that has
	// just started.
	FullPercent = 100
	// admitAbove is the pace in percent up to which a worker gets no further
	// best-effort tasks.
	admitAbove = 30
)

// Level is the pace of all best-effort tasks on one worker.
type Level struct {
	// Percent is the requested pace, 0 if the tasks are paused.
	Percent   int
	changedAt time.Duration
	// lowSince is the time since when tail latencies have been low, 0 if they aren't.
	lowSince time.Duration
}

// NewLevel returns the level of a worker whose tasks aren't throttled.
func NewLevel() Level { return Level{Percent: FullPercent} }

// ServingTask holds the tail latency of a latency-sensitive task and the target that
// it must stay below. A target of 0 means that there is none.
type ServingTask struct{ Target, TailLatency time.Duration }

// Next returns the level that follows from the tail latencies that a worker has
// reported. The highest ratio of tail latency to target decides: above highRatio
// the pace is divided by slowdownDivisor and drops to 0 below minPercent; after
// calmTime at lowRatio or less it rises by speedupStep.
func Next(l Level, now time.Duration, tasks []ServingTask) Level {
	worst := 0.0
	for _, t := range tasks {
		if t.Target > 0 {
			worst = max(worst, float64(t.TailLatency)/float64(t.Target))
		}
	}
	switch {
	case worst > highRatio:
		l.lowSince = 0
		if now-l.changedAt >= settleTime && l.Percent > 0 {
			l.Percent /= slowdownDivisor
			if l.Percent < minPercent {
				l.Percent = 0
			}
			l.changedAt = now
		}
	case worst > lowRatio:
		l.lowSince = 0
	default:
		if l.lowSince == 0 {
			l.lowSince = max(now, 1)
		}
		if l.Percent < FullPercent && now-l.lowSince >= calmTime && now-l.changedAt >= settleTime {
			l.Percent = min(max(l.Percent+speedupStep, minPercent), FullPercent)
			l.changedAt = now
		}
	}
	return l
}

// AdmitsBestEffort reports whether a worker at this level gets further best-effort
// tasks.
func (l Level) AdmitsBestEffort() bool { return l.Percent > admitAbove }
