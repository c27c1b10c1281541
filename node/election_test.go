package node

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/fakes/model"
	"citronbridge/fakes/plat"
	"citronbridge/platform"
	"citronbridge/repo"
)

// newHost returns a host that isn't running, configured with a pool that it may
// acquire, and the fake platform that it uses.
func newHost(t *testing.T) (*Host, *plat.Platform) {
	p := plat.New("pool", model.Bounds{})
	t.Cleanup(p.Close)
	return newHostOn(t, p, "a", zerolog.Nop()), p
}

// newHostOn returns another host on a fake platform.
func newHostOn(t *testing.T, p *plat.Platform, name string, log zerolog.Logger) *Host {
	_, store, err := p.OpenStoreEndpoint(1)
	if err != nil {
		t.Fatal(err)
	}
	config := p.Configure(1)
	s := &platform.Settings{Host: name}
	s.Listen.Front, s.Listen.Ready, s.Store.Address = "127.0.0.1:0", "127.0.0.1:0", store
	h, err := New(Config{Settings: s, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		h.front.Close()
		h.ready.Close()
	})
	h.applyRules(config)
	return h
}

// TestAcquireDuringPlannedStop guards against a deadlock where a planned stop begins
// while a pool is being acquired: the new decider must end and release the pool.
func TestAcquireDuringPlannedStop(t *testing.T) {
	h, p := newHost(t)
	h.leaving.Store(true)
	ended := make(chan struct{})
	go func() {
		h.tryAcquire(t.Context(), &candidate{pool: "pool", acquiring: true}, takeoverReason{unresponsive: true}, 0)
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(eventTimeout):
		t.Fatal("acquiring the pool and stopping its decider takes too long")
	}
	b, err := repo.DecodeHeartbeat(p.Store.Value("heartbeats", "", "pool"))
	if err != nil || !b.Left {
		t.Errorf("the last heartbeat is %+v (error %v), want Left to be set", b, err)
	}
}

// TestDeciderThatEndsAtOnce guards against a host that takes a pool for its own for good and never
// acquires it again: the decider has ended before the acquisition is recorded.
func TestDeciderThatEndsAtOnce(t *testing.T) {
	h, _ := newHost(t)
	c := &candidate{pool: "pool", acquiring: true}
	h.pools["pool"] = c
	d, ownerRead := h.acquire(t.Context(), c, takeoverReason{unresponsive: true}, 0)
	if d == nil {
		t.Fatal("the pool wasn't acquired")
	}
	d.Stop(t.Context())
	if !h.finishAcquire(c, d, ownerRead) || c.decider != nil || c.acquiring {
		t.Errorf("the host keeps a decider that has ended: %v, acquiring %v", c.decider != nil, c.acquiring)
	}
}

// muteStore is a store whose answers to changes are lost, and that isn't there for a while then.
type muteStore struct {
	repo.Store
	mute, away bool
}

// Apply implements repo.Store.
func (s *muteStore) Apply(ctx context.Context, c repo.Change) (repo.Result, error) {
	r, err := s.Store.Apply(ctx, c)
	if s.mute {
		s.away = true
		return repo.Result{}, context.DeadlineExceeded
	}
	return r, err
}

// List implements repo.Store.
func (s *muteStore) List(ctx context.Context, table, part, from string, limit int) (repo.Page, error) {
	if s.away {
		return repo.Page{}, context.DeadlineExceeded
	}
	return s.Store.List(ctx, table, part, from, limit)
}

// electAfterHeartbeat makes a host see the heartbeat of the pool's first epoch, and elects.
func electAfterHeartbeat(t *testing.T, h *Host, p *plat.Platform, c *candidate) {
	t.Helper()
	h.heartbeats.RecordAnswer(0)
	if err := h.heartbeats.Record([]repo.Row{{Key: "pool", Value: p.Store.Value("heartbeats", "", "pool")}}); err != nil || h.heartbeats.Epoch("pool") != 1 {
		t.Fatal(err, h.heartbeats.Epoch("pool"))
	}
	c.retryAt = 0
	var wg sync.WaitGroup
	h.elect(t.Context(), &wg)
	wg.Wait()
}

// TestAcquireWithoutAnswer guards against a pool that all hosts take for owned though no decider
// runs: the store has carried an acquisition out, but its answer was lost.
func TestAcquireWithoutAnswer(t *testing.T) {
	h, p := newHost(t)
	m := &muteStore{Store: h.store, mute: true}
	h.owners = repo.NewOwners(m)
	c := &candidate{pool: "pool", acquiring: true}
	h.pools["pool"] = c
	h.tryAcquire(t.Context(), c, takeoverReason{unresponsive: true}, 0)
	if c.decider != nil {
		t.Fatal("the pool was acquired without an answer")
	}
	m.mute, m.away = false, false
	electAfterHeartbeat(t, h, p, c)
	if c.decider == nil {
		t.Fatal("the host doesn't find out that its attempt has acquired the pool")
	}
	c.decider.Stop(t.Context())
	if o, _, err := h.owners.Read(t.Context(), "pool"); err != nil || o.Epoch != 1 {
		t.Errorf("owner is %+v (error %v), want that of the first attempt", o, err)
	}
	if b, err := repo.DecodeHeartbeat(p.Store.Value("heartbeats", "", "pool")); err != nil || !b.Left {
		t.Errorf("the last heartbeat is %+v (error %v), want Left to be set", b, err)
	}
}

// TestAcquireFromNewOwner guards against a takeover from an owner that has only
// just acquired the pool: the missing heartbeats are those of the owner before it.
// Once the new owner's own heartbeats are missing the pool may be acquired.
func TestAcquireFromNewOwner(t *testing.T) {
	h, _ := newHost(t)
	if o, err := h.owners.Acquire(t.Context(), "pool", repo.Owner{Epoch: 2, Host: "b", Boot: "x"}, 0, 0); err != nil || o == nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		unresponsive bool
		epoch        int64
		acquires     bool
	}{{true, 1, false}, {false, 2, false}, {true, 2, true}} {
		d, ownerRead := h.acquire(t.Context(), &candidate{pool: "pool"}, takeoverReason{unresponsive: x.unresponsive}, x.epoch)
		if (d != nil) != x.acquires || !ownerRead {
			t.Errorf("unresponsive %v in epoch %d: acquired %v, owner read %v", x.unresponsive, x.epoch, d != nil, ownerRead)
		}
		if d != nil {
			d.Stop(t.Context())
		}
	}
}

// TestWavesFollowTheOperator checks that waves are added, and removed when their
// row is deleted or missing from a complete listing.
func TestWavesFollowTheOperator(t *testing.T) {
	h, p := newHost(t)
	wave := func(n int64) repo.Row {
		key, value := p.RequestWave(model.Wave{N: n, Machines: []string{"m-1"}, Cap: 1}, time.Minute)
		return repo.Row{Table: platform.TableOperator, Key: key, Value: value}
	}
	config := repo.Row{Table: platform.TableOperator, Key: platform.KeyConfig, Value: p.Configure(2)}
	for n := range int64(3) {
		h.handleWave(wave(n + 3))
	}
	deleted := wave(4)
	deleted.Deleted = true
	h.handleWave(deleted)
	h.handleWave(config)
	numbers := func() []int64 {
		var l []int64
		for _, w := range h.waves.sorted() {
			l = append(l, w.Number)
		}
		return l
	}
	if l := numbers(); !slices.Equal(l, []int64{3, 5}) {
		t.Errorf("waves %v, want 3 and 5", l)
	}
	h.pruneWaves([]repo.Row{config, wave(5)})
	if l := numbers(); !slices.Equal(l, []int64{5}) {
		t.Errorf("waves %v after a listing without wave 3, want 5", l)
	}
}

// eventTimeout bounds the wait for an event. It is far longer than the event
// should take, so that the test doesn't fail on a busy machine.
const eventTimeout = 60 * time.Second

// TestLowCapacityHostsWaitLonger guards against a small host that acquires a pool
// while a large one is running: both notice the missing heartbeats at the same
// time, and the large host must be first.
func TestLowCapacityHostsWaitLonger(t *testing.T) {
	for _, c := range []struct {
		name  string
		own   float64
		known []float64
		fit   bool
		share float64
		delay time.Duration
	}{
		{"no host known, large", 1, nil, true, 1, 0},
		{"no host known, small", 0.25, nil, true, 1, 1500 * time.Millisecond},
		{"alone, small", 0.25, []float64{0.25}, true, 1, 1500 * time.Millisecond},
		{"all alike", 0.4, []float64{0.4, 0.4, 0.4}, true, 1, 0},
		{"small among large", 0.2, []float64{0.2, 0.8, 0.8, 0.2}, false, 0.5, 1500 * time.Millisecond},
		{"large among small", 0.8, []float64{0.8, 0.2, 0.2, 0.2}, true, 0.25, 0},
		{"nearly as large", 0.7, []float64{0.7, 0.8}, true, 1, 0},
		{"others report no capacity", 0.4, []float64{0.4, 0, 0, 0}, true, 0.25, 0},
	} {
		fit, share := fitness(c.own, c.known)
		if delay := capacityDelay(c.own, c.known); fit != c.fit || share != c.share || delay.Round(time.Millisecond) != c.delay {
			t.Errorf("%s: fit %v, share %v, waits %v longer; want %v, %v, %v", c.name, fit, share, delay, c.fit, c.share, c.delay)
		}
	}
}
