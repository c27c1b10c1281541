package rates

import (
	"testing"
	"time"
)

// BenchmarkPool measures what a decision needs of the speeds of 3,700 workers, and an observation.
func BenchmarkPool(b *testing.B) {
	p := newPool(1, 3700, 0.6, 1, 1.6)
	p.play(3000, 12)
	b.Run("Unequal", func(b *testing.B) {
		for b.Loop() {
			p.m.Unequal()
		}
	})
	b.Run("Speed", func(b *testing.B) {
		for b.Loop() {
			p.m.Speed("w7", 1)
		}
	})
	b.Run("Observe", func(b *testing.B) {
		s, n := &Step{}, 0
		for b.Loop() {
			if n++; n%12 == 0 {
				s = &Step{}
			}
			p.m.Observe(time.Hour, s, name(n%3700), 1, 1)
		}
	})
}
