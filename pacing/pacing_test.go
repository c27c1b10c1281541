package pacing

import (
	"testing"
	"time"
)

// maxOverTarget is the platform's bound on how long a target may be missed.
const maxOverTarget = 4 * time.Second

// simulate reports a tail latency each period, which f computes from the pace, and
// calls each with the resulting level.
func simulate(l Level, from, until, period time.Duration, f func(percent int) time.Duration, each func(at time.Duration, l Level)) Level {
	for at := from; at < until; at += period {
		l = Next(l, at, []ServingTask{{Target: 100 * time.Millisecond, TailLatency: f(l.Percent)}})
		each(at, l)
	}
	return l
}

// TestTailRecoversWithinBound lets best-effort tasks above some pace disturb a
// serving task: its tail latency is below the target again within the bound,
// however low that pace is.
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
				t.Errorf("highest harmless pace %d%%: over the target for %v at %v", maxHarmless, overFor, at)
			}
		})
	}
}

// TestBestEffortSpeedsUp checks that best-effort tasks return to full pace once
// tail latencies are low.
func TestBestEffortSpeedsUp(t *testing.T) {
	l := Level{Percent: 0}
	l = simulate(l, 0, 20*time.Second, 500*time.Millisecond, func(int) time.Duration { return 10 * time.Millisecond }, func(time.Duration, Level) {})
	if l.Percent != FullPercent || !l.AdmitsBestEffort() {
		t.Errorf("pace %d%% after 20 s of low tail latencies, want 100%% and more tasks admitted", l.Percent)
	}
	// Between lowRatio and highRatio the pace doesn't change.
	l = Level{Percent: 50}
	l = simulate(l, 0, 20*time.Second, 500*time.Millisecond, func(int) time.Duration { return 80 * time.Millisecond }, func(time.Duration, Level) {})
	if l.Percent != 50 {
		t.Errorf("pace %d%% between the two ratios, want 50%%", l.Percent)
	}
}
