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
	// electionInterval is how often a host looks whether a pool needs an owner.
	electionInterval = 100 * time.Millisecond
	// maxStagger spreads the hosts that would take a pool at once.
	maxStagger = 250 * time.Millisecond
	// promptHosts is how many of the hosts that are fit to decide hear heartbeats
	// at once and take pools first, as each heartbeat costs the store a call for
	// each of them. So do standbyHosts of the others. The rest hear of them every
	// farPause.
	promptHosts        = 12
	standbyHosts       = 4
	slowHeartbeatPause = time.Second
	// maxCapacityDelay is how much longer than the best host one without capacity waits
	// before it takes a pool; referenceCores is the best before others are known.
	maxCapacityDelay = 2 * time.Second
	referenceCores   = 1.0
	// minFitShare is the part of the best host's capacity that a host needs to be as
	// fit to decide.
	minFitShare = 0.8
	// handoverDelay is how long a host that is fit to decide hears a decider that
	// isn't before it takes the pool over: no decider changes while hosts start.
	handoverDelay = 3 * time.Second
	// acquireTimeout bounds a try to take a pool.
	acquireTimeout = 2 * time.Second
)

// candidate is a pool that this host may own.
type candidate struct {
	pool      string
	acquiring bool
	// retryAt is the earliest time of another try.
	retryAt time.Duration
	// ownerRead says that the owner's row was read once, free that there was none.
	ownerRead, unowned bool
	decider            *decide.Decider
}

// notifyRules passes a configuration on to the pool's decider, if it is here.
func (c *candidate) notifyRules(r *work.Rules) {
	if c.decider != nil {
		c.decider.RulesChanged(r)
	}
}

// notifyBounds passes changed bounds on to the pool's decider, if it is here.
func (c *candidate) notifyBounds(b platform.Bounds) {
	if c.decider != nil {
		c.decider.BoundsChanged(b)
	}
}

// followHeartbeats follows the heartbeats of the deciders.
func (h *Host) followHeartbeats(ctx context.Context) {
	handle := func(rows []repo.Row) {
		if err := h.heartbeats.Take(rows); err != nil {
			h.log.Error().Err(err).Msg("heartbeat can't be read")
		}
	}
	f := &follow.Follower{
		Store: h.store, Table: repo.TableHeartbeats, Wait: feedWait, Now: timer.Boot, Listed: handle, Changed: handle, Confirmed: h.heartbeats.Answered,
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
	fit, share := fitness(h.current().Capacity(), h.relay.Capacities())
	peers, prompt := float64(n)*share, uint64(promptHosts)
	if !fit {
		peers, prompt = float64(n)*(1-share), standbyHosts
	}
	if xxhash.Sum64String(h.current().Host)%max(uint64(peers), 1) < prompt {
		return 0
	}
	return slowHeartbeatPause
}

// fitness reports whether a host of a capacity is as fit to decide as the best
// of those that are known, and what share of these is.
func fitness(own float64, known []float64) (bool, float64) {
	if len(known) == 0 {
		return true, 1
	}
	best := max(own, slices.Max(known))
	n := 0
	for _, c := range known {
		if c >= minFitShare*best {
			n++
		}
	}
	return own >= minFitShare*best, float64(n) / float64(len(known))
}

// capacityDelay returns how much longer than the best host one of a capacity waits
// before it takes a pool: a host that can't carry it would lose work.
func capacityDelay(own float64, known []float64) time.Duration {
	best := referenceCores
	if len(known) > 1 {
		best = slices.Max(known)
	}
	if own >= minFitShare*best {
		return 0
	}
	return time.Duration(float64(maxCapacityDelay) * (1 - own/best))
}

// elect looks for pools that need an owner.
func (h *Host) elect(ctx context.Context, wg *sync.WaitGroup) {
	r := h.gate.Rules()
	if r == nil || h.leaving.Load() {
		return
	}
	// A host that looks later hears a heartbeat later, and stands back.
	timeout := repo.HeartbeatTimeout + 2*h.heartbeatPause()
	delay := capacityDelay(h.current().Capacity(), h.relay.Capacities())
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	for name := range r.Pools {
		c := h.pools[name]
		if c == nil {
			c = &candidate{pool: name}
			h.pools[name] = c
		}
		if c.acquiring || c.decider != nil || timer.Boot() < c.retryAt {
			continue
		}
		epoch := h.heartbeats.Epoch(name)
		silent, released := h.heartbeats.Silent(name)
		wait := timeout
		if released || c.unowned && epoch == 0 {
			wait = 0
		}
		stagger := time.Duration(xxhash.Sum64String(h.current().Host+"/"+name) % uint64(maxStagger))
		wait += delay + stagger
		handover := delay == 0 && h.heartbeats.Weaker(name, minFitShare*h.current().Capacity()) >= handoverDelay+stagger
		if c.ownerRead && silent < wait && !handover {
			continue
		}
		c.acquiring = true
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.tryAcquire(ctx, c, takeoverReason{silent >= wait, handover}, epoch)
		}()
	}
}

// takeoverReason says why a pool's owner is to be followed by another: it is silent, or
// weaker than this host.
type takeoverReason struct{ unresponsive, weaker bool }

// tryAcquire takes a pool if a former process of this host owns it, or if its owner
// is to go: that of an epoch, or one before, or nobody.
func (h *Host) tryAcquire(ctx context.Context, c *candidate, v takeoverReason, epoch int64) {
	d, ownerRead := h.acquire(ctx, c, v, epoch)
	if !h.finishAcquire(c, d, ownerRead) {
		// Not under the lock: a decider that ends takes it.
		d.Stop(ctx)
	}
}

// setUnowned notes whether a pool has had no owner yet.
func (h *Host) setUnowned(c *candidate, free bool) {
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	c.unowned = free
}

// finishAcquire notes what came of a try to take a pool. It returns false if there is a
// decider that must stop, as the host leaves.
func (h *Host) finishAcquire(c *candidate, d *decide.Decider, ownerRead bool) bool {
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	c.acquiring = false
	c.ownerRead = c.ownerRead || ownerRead
	c.retryAt = timer.Boot() + maxStagger
	switch {
	case d == nil:
		return true
	case h.leaving.Load():
		return false
	}
	c.decider = d
	// What changed while the pool was taken was told to nobody.
	d.RulesChanged(h.gate.Rules())
	d.BoundsChanged(h.current().Bounds)
	for _, w := range h.waves.sorted() {
		d.WaveRequested(w)
	}
	return true
}

// acquire returns the decider of a pool that was taken, and whether the owner's
// row could be read.
func (h *Host) acquire(ctx context.Context, c *candidate, v takeoverReason, epoch int64) (*decide.Decider, bool) {
	pool := c.pool
	callCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	o, version, err := h.owners.Read(callCtx, pool)
	if err != nil {
		h.log.Warn().Err(err).Str("pool", pool).Msg("owner can't be read")
		return nil, false
	}
	if o.Host != h.current().Host && (v == takeoverReason{} || o.Epoch > epoch) {
		// An owner that wasn't heard yet has just taken the pool, or hosts that
		// are fitter to decide go first.
		h.setUnowned(c, version == 0)
		return nil, true
	}
	// Before this host's own heartbeat covers that of the former decider.
	stopped := o.Host == h.current().Host || h.heartbeats.Left(pool, o.Epoch)
	me := repo.Owner{Epoch: o.Epoch + 1, Host: h.current().Host, Boot: h.boot}
	ownership, err := h.owners.Take(callCtx, pool, me, version)
	if ownership == nil {
		h.log.Info().AnErr("cause", err).Str("pool", pool).Msg("pool not taken")
		return nil, true
	}
	h.log.Info().Str("pool", pool).Int64("epoch", me.Epoch).Str("former", o.Host).Bool("silent", v.unresponsive).Bool("weak", v.weaker).Bool("gone", stopped).Msg("pool taken")
	return decide.Start(ctx, decide.Config{
		Machines: cloud.New(h.current().Cloud.Address),
		Pool:     pool, Owner: me, Ownership: ownership, PredecessorStopped: stopped, Store: h.store, Clock: h.clock, Owners: h.owners, Workers: h.workers, Advisor: advise.New(h.current().Advice), Rules: h.gate.Rules, Bounds: h.current().Bounds, Cores: h.current().Processor(), Capacity: h.current().Capacity(), Stalls: h.stalls,
		Meter: h.meter, Log: h.log, Ended: h.deciderEnded,
	}), true
}

// deciderEnded takes a pool's decider out.
func (h *Host) deciderEnded(d *decide.Decider) {
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	if c := h.pools[d.Pool()]; c != nil && c.decider == d {
		c.decider = nil
		c.retryAt = timer.Boot() + repo.HeartbeatTimeout
	}
}

// releasePools hands all pools over to other hosts.
func (h *Host) releasePools(ctx context.Context) {
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
