package node

import (
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/fakes/model"
	"citronbridge/fakes/plat"
	"citronbridge/platform"
	"citronbridge/repo"
)

// newHost returns a host on a stand-in of the platform that doesn't run, and a
// pool that it may take.
func newHost(t *testing.T) (*Host, *plat.Platform) {
	p := plat.New("pool", model.Bounds{})
	t.Cleanup(p.Close)
	_, store, err := p.OpenStoreEndpoint(1)
	if err != nil {
		t.Fatal(err)
	}
	config := p.Configure(1)
	s := &platform.Settings{Host: "a"}
	s.Listen.Front, s.Listen.Ready, s.Store.Address = "127.0.0.1:0", "127.0.0.1:0", store
	h, err := New(Config{Settings: s, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		h.front.Close()
		h.ready.Close()
	})
	h.adopt(config)
	return h, p
}

// TestTakeWhileLeaving lets a planned stop begin while a pool is being taken:
// the decider ends and tells that it has left, and nothing waits for ever.
func TestTakeWhileLeaving(t *testing.T) {
	h, p := newHost(t)
	h.leaving.Store(true)
	ended := make(chan struct{})
	go func() {
		h.tryTake(t.Context(), &candidate{pool: "pool", busy: true}, vacancy{silent: true}, 0)
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the decider doesn't end")
	}
	b, err := repo.DecodeHeartbeat(p.Store.Value("heartbeats", "", "pool"))
	if err != nil || !b.Left {
		t.Errorf("the last heartbeat is %+v, %v", b, err)
	}
}

// TestTakeFromNewOwner leaves a pool alone that another host has just taken
// from the owner whose silence was heard, and takes it from one that was heard.
func TestTakeFromNewOwner(t *testing.T) {
	h, _ := newHost(t)
	if o, err := h.owners.Take(t.Context(), "pool", repo.Owner{Epoch: 2, Host: "b", Boot: "x"}, 0); err != nil || o == nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		silent bool
		epoch  int64
		takes  bool
	}{{true, 1, false}, {false, 2, false}, {true, 2, true}} {
		d, looked := h.take(t.Context(), &candidate{pool: "pool"}, vacancy{silent: x.silent}, x.epoch)
		if (d != nil) != x.takes || !looked {
			t.Errorf("silent %v in epoch %d: taken %v, looked %v", x.silent, x.epoch, d != nil, looked)
		}
		if d != nil {
			d.Stop(t.Context())
		}
	}
}

// TestWavesFollowTheOperator takes waves in, and forgets those that are taken
// back by a row or left out of a list.
func TestWavesFollowTheOperator(t *testing.T) {
	h, p := newHost(t)
	wave := func(n int64) repo.Row {
		key, value := p.RequestWave(model.Wave{N: n, Machines: []string{"m-1"}, Cap: 1}, time.Minute)
		return repo.Row{Table: platform.TableOperator, Key: key, Value: value}
	}
	config := repo.Row{Table: platform.TableOperator, Key: platform.KeyConfig, Value: p.Configure(2)}
	for n := range int64(3) {
		h.takeWave(wave(n + 3))
	}
	gone := wave(4)
	gone.Deleted = true
	h.takeWave(gone)
	h.takeWave(config)
	numbers := func() []int64 {
		var l []int64
		for _, w := range h.waves.list() {
			l = append(l, w.N)
		}
		return l
	}
	if l := numbers(); !slices.Equal(l, []int64{3, 5}) {
		t.Errorf("waves %v", l)
	}
	h.keepWaves([]repo.Row{config, wave(5)})
	if l := numbers(); !slices.Equal(l, []int64{5}) {
		t.Errorf("waves after a list without one: %v", l)
	}
}

// patience bounds how long an awaited event may take. It is no measure.
const patience = 60 * time.Second

// TestWeakHostsStandBack guards against a small host that decides for a pool
// while a large one lives: all hear the same silence, and the large go first.
func TestWeakHostsStandBack(t *testing.T) {
	for _, c := range []struct {
		name  string
		own   float64
		known []float64
		fit   bool
		share float64
		pause time.Duration
	}{
		{"nothing is known, large", 1, nil, true, 1, 0},
		{"nothing is known, small", 0.25, nil, true, 1, 1500 * time.Millisecond},
		{"alone, small", 0.25, []float64{0.25}, true, 1, 1500 * time.Millisecond},
		{"all alike", 0.4, []float64{0.4, 0.4, 0.4}, true, 1, 0},
		{"small among large", 0.2, []float64{0.2, 0.8, 0.8, 0.2}, false, 0.5, 1500 * time.Millisecond},
		{"large among small", 0.8, []float64{0.8, 0.2, 0.2, 0.2}, true, 0.25, 0},
		{"nearly as large", 0.7, []float64{0.7, 0.8}, true, 1, 0},
		{"others don't say", 0.4, []float64{0.4, 0, 0, 0}, true, 0.25, 0},
	} {
		fit, share := standing(c.own, c.known)
		if pause := weakness(c.own, c.known); fit != c.fit || share != c.share || pause.Round(time.Millisecond) != c.pause {
			t.Errorf("%s: fit %v, share %v, waits %v longer; want %v, %v, %v", c.name, fit, share, pause, c.fit, c.share, c.pause)
		}
	}
}
