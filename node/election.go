package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronbridge/decide"
	"citronbridge/follow"
	"citronbridge/platform"
	"citronbridge/platform/advise"
	"citronbridge/platform/cloud"
	"citronbridge/pulse"
	"citronbridge/repo"
	"citronbridge/timer"
	"citronbridge/work"
)

// Timeouts and limits of the election of a pool's owner.
const (
	// electionInterval is how often a host checks whether a pool needs an owner.
	electionInterval = 100 * time.Millisecond
	// maxStagger is the longest extra delay, different for each host and pool, that keeps hosts
	// from trying to acquire a pool all at once. It is also the pause between a host's attempts.
	maxStagger = 250 * time.Millisecond
	// promptHosts is how many of the hosts that are fit to decide receive heartbeats without delay
	// and acquire pools first, standbyHosts how many of the unfit hosts do. The numbers are limited
	// because each heartbeat costs the store a call for each such host. All other hosts pause for
	// slowHeartbeatPause between two calls of the heartbeat feed.
	promptHosts        = 12
	standbyHosts       = 4
	slowHeartbeatPause = time.Second
	// maxCapacityDelay is how much longer than the best host a host without any capacity waits before
	// it acquires a pool. referenceCores is the assumed best capacity until other hosts are known.
	maxCapacityDelay = 2 * time.Second
	referenceCores   = 1.0
	// minFitShare is the least capacity of a host fit to decide, as a share of the best host's.
	minFitShare = 0.8
	// handoverDelay is how long a fit host receives the heartbeats of a decider on an unfit host
	// before it takes the pool over. The delay keeps pools from changing owners while hosts start.
	handoverDelay = 3 * time.Second
	// acquireTimeout bounds one attempt to acquire a pool.
	acquireTimeout = 2 * time.Second
)

// candidate is a pool that this host may own.
type candidate struct {
	pool      string
	acquiring bool          // an attempt to acquire the pool is in flight
	retryAt   time.Duration // the earliest time of the next attempt
	// ownerRead means that the owner row was read, unowned that the pool had none (see setUnowned).
	ownerRead, unowned bool
	// unconfirmed is the attempt to acquire the pool whose outcome isn't known.
	unconfirmed attempt
	decider     *decide.Decider // nil unless this host owns the pool
}

// attempt is an attempt to acquire a pool that was sent at a time. The zero value is none.
type attempt struct {
	owner repo.Owner
	sent  time.Duration
}

// notifyRules passes a configuration to the pool's decider, if it runs here.
func (c *candidate) notifyRules(r *work.Rules) {
	if c.decider != nil {
		c.decider.RulesChanged(r)
	}
}

// notifyBounds passes platform limits to the pool's decider, if it runs here.
func (c *candidate) notifyBounds(b platform.Bounds) {
	if c.decider != nil {
		c.decider.BoundsChanged(b)
	}
}

// followHeartbeats follows the heartbeats of all deciders until ctx ends.
func (h *Host) followHeartbeats(ctx context.Context) {
	handle := func(rows []repo.Row) {
		if err := h.heartbeats.Record(rows); err != nil {
			h.log.Error().Err(err).Msg("heartbeat of a decider can't be decoded; ignoring it")
		}
	}
	f := &follow.Follower{
		Store: h.store, Table: repo.TableHeartbeats, Wait: feedWait, Now: timer.SinceBoot, OnList: handle, OnChange: handle, OnConfirmed: h.heartbeats.RecordAnswer,
		Pause: h.heartbeatPause,
	}
	f.Run(ctx, 0)
}

// logOwnerChange logs that the heartbeats show another owner of a pool, or its release.
func (h *Host) logOwnerChange(c pulse.OwnerChange) {
	text := "heartbeats show another owner of the pool"
	if c.Released {
		text = "heartbeats show that the pool is released"
	}
	h.log.Info().Str("pool", c.Pool).Int64("epoch", c.Epoch).Str("owner", c.Owner).Int64("formerEpoch", c.FormerEpoch).Str("former", c.FormerOwner).Dur("silent", c.Silent).Msg(text)
}

// heartbeatPause returns how long this host pauses between two calls of the heartbeat feed.
// Of many hosts, only some, chosen by a hash of their names, receive heartbeats without delay.
func (h *Host) heartbeatPause() time.Duration {
	n := h.relay.HostCount()
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

// fitness reports whether a host with a capacity is fit to decide, compared to the best of the
// known capacities, and which share of the known hosts is. All capacities are in cores.
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

// capacityDelay returns how much longer than the best host a host with a capacity waits before it
// acquires a pool. A host that is too small for the load of a pool would lose work.
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

// elect starts an attempt to acquire each pool that needs another owner.
func (h *Host) elect(ctx context.Context, wg *sync.WaitGroup) {
	r := h.gate.Rules()
	if r == nil || h.leaving.Load() {
		return
	}
	// A host that pauses between its calls receives heartbeats late, so it waits longer before it
	// considers an owner unresponsive.
	timeout := repo.HeartbeatTimeout + 2*h.heartbeatPause()
	delay := capacityDelay(h.current().Capacity(), h.relay.Capacities())
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	for name := range h.poolsToDecide(r) {
		c := h.pools[name]
		if c == nil {
			c = &candidate{pool: name}
			h.pools[name] = c
		}
		if c.acquiring || c.decider != nil || timer.SinceBoot() < c.retryAt {
			continue
		}
		epoch := h.heartbeats.Epoch(name)
		unresponsiveFor, released := h.heartbeats.UnresponsiveFor(name)
		wait := timeout
		if released || c.unowned && epoch == 0 {
			wait = 0
		}
		stagger := time.Duration(xxhash.Sum64String(h.current().Host+"/"+name) % uint64(maxStagger))
		wait += delay + stagger
		handover := delay == 0 && h.heartbeats.WeakerFor(name, minFitShare*h.current().Capacity()) >= handoverDelay+stagger
		if c.ownerRead && c.unconfirmed == (attempt{}) && unresponsiveFor < wait && !handover {
			continue
		}
		c.acquiring = true
		wg.Add(1)
		go func() {
			defer wg.Done()
			if h.guard.Do("election", func() { h.tryAcquire(ctx, c, takeoverReason{unresponsiveFor >= wait, handover}, epoch) }) {
				h.finishAcquire(c, nil, false)
			}
		}()
	}
}

// poolsToDecide returns the pools that need a decider: those configured, and others that still have
// jobs or had a decider that hasn't retired them. The caller holds h.poolMu.
func (h *Host) poolsToDecide(r *work.Rules) map[string]bool {
	m := maps.Clone(h.openPools)
	for name := range r.Pools {
		m[name] = true
	}
	for _, name := range h.heartbeats.Open() {
		m[name] = true
	}
	return m
}

// jobElsewhere makes sure that a pool with an open job has a decider. Deciders of other pools on
// this host call it, as the configuration may not have the pool any more.
func (h *Host) jobElsewhere(pool string) {
	if r := h.gate.Rules(); r != nil && r.Pools[pool] != nil {
		return
	}
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	h.openPools[pool] = true
}

// takeoverReason says why a pool is to be taken over from its owner: the owner is
// unresponsive, or has less capacity than this host. The zero value is no reason.
type takeoverReason struct{ unresponsive, weaker bool }

// tryAcquire acquires a pool if a former process of this host owns it, or if v is a reason, which
// applies to owners up to epoch, the one of the last heartbeat received, and to unowned pools.
func (h *Host) tryAcquire(ctx context.Context, c *candidate, v takeoverReason, epoch int64) {
	d, ownerRead := h.acquire(ctx, c, v, epoch)
	if !h.finishAcquire(c, d, ownerRead) {
		// Without h.poolMu, as a decider that ends locks it in deciderEnded.
		d.Stop(ctx)
	}
}

// swapUnconfirmed replaces the attempt whose outcome isn't known, and returns the former one.
func (h *Host) swapUnconfirmed(c *candidate, a attempt) attempt {
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	former := c.unconfirmed
	c.unconfirmed = a
	return former
}

// setUnowned records whether a pool has never had an owner.
func (h *Host) setUnowned(c *candidate, unowned bool) {
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	c.unowned = unowned
}

// finishAcquire records the outcome of an attempt to acquire a pool, where d is nil
// if it failed. It returns false if d must be stopped because the host is leaving.
func (h *Host) finishAcquire(c *candidate, d *decide.Decider, ownerRead bool) bool {
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	c.acquiring = false
	c.ownerRead = c.ownerRead || ownerRead
	c.retryAt = timer.SinceBoot() + maxStagger
	switch {
	case d == nil:
		return true
	case h.leaving.Load():
		return false
	case !d.Running():
		// deciderEnded may have been called already.
		c.retryAt = timer.SinceBoot() + repo.HeartbeatTimeout
		return true
	}
	c.decider = d
	// Changes that came while the pool was being acquired reached no decider.
	d.EvacuationsChanged()
	d.RulesChanged(h.gate.Rules())
	d.BoundsChanged(h.current().Bounds)
	for _, w := range h.waves.sorted() {
		d.WaveRequested(w)
	}
	return true
}

// acquire tries to acquire a pool. It returns the pool's decider, nil if the pool
// wasn't acquired, and whether the owner row could be read.
func (h *Host) acquire(ctx context.Context, c *candidate, v takeoverReason, epoch int64) (*decide.Decider, bool) {
	pool := c.pool
	callCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	o, version, err := h.owners.Read(callCtx, pool)
	if err != nil {
		h.log.Warn().Err(err).Str("pool", pool).Msg("owner of the pool not read; retrying")
		return nil, false
	}
	if a := h.swapUnconfirmed(c, attempt{}); a != (attempt{}) && o == a.owner {
		// Until its decider runs, all hosts take the heartbeat that it wrote for one of an owner.
		h.log.Info().Str("pool", pool).Int64("epoch", o.Epoch).Msg("pool taken by an attempt whose answer was lost")
		return h.startDecider(ctx, pool, a, repo.ConfirmedOwnership(pool, version)), true
	}
	if o.Host != h.current().Host && (v == takeoverReason{} || o.Epoch > epoch) {
		// There is no reason for a takeover, or another host has just acquired
		// the pool and its first heartbeat hasn't been received yet.
		h.setUnowned(c, version == 0)
		return nil, true
	}
	// Read this before Acquire, which replaces the former decider's heartbeat by one of this host.
	former := decide.Predecessor{Owner: o, Stopped: version == 0 || o.Host == h.current().Host || h.heartbeats.Released(pool, o.Epoch)}
	silentFor, _ := h.heartbeats.UnresponsiveFor(pool)
	var heartbeat int64
	if !former.Stopped {
		heartbeat, former.HeartbeatAge, former.HeartbeatKnown = h.heartbeats.LastHeartbeat(pool, o.Epoch)
	}
	me := repo.Owner{Epoch: o.Epoch + 1, Host: h.current().Host, Boot: h.boot, FormerOrdersUntil: former.OrdersUntil(h.clock)}
	a := attempt{me, timer.SinceBoot()}
	ownership, err := h.owners.Acquire(callCtx, pool, me, version, heartbeat)
	if ownership == nil {
		if err != nil && !errors.Is(err, repo.ErrNotDone) {
			h.swapUnconfirmed(c, a)
		}
		h.log.Info().AnErr("cause", err).Str("pool", pool).Msg("pool not acquired; another host was first or the store failed")
		return nil, true
	}
	h.log.Info().Str("pool", pool).Int64("epoch", me.Epoch).Str("former", o.Host).Bool("silent", v.unresponsive).Dur("silentFor", silentFor).Bool("weak", v.weaker).Bool("gone", former.Stopped).Msg("pool taken")
	return h.startDecider(ctx, pool, a, ownership), true
}

// startDecider starts the decider of a pool that an attempt has acquired.
func (h *Host) startDecider(ctx context.Context, pool string, a attempt, o *repo.Ownership) *decide.Decider {
	return decide.Start(ctx, decide.Config{
		Machines: cloud.New(func() string { return h.current().Cloud.Address }),
		Pool:     pool, Owner: a.owner, Ownership: o, AcquiredAt: a.sent, Store: h.store, Clock: h.clock, Owners: h.owners, Workers: h.workers, Advisor: advise.New(func() string { return h.current().Advice }), Rules: h.gate.Rules, Evacuations: h.evacuations.sorted, ConfirmationAge: h.gate.Age, Bounds: h.current().Bounds, Cores: h.current().UsableCores(), Capacity: h.current().Capacity(), Stalls: h.stalls,
		Meter: h.meter, Log: h.log, JobElsewhere: h.jobElsewhere, Guard: h.guard, Ended: h.deciderEnded,
	})
}

// deciderEnded removes an ended decider. The pool may be acquired again after a heartbeat timeout.
func (h *Host) deciderEnded(d *decide.Decider) {
	if d.Retired() {
		// Not here, as Stop waits for the caller.
		go h.guard.Do("retirement", func() { d.Stop(context.Background()) })
	}
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	if d.Retired() {
		delete(h.openPools, d.Pool())
	}
	if c := h.pools[d.Pool()]; c != nil && c.decider == d {
		c.decider = nil
		c.retryAt = timer.SinceBoot() + repo.HeartbeatTimeout
	}
}

// releasePools stops all deciders of this host, which releases their pools to other hosts.
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
