// Package pacing throttles best-effort tasks beside latency-sensitive ones, as
// a function over plain data.
package pacing

import "time"

// Figures of the control.
const (
	// highRatio and low are the parts of a target above which best-effort tasks are
	// throttled and below which they may speed up.
	highRatio, lowRatio = 0.9, 0.6
	// settleTime is how long a change takes to show: the tail is that of the last
	// half second, and a pace takes 0.1 s to hold; the platform's figures.
	settleTime = 600 * time.Millisecond
	// calmTime is how long tails must be low before best-effort tasks speed up.
	calmTime = 1500 * time.Millisecond
	// slowdownDivisor divides the pace: three changes lead to a stand-still, well within
	// the time for which a target may be missed.
	slowdownDivisor = 3
	// speedupStep is by how much they speed up, in percent.
	speedupStep = 10
	// minPercent is the slowest pace but a stand-still, in percent.
	minPercent = 10
	// FullPercent is the pace of a task that was just started, in percent.
	FullPercent = 100
	// admitAbove is the pace at which a worker gets no further best-effort tasks.
	admitAbove = 30
)

// Level is the pace of all best-effort tasks on one worker.
type Level struct {
	// Percent is what is asked for.
	Percent   int
	changedAt time.Duration
	// lowSince is since when tails are low, 0 if they aren't.
	lowSince time.Duration
}

// NewLevel returns the level of a worker on which nothing is slowed down.
func NewLevel() Level { return Level{Percent: FullPercent} }

// ServingTask is a latency-sensitive task: the tail of its response times and what
// that must stay below.
type ServingTask struct{ Target, TailLatency time.Duration }

// Next returns the level after the tails that a worker has told. The worst
// tail against its target counts: a third of the pace above it, and a
// stand-still from the least one.
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

// AdmitsBestEffort reports whether a worker at the level gets further best-effort tasks.
func (l Level) AdmitsBestEffort() bool { return l.Percent > admitAbove }
