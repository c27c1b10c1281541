package speed

import (
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/track"
	"citronbridge/work"
)

// TestColdWorkerIsNotSlow guards against a run that is moved off its worker for a speed that was
// measured while the worker was cold, and against one that stays because the runs that it is
// compared with were.
func TestColdWorkerIsNotSlow(t *testing.T) {
	for _, c := range []struct {
		name string
		// here and elsewhere are until when the run's worker, and that of the step's other task,
		// are cold. The last samples are from 4 and 5 s.
		here, elsewhere time.Duration
		move            bool
	}{
		{"both warm", 0, 0, true},
		{"cold until before the samples", 4 * time.Second, 0, true},
		{"cold during the samples", 4500 * time.Millisecond, 0, false},
		{"cold now", time.Hour, 0, false},
		{"compared with a cold worker", 0, time.Hour, false},
	} {
		p := track.NewPool(track.Config{}, event.Clock{Steady: 5 * time.Second}, nil)
		j := &track.Job{Spec: &work.Job{ID: "00000000000000aa", Steps: []work.Step{{Count: 2, Estimate: 10 * time.Second}}}, Record: &work.Record{State: work.Running}}
		j.OpenOccurrence(0, time.Second)
		for i, t := range j.Steps[0].Tasks {
			w := &track.Worker{ColdUntil: []time.Duration{c.here, c.elsewhere}[i]}
			t.Run = &track.Run{Task: t, Worker: w, Phase: track.Running}
			for s := range 5 {
				// The first run makes a tenth of the expected progress, the other all of it.
				t.Run.RecordProgress(time.Duration(s+1)*time.Second, s*(1+9*i))
			}
		}
		r := j.Steps[0].Tasks[0].Run
		r.SlowSince = time.Millisecond
		if got := ShouldMove(p, r); got != c.move {
			t.Errorf("%s: moved %v, want %v", c.name, got, c.move)
		}
	}
}
