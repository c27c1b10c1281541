// Package relay sends calls to the table service through other hosts while the table
// service is unavailable to this host.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/budget"
	"citronbridge/fault"
	"citronbridge/guard"
	"citronbridge/hosts"
	"citronbridge/repo"
	"citronbridge/wire"
)

// Times and limits of a Relay.
const (
	// Calls fail over to peers after failoverFailures direct calls in a row have failed
	// and none was answered for failoverAfter. Both are needed, as single answers get
	// lost, and sometimes several at once.
	failoverFailures = 2
	failoverAfter    = 300 * time.Millisecond
	// probeInterval is the wait between checks whether the table service answers this
	// host again.
	probeInterval = 400 * time.Millisecond
	// probeTimeout limits one such check.
	probeTimeout = time.Second
	// peerBackoff is how long a peer that couldn't relay a call is not used again.
	peerBackoff = 300 * time.Millisecond
	// maxPeers limits the peers that one call is tried with.
	maxPeers = 3
	// callTimeout limits a call through a peer, in addition to the time that the call
	// itself waits for a change.
	callTimeout = 700 * time.Millisecond
	// firstPollSpread spreads the hosts' first polls of the list of hosts. secondPollDelay
	// and pollInterval are the waits before the second and the later ones: hosts that
	// start together see each other at the second poll.
	firstPollSpread = time.Second
	secondPollDelay = 2 * time.Second
	pollInterval    = 15 * time.Second
	// maxKnownHosts limits the hosts that are read from the list.
	maxKnownHosts = 24
)

// Config configures a Relay.
type Config struct {
	// Host is the name of this host.
	Host string
	// Direct is the client of the table service.
	Direct repo.Store
	// Capacity is the processing capacity that this host has for decisions, in cores.
	Capacity float64
	// Listener accepts connections of other hosts. If it is nil this host relays no
	// calls and is not listed.
	Listener net.Listener
	// Seeds are addresses of peers to use before the list of hosts was read.
	Seeds []string
	Log   zerolog.Logger
	// Guard contains panics in calls of other hosts.
	Guard *guard.Guard
	// Calls bounds the bytes of other hosts' calls; nil for no bound.
	Calls *budget.Pool
	// OnRefused, if set, is called for each call of another host that is refused under load.
	OnRefused func(reason string)
	// OnRelayed, if set, is called with the outcome of each call through a peer.
	OnRelayed func(outcome string)
}

// Check returns all faults of the configuration.
func (c *Config) Check() fault.List {
	var l fault.List
	l.Check(c.Host != "", "Host", c.Host, "the name of the host")
	l.Check(c.Direct != nil, "Direct", nil, "a table service")
	for _, s := range c.Seeds {
		_, err := netip.ParseAddrPort(s)
		l.Check(err == nil, "Seeds", s, "an IP number and a port")
	}
	return l
}

// Relay is a repo.Store that calls the table service directly while it answers this host,
// and otherwise through peers that can reach it.
type Relay struct {
	c Config

	mu sync.Mutex
	// failures counts the direct calls that failed in a row, lastAnswer is the time of
	// the last one that succeeded. failedOver is set while calls go through peers.
	failures   int
	lastAnswer time.Time
	failedOver bool
	probing    bool
	// inFlight holds the calls that have no answer yet, direct ones and those through
	// peers.
	inFlight map[*inFlightCall]bool
	peers    []*peer
	// preferred is the index of the peer that is tried first.
	preferred int
	// hostCount is the number of hosts, 0 before the list was read. capacities are those
	// of the known hosts, in cores.
	hostCount  int
	capacities []float64
	// ctx is the context of the probes, which may start before Run is called. It ends
	// with Run.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

var _ repo.Store = (*Relay)(nil)

// New returns a Relay. Calls work at once; Run is needed to find and serve other hosts.
func New(c Config) (*Relay, error) {
	if c.OnRelayed == nil {
		c.OnRelayed = func(string) {}
	}
	if c.OnRefused == nil {
		c.OnRefused = func(string) {}
	}
	if c.Calls == nil {
		c.Calls = budget.New(budget.Config{Limit: 1 << 62})
	}
	if err := c.Check().Err(); err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{c: c, inFlight: map[*inFlightCall]bool{}}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	for _, s := range c.Seeds {
		r.addPeer("", s)
	}
	return r, nil
}

// Run relays calls of other hosts and keeps the list of peers current until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, r.cancel)()
	if r.c.Listener != nil {
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.accept(ctx)
		}()
	}
	r.pollHosts(ctx)
	r.cancel()
	if r.c.Listener != nil {
		r.c.Listener.Close()
	}
	r.mu.Lock()
	for _, p := range r.peers {
		p.close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// FailedOver reports whether the table service is unavailable to this host, so that calls
// go through peers.
func (r *Relay) FailedOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failedOver
}

// Apply implements repo.Store.
func (r *Relay) Apply(ctx context.Context, c repo.Change) (repo.Result, error) {
	if a, ok, err := r.callViaPeers(ctx, encodeChange(c), 0); ok {
		if err != nil {
			return repo.Result{}, fmt.Errorf("apply change: %w", err)
		}
		res := repo.Result{Applied: a.Applied, Version: a.Version, Now: storeClock(a)}
		if !a.Applied {
			res.Current = decodeRows(a.Rows)
		}
		return res, nil
	}
	return r.applyDirect(ctx, c)
}

// List implements repo.Store.
func (r *Relay) List(ctx context.Context, table, partition, from string, limit int) (repo.Page, error) {
	q := &wire.StoreCall{Body: &wire.StoreCall_List{List: &wire.StoreList{Table: table, Part: partition, From: from, Limit: int64(limit)}}}
	if a, ok, err := r.callViaPeers(ctx, q, 0); ok {
		return decodePage(a, err)
	}
	return r.listDirect(ctx, table, partition, from, limit)
}

// Feed implements repo.Store.
func (r *Relay) Feed(ctx context.Context, table string, after int64, wait time.Duration) (repo.Page, error) {
	q := &wire.StoreCall{Body: &wire.StoreCall_Feed{Feed: &wire.StoreFeed{Table: table, After: after, WaitMilliseconds: wait.Milliseconds()}}}
	if a, ok, err := r.callViaPeers(ctx, q, wait); ok {
		return decodePage(a, err)
	}
	return r.feedDirect(ctx, table, after, wait)
}

// recordOutcome records whether the table service answered a direct call, and fails over or
// back accordingly.
func (r *Relay) recordOutcome(ctx context.Context, err error) {
	if ctx.Err() != nil && err != nil {
		// The caller's context has ended, which says nothing about the table service.
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil || errors.Is(err, repo.ErrHistoryGone) {
		if r.failedOver {
			r.c.Log.Info().Msg("table service is available to this host again; calling it directly")
			r.cancelStale()
		}
		r.failures, r.failedOver, r.lastAnswer = 0, false, time.Now()
		return
	}
	r.failures++
	if !r.failedOver && r.failures >= failoverFailures && time.Since(r.lastAnswer) >= failoverAfter {
		r.failedOver = true
		r.c.Log.Warn().Err(err).Int("peers", len(r.peers)).Msg("table service is unavailable to this host; failing over to peers")
	}
	if r.failedOver && !r.probing && r.ctx.Err() == nil {
		r.probing = true
		r.wg.Add(1)
		go r.probe(r.ctx)
	}
}

// probe calls the table service directly until it answers this host again.
func (r *Relay) probe(ctx context.Context) {
	defer r.wg.Done()
	for r.continueProbing(ctx) {
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
		c, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := r.c.Direct.List(c, hosts.Table, hosts.Partition, "", 1)
		cancel()
		if err == nil {
			r.recordOutcome(ctx, nil)
		}
	}
}

// continueProbing reports whether probe has to go on. It clears probing under the lock, so
// that a failover right after it starts a new probe.
func (r *Relay) continueProbing(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probing = r.failedOver && ctx.Err() == nil
	return r.probing
}

// callViaPeers makes a call through a peer while this host has failed over. It returns false
// if direct calls work, no peer could be reached, or none can reach the table service;
// then the call has had no effect. After an ambiguous outcome no further peer is tried.
func (r *Relay) callViaPeers(ctx context.Context, q *wire.StoreCall, wait time.Duration) (*wire.StoreAnswer, bool, error) {
	for _, p := range r.availablePeers() {
		inner, c := r.track(ctx)
		a, err := p.call(inner, q, wait)
		r.untrack(c)
		switch {
		case errors.Is(err, errNotSent), err == nil && a.Outcome == wire.StoreAnswer_NOT_DONE:
			r.c.OnRelayed("Refused")
			p.backOff()
		case err != nil:
			r.c.OnRelayed("NoAnswer")
			p.backOff()
			return nil, true, fmt.Errorf("relay through peer %s: %w", p.address, err)
		default:
			r.c.OnRelayed(a.Outcome.String())
			r.prefer(p)
			return a, true, answerError(a)
		}
		if ctx.Err() != nil {
			return nil, true, fmt.Errorf("relay through peers: %w: %w", repo.ErrNotDone, ctx.Err())
		}
	}
	return nil, false, nil
}

// availablePeers returns up to maxPeers peers to try, the preferred one first. It returns
// none while the table service answers this host.
func (r *Relay) availablePeers() []*peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failedOver {
		return nil
	}
	var l []*peer
	for i := range r.peers {
		p := r.peers[(r.preferred+i)%len(r.peers)]
		if p.available() {
			l = append(l, p)
		}
		if len(l) == maxPeers {
			break
		}
	}
	return l
}

// prefer makes a peer that relayed a call the first to be tried by the next calls.
func (r *Relay) prefer(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, o := range r.peers {
		if o == p {
			r.preferred = i
		}
	}
}
