package launch

import (
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/track"
	"citronbridge/work"
)

// TestDrainStopAt checks when runs on a draining worker that leaves at 10 s are stopped. The
// time is 7 s, stops take 0.2 s, and the runs began at 1 s.
func TestDrainStopAt(t *testing.T) {
	const (
		now, leavesAt, stopTime = 7 * time.Second, 10 * time.Second, 200 * time.Millisecond
		last                    = leavesAt - stopTime - drainSlack
	)
	for _, c := range []struct {
		name string
		step work.Step
		// progress is in percent after the first 5 s, 0 if it isn't known.
		progress int
		// other is what is to be said of the worker of the gang's second member.
		other string
		want  time.Duration
		stop  bool
	}{
		{"done in time", work.Step{Estimate: 7 * time.Second}, 0, "", last, true},
		{"done in time by its progress", work.Step{Estimate: 20 * time.Second}, 70, "", last, true},
		{"not done in time", work.Step{Estimate: 12 * time.Second}, 0, "", now, true},
		{"not done in time by its progress", work.Step{Estimate: 2 * time.Second}, 40, "", now, true},
		{"saves its progress", work.Step{Estimate: 12 * time.Second, Checkpoint: true}, 0, "", last, true},
		{"runs until cancelled", work.Step{LongRunning: true}, 0, "", last, true},
		{"of unknown length", work.Step{}, 0, "", last, true},
		{"gang not done in time", work.Step{Gang: true}, 40, "stays", now, true},
		{"gang done just in time", work.Step{Gang: true}, 59, "stays", 0, false},
		{"gang done just in time by its estimate", work.Step{Estimate: 8500 * time.Millisecond, Gang: true}, 0, "stays", now, true},
		{"gang done just in time whose workers all drain", work.Step{Gang: true}, 59, "drains", now, true},
		{"gang done just in time with a member that can't be asked", work.Step{Gang: true}, 59, "is unresponsive", now, true},
		{"task done just in time", work.Step{}, 59, "stays", now, true},
	} {
		c.step.Count = 2
		j := &track.Job{Spec: &work.Job{ID: "00000000000000aa", Steps: []work.Step{c.step}}, Record: &work.Record{State: work.Running}}
		j.OpenOccurrence(0, time.Second)
		l := j.Steps[0].Tasks
		r := &track.Run{Task: l[0], Worker: &track.Worker{Worker: event.Worker{Draining: true}, Synced: true}, Phase: track.Running, DecidedAt: time.Second}
		if c.progress > 0 {
			r.RecordProgress(time.Second, 0)
			r.RecordProgress(6*time.Second, c.progress)
		}
		o := &track.Worker{Worker: event.Worker{Draining: c.other == "drains"}, Synced: true}
		if c.other == "is unresponsive" {
			o.UnansweredCalls = 1
		}
		l[0].Run, l[1].Run = r, &track.Run{Task: l[1], Worker: o, Phase: track.Running, DecidedAt: time.Second}
		if at, stop := DrainStopAt(now, leavesAt, stopTime, r); at != c.want || stop != c.stop {
			t.Errorf("%s: stopped at %v (%v), want %v (%v)", c.name, at, stop, c.want, c.stop)
		}
	}
}
