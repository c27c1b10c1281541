package rates

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// pool plays steps of a pool whose workers have the given speeds in turn.
type pool struct {
	m      *Model
	rng    *rand.Rand
	speeds []float64
	now    time.Duration
}

func newPool(seed uint64, workers int, speeds ...float64) *pool {
	p := &pool{m: New(), rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range workers {
		p.speeds = append(p.speeds, speeds[i%len(speeds)])
	}
	return p
}

func name(i int) string { return fmt.Sprintf("w%d", i) }

// play runs steps of a number of tasks each on random workers. The estimates are wrong by up to a
// factor of two for each step, tasks differ by 15 percent, and three of 100 take seven times as long.
func (p *pool) play(steps, tasks int) {
	for range steps {
		p.now += 200 * time.Millisecond
		var s Step
		estimate := math.Exp(0.7 * (2*p.rng.Float64() - 1))
		for _, i := range p.rng.Perm(len(p.speeds))[:tasks] {
			v := p.speeds[i] * estimate * (1 + 0.15*(2*p.rng.Float64()-1))
			if p.rng.IntN(100) < 3 {
				v /= 7
			}
			p.m.Observe(p.now, &s, name(i), 1, v)
		}
	}
}

// TestSpeedsAreLearnt guards against placement by speeds that are wrong: although estimates are far
// off and some tasks take far longer, few workers of unequal pools may be ranked wrongly, and a pool
// of equal workers must not count as unequal.
func TestSpeedsAreLearnt(t *testing.T) {
	for seed := range uint64(20) {
		p := newPool(seed, 60, 0.6, 1, 1.6)
		p.play(60, 12)
		if !p.m.Unequal() {
			t.Fatalf("seed %d: the workers count as equal", seed)
		}
		wrong := 0
		for i, v := range p.speeds {
			got, _ := p.m.Speed(name(i), 1)
			if math.Abs(math.Log(got/v)) > math.Log(1.6)/2+0.05 {
				wrong++
			}
		}
		if wrong > len(p.speeds)/10 {
			t.Errorf("seed %d: %d of %d speeds are wrong", seed, wrong, len(p.speeds))
		}
		equal := newPool(seed, 60, 1)
		equal.play(60, 12)
		if equal.m.Unequal() {
			t.Errorf("seed %d: equal workers count as unequal", seed)
		}
	}
}

// TestSlowDown guards against a worker that counts as slow for good after a passing slow-down, and
// against one that became slow for good and never counts as slow.
func TestSlowDown(t *testing.T) {
	for _, c := range []struct {
		name  string
		tasks int
		slow  bool
	}{{"passing", maxPassing, false}, {"lasting", 20, true}} {
		p := newPool(1, 30, 0.6, 1, 1.6)
		p.play(60, 12)
		before, _ := p.m.Speed(name(1), 1)
		for range c.tasks {
			p.now += time.Second
			var s Step
			for i := 3; i < 12; i++ {
				p.m.Observe(p.now, &s, name(i), 1, p.speeds[i])
			}
			p.m.Observe(p.now, &s, name(1), 1, 0.25)
		}
		after, _ := p.m.Speed(name(1), 1)
		if slow := after < 0.7*before; slow != c.slow {
			t.Errorf("%s slow-down: speed %.2f, before %.2f, want slower: %v", c.name, after, before, c.slow)
		}
	}
}

// TestRestartedWorker guards against the speed of a former incarnation, which may have been of
// another kind.
func TestRestartedWorker(t *testing.T) {
	p := newPool(1, 30, 0.6, 1, 1.6)
	p.play(60, 12)
	if _, known := p.m.Speed(name(2), 1); !known {
		t.Fatal("the speed isn't known")
	}
	if v, known := p.m.Speed(name(2), 2); known || v != 1 {
		t.Errorf("another incarnation has speed %v", v)
	}
	p.m.Forget(name(2))
	if _, known := p.m.Speed(name(2), 1); known {
		t.Error("the speed of a worker that is gone is known")
	}
}

// TestSpeedsAreKept guards against a successor that learns all speeds anew, writes of speeds that
// haven't changed, and stored speeds that can't be true.
func TestSpeedsAreKept(t *testing.T) {
	p := newPool(1, 30, 0.6, 1, 1.6)
	p.play(60, 12)
	shardOf := func(id string) int { return len(id) }
	successor := New()
	for _, l := range p.m.Unsaved(shardOf) {
		b, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		var stored map[string]Speed
		if err := json.Unmarshal(b, &stored); err != nil {
			t.Fatal(err)
		}
		successor.Restore(time.Hour, stored)
	}
	for i := range p.speeds {
		want, _ := p.m.Speed(name(i), 1)
		if got, _ := successor.Speed(name(i), 1); got != want {
			t.Errorf("%s: the successor knows speed %v, want %v", name(i), got, want)
		}
	}
	if l := p.m.Unsaved(shardOf); len(l) > 0 {
		t.Errorf("speeds that haven't changed are written again: %v", l)
	}
	successor.Restore(time.Hour, map[string]Speed{"a": {Log: 9, Variance: 0.01}, "b": {Log: math.NaN(), Variance: 0.01}, "c": {Variance: -1}, "d": {}, "e": {Log: 1, Variance: math.NaN()}})
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		if _, known := successor.Speed(id, 0); known {
			t.Errorf("stored speed %s was taken over", id)
		}
	}
}
