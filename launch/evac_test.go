package launch

import (
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/track"
	"citronbridge/work"
)

// TestEvacuateAt checks when runs on a draining worker that leaves at 10 s are stopped. The
// time is 7 s, stops take 0.2 s, and the runs began at 1 s.
func TestEvacuateAt(t *testing.T) {
	const (
		now, leavesAt, stopTime = 7 * time.Second, 10 * time.Second, 200 * time.Millisecond
		last                    = leavesAt - stopTime - evacuationSlack
	)
	for _, c := range []struct {
		name   string
		step   work.Step
		others string
		want   time.Duration
		stop   bool
	}{
		{"done in time", work.Step{Estimate: 8 * time.Second}, "", last, true},
		{"not done in time", work.Step{Estimate: 12 * time.Second}, "", now, true},
		{"saves its progress", work.Step{Estimate: 12 * time.Second, Checkpoint: true}, "", last, true},
		{"runs until cancelled", work.Step{LongRunning: true}, "", last, true},
		{"of unknown length", work.Step{}, "", last, true},
		{"gang done in time with a member elsewhere", work.Step{Estimate: 8 * time.Second, Gang: true}, "elsewhere", 0, false},
		{"gang done in time whose workers all drain", work.Step{Estimate: 8 * time.Second, Gang: true}, "draining", last, true},
		{"gang done in time with a member that can't be asked", work.Step{Estimate: 8 * time.Second, Gang: true}, "unresponsive", last, true},
		{"gang not done in time", work.Step{Estimate: 12 * time.Second, Gang: true}, "elsewhere", now, true},
	} {
		c.step.Count = 2
		j := &track.Job{Spec: &work.Job{ID: "00000000000000aa", Steps: []work.Step{c.step}}, Record: &work.Record{State: work.Running}}
		j.OpenOccurrence(0, time.Second)
		w := &track.Worker{Worker: event.Worker{ID: "w0", Draining: true}, Synced: true}
		r := &track.Run{Task: j.Steps[0].Tasks[0], Worker: w, Phase: track.Running, DecidedAt: time.Second}
		r.Task.Run = r
		if c.others != "" {
			o := &track.Worker{Worker: event.Worker{ID: "w1", Draining: c.others == "draining"}, Synced: true}
			if c.others == "unresponsive" {
				o.UnansweredCalls = 1
			}
			j.Steps[0].Tasks[1].Run = &track.Run{Task: j.Steps[0].Tasks[1], Worker: o, Phase: track.Running, DecidedAt: time.Second}
		}
		if at, stop := EvacuateAt(now, leavesAt, stopTime, r); at != c.want || stop != c.stop {
			t.Errorf("%s: stopped at %v (%v), want %v (%v)", c.name, at, stop, c.want, c.stop)
		}
	}
}
