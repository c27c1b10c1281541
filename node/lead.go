package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronbridge/decide"
	"citronbridge/follow"
	"citronbridge/platform"
	"citronbridge/platform/advise"
	"citronbridge/platform/cloud"
	"citronbridge/repo"
	"citronbridge/timer"
	"citronbridge/work"
)

// Times of elections.
const (
	// electPeriod is how often a host looks whether a pool needs an owner.
	electPeriod = 100 * time.Millisecond
	// stagger spreads the hosts that would take a pool at once.
	stagger = 250 * time.Millisecond
	// promptHosts is how many of the hosts that are fit to decide hear heartbeats
	// at once and take pools first, as each heartbeat costs the store a call for
	// each of them. So do standbyHosts of the others. The rest hear of them every
	// farPause.
	promptHosts  = 12
	standbyHosts = 4
	farPause     = time.Second
	// weakPause is how much longer than the best host one without capacity waits
	// before it takes a pool; referenceCores is the best before others are known.
	weakPause      = 2 * time.Second
	referenceCores = 1.0
	// fitShare is the part of the best host's capacity that a host needs to be as
	// fit to decide.
	fitShare = 0.8
	// handoverAfter is how long a host that is fit to decide hears a decider that
	// isn't before it takes the pool over: no decider changes while hosts start.
	handoverAfter = 3 * time.Second
	// electTimeout bounds a try to take a pool.
	electTimeout = 2 * time.Second
)

// candidate is a pool that this host may own.
type candidate struct {
	pool string
	busy bool
	// next is the earliest time of another try.
	next time.Duration
	// looked says that the owner's row was read once, free that there was none.
	looked, free bool
	decider      *decide.Decider
}

// tellRules passes a configuration on to the pool's decider, if it is here.
func (c *candidate) tellRules(r *work.Rules) {
	if c.decider != nil {
		c.decider.RulesChanged(r)
	}
}

// tellBounds passes changed bounds on to the pool's decider, if it is here.
func (c *candidate) tellBounds(b platform.Bounds) {
	if c.decider != nil {
		c.decider.BoundsChanged(b)
	}
}

// followHeartbeats follows the heartbeats of the deciders.
func (h *Host) followHeartbeats(ctx context.Context) {
	take := func(rows []repo.Row) {
		if err := h.heartbeats.Take(rows); err != nil {
			h.log.Error().Err(err).Msg("heartbeat can't be read")
		}
	}
	f := &follow.Follower{
		Store: h.store, Table: repo.TableHeartbeats, Wait: feedWait, Now: timer.Boot, Listed: take, Changed: take, Confirmed: h.heartbeats.Answered,
		Pause: h.heartbeatPause,
	}
	f.Run(ctx, 0)
}

// heartbeatPause is how long this host waits between looks at heartbeats: where
// there are many hosts, some of them that a hash chooses hear them at once.
func (h *Host) heartbeatPause() time.Duration {
	n := h.relay.Total()
	if n <= promptHosts {
		return 0
	}
	fit, share := standing(h.now().Capacity(), h.relay.Capacities())
	of, prompt := float64(n)*share, uint64(promptHosts)
	if !fit {
		of, prompt = float64(n)*(1-share), standbyHosts
	}
	if xxhash.Sum64String(h.now().Host)%max(uint64(of), 1) < prompt {
		return 0
	}
	return farPause
}

// standing reports whether a host of a capacity is as fit to decide as the best
// of those that are known, and what share of these is.
func standing(own float64, known []float64) (bool, float64) {
	if len(known) == 0 {
		return true, 1
	}
	best := max(own, slices.Max(known))
	n := 0
	for _, c := range known {
		if c >= fitShare*best {
			n++
		}
	}
	return own >= fitShare*best, float64(n) / float64(len(known))
}

// weakness returns how much longer than the best host one of a capacity waits
// before it takes a pool: a host that can't carry it would lose work.
func weakness(own float64, known []float64) time.Duration {
	best := referenceCores
	if len(known) > 1 {
		best = slices.Max(known)
	}
	if own >= fitShare*best {
		return 0
	}
	return time.Duration(float64(weakPause) * (1 - own/best))
}

// elect looks for pools that need an owner.
func (h *Host) elect(ctx context.Context, wg *sync.WaitGroup) {
	r := h.gate.Rules()
	if r == nil || h.leaving.Load() {
		return
	}
	// A host that looks later hears a heartbeat later, and stands back.
	patience := repo.HeartbeatTimeout + 2*h.heartbeatPause()
	weak := weakness(h.now().Capacity(), h.relay.Capacities())
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	for name := range r.Pools {
		c := h.pools[name]
		if c == nil {
			c = &candidate{pool: name}
			h.pools[name] = c
		}
		if c.busy || c.decider != nil || timer.Boot() < c.next {
			continue
		}
		epoch := h.heartbeats.Epoch(name)
		silent, left := h.heartbeats.Silent(name)
		wait := patience
		if left || c.free && epoch == 0 {
			wait = 0
		}
		spread := time.Duration(xxhash.Sum64String(h.now().Host+"/"+name) % uint64(stagger))
		wait += weak + spread
		over := weak == 0 && h.heartbeats.Weaker(name, fitShare*h.now().Capacity()) >= handoverAfter+spread
		if c.looked && silent < wait && !over {
			continue
		}
		c.busy = true
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.tryTake(ctx, c, vacancy{silent >= wait, over}, epoch)
		}()
	}
}

// vacancy says why a pool's owner is to be followed by another: it is silent, or
// weaker than this host.
type vacancy struct{ silent, weak bool }

// tryTake takes a pool if a former process of this host owns it, or if its owner
// is to go: that of an epoch, or one before, or nobody.
func (h *Host) tryTake(ctx context.Context, c *candidate, v vacancy, epoch int64) {
	d, looked := h.take(ctx, c, v, epoch)
	if !h.keep(c, d, looked) {
		// Not under the lock: a decider that ends takes it.
		d.Stop(ctx)
	}
}

// setFree notes whether a pool has had no owner yet.
func (h *Host) setFree(c *candidate, free bool) {
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	c.free = free
}

// keep notes what came of a try to take a pool. It returns false if there is a
// decider that must stop, as the host leaves.
func (h *Host) keep(c *candidate, d *decide.Decider, looked bool) bool {
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	c.busy = false
	c.looked = c.looked || looked
	c.next = timer.Boot() + stagger
	switch {
	case d == nil:
		return true
	case h.leaving.Load():
		return false
	}
	c.decider = d
	// What changed while the pool was taken was told to nobody.
	d.RulesChanged(h.gate.Rules())
	d.BoundsChanged(h.now().Bounds)
	for _, w := range h.waves.list() {
		d.WaveAsked(w)
	}
	return true
}

// take returns the decider of a pool that was taken, and whether the owner's
// row could be read.
func (h *Host) take(ctx context.Context, c *candidate, v vacancy, epoch int64) (*decide.Decider, bool) {
	pool := c.pool
	ctx2, cancel := context.WithTimeout(ctx, electTimeout)
	defer cancel()
	o, version, err := h.owners.Read(ctx2, pool)
	if err != nil {
		h.log.Warn().Err(err).Str("pool", pool).Msg("owner can't be read")
		return nil, false
	}
	if o.Host != h.now().Host && (v == vacancy{} || o.Epoch > epoch) {
		// An owner that wasn't heard yet has just taken the pool, or hosts that
		// are fitter to decide go first.
		h.setFree(c, version == 0)
		return nil, true
	}
	// Before this host's own heartbeat covers that of the former decider.
	gone := o.Host == h.now().Host || h.heartbeats.Left(pool, o.Epoch)
	me := repo.Owner{Epoch: o.Epoch + 1, Host: h.now().Host, Boot: h.boot}
	ownership, err := h.owners.Take(ctx2, pool, me, version)
	if ownership == nil {
		h.log.Info().AnErr("cause", err).Str("pool", pool).Msg("pool not taken")
		return nil, true
	}
	h.log.Info().Str("pool", pool).Int64("epoch", me.Epoch).Str("former", o.Host).Bool("silent", v.silent).Bool("weak", v.weak).Bool("gone", gone).Msg("pool taken")
	return decide.Go(ctx, decide.Config{
		Machines: cloud.New(h.now().Cloud.Address),
		Pool:     pool, Owner: me, Ownership: ownership, Gone: gone, Store: h.store, Clock: h.clock, Owners: h.owners, Workers: h.calls, Advisor: advise.New(h.now().Advice), Rules: h.gate.Rules, Bounds: h.now().Bounds, Processor: h.now().UsableCores(), Capacity: h.now().Capacity(), Stalls: h.stalls,
		Meter: h.meter, Log: h.log, Lost: h.lost,
	}), true
}

// lost takes a pool's decider out.
func (h *Host) lost(d *decide.Decider) {
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	if c := h.pools[d.Pool()]; c != nil && c.decider == d {
		c.decider = nil
		c.next = timer.Boot() + repo.HeartbeatTimeout
	}
}

// giveUp hands all pools over to other hosts.
func (h *Host) giveUp(ctx context.Context) {
	h.poolMu.Lock()
	var l []*decide.Decider
	for _, c := range h.pools {
		if c.decider != nil {
			l = append(l, c.decider)
		}
	}
	h.poolMu.Unlock()
	for _, d := range l {
		d.Stop(ctx)
	}
}
