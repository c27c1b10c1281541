package speed

import (
	"citronbridge/pacing"
	"citronbridge/track"
)

// Observe takes the rates of a worker's runs into account for its speed, each once, as soon as it
// is known. Runs that are throttled, or that are slow for another reason, are left out.
func Observe(p *track.Pool, w *track.Worker) {
	for _, r := range w.SortedRuns() {
		if r.RateObserved || r.Stalled || r.Pace != pacing.FullPercent {
			continue
		}
		v, ok := relativeSpeed(p, r)
		if !ok || expected(p, r) != r.Task.Step.Spec.Estimate {
			continue
		}
		r.RateObserved = true
		p.Speeds.Observe(p.Now.Steady, &r.Task.Step.Rates, w.ID, w.StartedMS, v)
	}
}
