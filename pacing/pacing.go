// Package pacing throttles best-effort tasks beside latency-sensitive ones, as
// a function over plain data.
package pacing

import "time"

// Figures of the control.
const (
	// high and low are the parts of a target above which best-effort tasks are
	// throttled and below which they may speed up.
	high, low = 0.9, 0.6
	// settle is how long a change takes to show: the tail is that of the last
	// half second, and a pace takes 0.1 s to hold; the platform's figures.
	settle = 600 * time.Millisecond
	// calm is how long tails must be low before best-effort tasks speed up.
	calm = 1500 * time.Millisecond
	// slowBy divides the pace: three changes lead to a stand-still, well within
	// the time for which a target may be missed.
	slowBy = 3
	// step is by how much they speed up, in percent.
	step = 10
	// least is the slowest pace but a stand-still, in percent.
	least = 10
	// Full is the pace of a task that was just started, in percent.
	Full = 100
	// closed is the pace at which a worker gets no further best-effort tasks.
	closed = 30
)

// Level is the pace of all best-effort tasks on one worker.
type Level struct {
	// Percent is what is asked for.
	Percent int
	changed time.Duration
	// lowAt is since when tails are low, 0 if they aren't.
	lowAt time.Duration
}

// NewLevel returns the level of a worker on which nothing is slowed down.
func NewLevel() Level { return Level{Percent: Full} }

// Serving is a latency-sensitive task: the tail of its response times and what
// that must stay below.
type Serving struct{ Target, Tail time.Duration }

// Next returns the level after the tails that a worker has told. The worst
// tail against its target counts: a third of the pace above it, and a
// stand-still from the least one.
func Next(l Level, now time.Duration, tasks []Serving) Level {
	worst := 0.0
	for _, t := range tasks {
		if t.Target > 0 {
			worst = max(worst, float64(t.Tail)/float64(t.Target))
		}
	}
	switch {
	case worst > high:
		l.lowAt = 0
		if now-l.changed >= settle && l.Percent > 0 {
			l.Percent /= slowBy
			if l.Percent < least {
				l.Percent = 0
			}
			l.changed = now
		}
	case worst > low:
		l.lowAt = 0
	default:
		if l.lowAt == 0 {
			l.lowAt = max(now, 1)
		}
		if l.Percent < Full && now-l.lowAt >= calm && now-l.changed >= settle {
			l.Percent = min(max(l.Percent+step, least), Full)
			l.changed = now
		}
	}
	return l
}

// Admits reports whether a worker at the level gets further best-effort tasks.
func (l Level) Admits() bool { return l.Percent > closed }
