package pacing

import (
	"testing"
	"time"
)

// harm is the platform's bound: a target may be missed for so long at most.
const harm = 4 * time.Second

// play lets a worker tell tails each tell, which follow the pace by f.
func play(l Level, from, until, tell time.Duration, f func(percent int) time.Duration, each func(at time.Duration, l Level)) Level {
	for at := from; at < until; at += tell {
		l = Next(l, at, []Serving{{Target: 100 * time.Millisecond, Tail: f(l.Percent)}})
		each(at, l)
	}
	return l
}

// TestHarmEndsInTime disturbs a serving task by as much as best-effort tasks work: it
// is below its target again within the bound, at whatever pace that needs.
func TestHarmEndsInTime(t *testing.T) {
	for _, needed := range []int{90, 60, 40, 20, 5, 0} {
		f := func(p int) time.Duration {
			if p > needed {
				return 150 * time.Millisecond
			}
			return 75 * time.Millisecond
		}
		over := time.Duration(0)
		play(NewLevel(), 0, 20*time.Second, 500*time.Millisecond, f, func(at time.Duration, l Level) {
			if f(l.Percent) > 100*time.Millisecond {
				over += 500 * time.Millisecond
			} else {
				over = 0
			}
			if over >= harm {
				t.Errorf("needs %d%%: over its target for %v at %v", needed, over, at)
			}
		})
	}
}

// TestBestEffortSpeedsUp lets the disturbance end: best-effort tasks work at full
// pace again.
func TestBestEffortSpeedsUp(t *testing.T) {
	l := Level{Percent: 0}
	l = play(l, 0, 20*time.Second, 500*time.Millisecond, func(int) time.Duration { return 10 * time.Millisecond }, func(time.Duration, Level) {})
	if l.Percent != Full || !l.Admits() {
		t.Errorf("%d%% after 20 s without disturbance", l.Percent)
	}
	// Between the two limits nothing changes.
	l = Level{Percent: 50}
	l = play(l, 0, 20*time.Second, 500*time.Millisecond, func(int) time.Duration { return 80 * time.Millisecond }, func(time.Duration, Level) {})
	if l.Percent != 50 {
		t.Errorf("%d%% instead of 50%%", l.Percent)
	}
}
