package pacing

import (
	"testing"
	"time"
)

// maxOverTarget is the platform's bound: a target may be missed for so long at most.
const maxOverTarget = 4 * time.Second

// simulate lets a worker tell tails each tell, which follow the pace by f.
func simulate(l Level, from, until, period time.Duration, f func(percent int) time.Duration, each func(at time.Duration, l Level)) Level {
	for at := from; at < until; at += period {
		l = Next(l, at, []ServingTask{{Target: 100 * time.Millisecond, TailLatency: f(l.Percent)}})
		each(at, l)
	}
	return l
}

// TestTailRecoversWithinBound disturbs a serving task by as much as best-effort tasks work: it
// is below its target again within the bound, at whatever pace that needs.
func TestTailRecoversWithinBound(t *testing.T) {
	for _, maxHarmless := range []int{90, 60, 40, 20, 5, 0} {
		f := func(p int) time.Duration {
			if p > maxHarmless {
				return 150 * time.Millisecond
			}
			return 75 * time.Millisecond
		}
		overFor := time.Duration(0)
		simulate(NewLevel(), 0, 20*time.Second, 500*time.Millisecond, f, func(at time.Duration, l Level) {
			if f(l.Percent) > 100*time.Millisecond {
				overFor += 500 * time.Millisecond
			} else {
				overFor = 0
			}
			if overFor >= maxOverTarget {
				t.Errorf("needs %d%%: over its target for %v at %v", maxHarmless, overFor, at)
			}
		})
	}
}

// TestBestEffortSpeedsUp lets the disturbance end: best-effort tasks work at full
// pace again.
func TestBestEffortSpeedsUp(t *testing.T) {
	l := Level{Percent: 0}
	l = simulate(l, 0, 20*time.Second, 500*time.Millisecond, func(int) time.Duration { return 10 * time.Millisecond }, func(time.Duration, Level) {})
	if l.Percent != FullPercent || !l.AdmitsBestEffort() {
		t.Errorf("%d%% after 20 s without disturbance", l.Percent)
	}
	// Between the two limits nothing changes.
	l = Level{Percent: 50}
	l = simulate(l, 0, 20*time.Second, 500*time.Millisecond, func(int) time.Duration { return 80 * time.Millisecond }, func(time.Duration, Level) {})
	if l.Percent != 50 {
		t.Errorf("%d%% instead of 50%%", l.Percent)
	}
}
