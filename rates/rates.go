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
	// unequalLog is the deviation from a typical worker that counts, and unequalShare the share of
	// the workers known that must deviate for the pool to count as one of unequal workers. Single
	// slow workers are handled by moving what runs there.
	unequalLog   = 0.25
	unequalShare = 0.1
	// maxLog bounds a stored speed: no worker is twenty times as fast as another.
	maxLog = 3
	// saveChange is the least change of a speed that is worth a write.
	saveChange = 0.1
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
	// saved is Log as it was last returned by Unsaved.
	saved float64
}

// certain returns the part of the deviation that isn't within the uncertainty, and false if too
// little is known.
func (s *Speed) certain() (float64, bool) {
	if s.Variance > knownDeviation*knownDeviation {
		return 0, false
	}
	return math.Copysign(max(math.Abs(s.Log)-math.Sqrt(s.Variance), 0), s.Log), true
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
	switch {
	case d >= -passing:
		s.passing = 0
	case s.passing < maxPassing:
		s.passing++
		m.speeds[o.worker] = &s
		return
	default:
		// The slow-down lasts, so what was learnt before says little.
		s.Variance = priorDeviation * priorDeviation
	}
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
	if s := m.speeds[worker]; s != nil && s.Incarnation == incarnation {
		if l, ok := s.certain(); ok {
			return math.Exp(l), true
		}
	}
	return 1, false
}

// Unequal reports whether the workers of the pool differ in speed.
func (m *Model) Unequal() bool {
	known, deviating := 0, 0
	for _, s := range m.speeds {
		if l, ok := s.certain(); ok {
			known++
			if math.Abs(l) > unequalLog {
				deviating++
			}
		}
	}
	return deviating > 0 && float64(deviating) >= unequalShare*float64(known)
}

// Known returns how many workers have a known speed, and the slowest and the fastest of these
// speeds, 1 if there is none.
func (m *Model) Known() (n int, slowest, fastest float64) {
	slowest, fastest = 1, 1
	for _, s := range m.speeds {
		if l, ok := s.certain(); ok {
			n++
			slowest, fastest = min(slowest, math.Exp(l)), max(fastest, math.Exp(l))
		}
	}
	return n, slowest, fastest
}

// Unsaved returns the known speeds of all shards in which one has changed by saveChange since it was
// returned last. shardOf returns the shard of a worker.
func (m *Model) Unsaved(shardOf func(worker string) int) map[int]map[string]Speed {
	l := map[int]map[string]Speed{}
	for id, s := range m.speeds {
		if _, ok := s.certain(); ok && math.Abs(s.Log-s.saved) >= saveChange {
			l[shardOf(id)] = map[string]Speed{}
		}
	}
	for id, s := range m.speeds {
		if shard := l[shardOf(id)]; shard != nil && s.Variance <= knownDeviation*knownDeviation {
			s.saved = s.Log
			shard[id] = *s
		}
	}
	return l
}

// Restore takes over speeds that a former model has learnt. Those that this one knows stay.
func (m *Model) Restore(now time.Duration, l map[string]Speed) {
	for id, s := range l {
		valid := s.Variance > 0 && s.Variance <= priorDeviation*priorDeviation && math.Abs(s.Log) <= maxLog
		if !valid || m.speeds[id] != nil {
			continue
		}
		s.At, s.saved = now, s.Log
		m.speeds[id] = &s
	}
}

// Forget removes what is known of a worker that is gone.
func (m *Model) Forget(worker string) { delete(m.speeds, worker) }
