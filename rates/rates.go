// Package rates learns the relative speeds of a pool's workers from how fast they run tasks of
// the same step. It holds no clock and does no I/O.
package rates

import (
	"math"
	"slices"
	"time"
)

// Parameters of the model. Speeds and deviations are natural logarithms: 0.5 is a factor of 1.65.
const (
	// priorDeviation is the spread of the speeds of unknown workers: pools mix generations of
	// accelerators that differ by a factor of up to three.
	priorDeviation = 0.4
	// noise is the spread of the rates of equal tasks of one step on workers of one speed. Tasks
	// of a step differ by up to a third in their work.
	noise = 0.2
	// drift is by how much a speed may have changed after a second. A worker that became slower
	// for good counts as such after some ten tasks.
	drift = 0.02
	// maxDeviation limits the effect of one observation. Single tasks take several times as long
	// as the others of their step.
	maxDeviation = 0.5
	// passing is the deviation from a worker's own speed beyond which an observation is taken for
	// a passing slow-down. It is left out unless maxPassing have come in a row.
	passing    = 0.7
	maxPassing = 4
	// minObservations is how many tasks of a step must have been observed before their rates are
	// compared.
	minObservations = 3
	// maxObservations limits the rates that are kept of a step.
	maxObservations = 64
	// knownDeviation is the uncertainty below which a speed counts as known.
	knownDeviation = 0.25
)

// Speed is what is known of a worker's speed. The fields are exported to be stored.
type Speed struct {
	// Log is the logarithm of the speed relative to that of a typical worker, Variance its
	// uncertainty.
	Log, Variance float64
	// Incarnation identifies the worker's incarnation that was observed.
	Incarnation int64
	// At is when the speed was last observed, on the clock of the caller.
	At time.Duration `json:"-"`
	// passing counts the last observations that were taken for a passing slow-down.
	passing int
}

// Model holds the speeds of the workers of a pool.
type Model struct{ speeds map[string]*Speed }

// Step holds the observed rates of the tasks of a step. The zero value has none.
type Step struct {
	observations []observation
	// compared is the number of observations that have been compared with the others.
	compared int
}

// observation is the logarithm of a task's rate on a worker.
type observation struct {
	worker      string
	incarnation int64
	rate        float64
}

// New returns a Model that knows no speed.
func New() *Model { return &Model{speeds: map[string]*Speed{}} }

// Observe records that a task of a step runs on a worker at a rate, a multiple of the rate that
// the step's estimate implies. Each run is to be observed once.
func (m *Model) Observe(now time.Duration, s *Step, worker string, incarnation int64, rate float64) {
	if rate <= 0 || math.IsInf(rate, 0) || math.IsNaN(rate) {
		return
	}
	if len(s.observations) >= maxObservations {
		return
	}
	s.observations = append(s.observations, observation{worker, incarnation, math.Log(rate)})
	if len(s.observations) < minObservations {
		return
	}
	typical := m.typicalRate(s)
	for _, o := range s.observations[s.compared:] {
		m.update(now, o, o.rate-typical, len(s.observations))
	}
	s.compared = len(s.observations)
}

// typicalRate returns the logarithm of the rate at which a typical worker would run the step's
// tasks: the median over the tasks, so that single ones that take far longer don't matter.
func (m *Model) typicalRate(s *Step) float64 {
	l := make([]float64, len(s.observations))
	for i, o := range s.observations {
		l[i] = o.rate - m.get(o.worker, o.incarnation).Log
	}
	slices.Sort(l)
	n := len(l)
	return (l[(n-1)/2] + l[n/2]) / 2
}

// get returns what is known of a worker's incarnation, the prior if nothing is.
func (m *Model) get(worker string, incarnation int64) Speed {
	if s := m.speeds[worker]; s != nil && s.Incarnation == incarnation {
		return *s
	}
	return Speed{Variance: priorDeviation * priorDeviation, Incarnation: incarnation}
}

// update takes an observed speed into account: the logarithm v, by a comparison of n tasks. The
// weights are those of a Kalman filter.
func (m *Model) update(now time.Duration, o observation, v float64, n int) {
	s := m.get(o.worker, o.incarnation)
	if s.At > 0 {
		s.Variance = min(s.Variance+drift*drift*(now-s.At).Seconds(), priorDeviation*priorDeviation)
	}
	d := v - s.Log
	if d < -passing && s.passing < maxPassing {
		s.passing++
		m.speeds[o.worker] = &s
		return
	}
	s.passing = 0
	error := noise*noise + (noise*noise+priorDeviation*priorDeviation)/float64(n)
	gain := s.Variance / (s.Variance + error)
	s.Log += gain * min(max(d, -maxDeviation), maxDeviation)
	s.Variance *= 1 - gain
	s.At = now
	m.speeds[o.worker] = &s
}

// Speed returns the speed of a worker's incarnation relative to a typical worker. It returns 1 and
// false if too little is known. What is uncertain counts towards 1, so that workers of equal speed
// aren't told apart by chance.
func (m *Model) Speed(worker string, incarnation int64) (float64, bool) {
	s := m.speeds[worker]
	if s == nil || s.Incarnation != incarnation || s.Variance > knownDeviation*knownDeviation {
		return 1, false
	}
	certain := max(math.Abs(s.Log)-math.Sqrt(s.Variance), 0)
	return math.Exp(math.Copysign(certain, s.Log)), true
}

// Forget removes what is known of a worker that is gone.
func (m *Model) Forget(worker string) { delete(m.speeds, worker) }
