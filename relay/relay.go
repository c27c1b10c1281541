// Package relay carries calls of the table service through other hosts while
// the table service rejects this one.
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

	"citronbridge/fault"
	"citronbridge/hosts"
	"citronbridge/repo"
	"citronbridge/wire"
)

// Times and limits of a Relay.
const (
	// failoverFailures is how many calls in a row must fail, and lostFor how long none
	// may have been answered, before others are asked: answers may be lost, and
	// several at once.
	failoverFailures = 2
	failoverAfter    = 300 * time.Millisecond
	// probeInterval is kept between looks whether the table service answers this
	// host again.
	probeInterval = 400 * time.Millisecond
	// probeTimeout bounds one look.
	probeTimeout = time.Second
	// peerBackoff is how long a host that couldn't help isn't asked again.
	peerBackoff = 300 * time.Millisecond
	// maxPeers bounds the hosts that one call is offered to.
	maxPeers = 3
	// callTimeout bounds a call through another host, beside its wait.
	callTimeout = 700 * time.Millisecond
	// firstPollSpread spreads the first looks at the list of hosts, secondLook
	// and listPeriod say when it is read again: hosts that start together see
	// each other at the second look.
	firstPollSpread = time.Second
	secondPollDelay = 2 * time.Second
	pollInterval    = 15 * time.Second
	// maxKnownHosts bounds the hosts that a host knows of.
	maxKnownHosts = 24
)

// Config is what a Relay needs.
type Config struct {
	Host string
	// Direct is the table service itself.
	Direct repo.Store
	// Capacity is what this host has to decide with, in cores.
	Capacity float64
	// Listener takes the calls of other hosts. It may be nil.
	Listener net.Listener
	// Seeds are addresses of hosts to ask before the list of hosts is known.
	Seeds []string
	Log   zerolog.Logger
	// OnRelayed, if set, counts calls through other hosts by what came of them.
	OnRelayed func(outcome string)
}

// Check returns every fault of the configuration.
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

// Relay is the table service as a host sees it: directly while it answers,
// and else through hosts that it answers.
type Relay struct {
	c Config

	mu sync.Mutex
	// failures counts direct calls that failed in a row, answered is when one
	// last didn't, lost says that others are asked.
	failures   int
	lastAnswer time.Time
	failedOver bool
	probing    bool
	// inFlight are under way, directly or through other hosts.
	inFlight map[*inFlightCall]bool
	peers    []*peer
	// preferred is the peer that is asked first.
	preferred int
	// hostCount is how many hosts there are, capacities those of the known ones.
	hostCount  int
	capacities []float64
	// ctx ends with Run. Probes may begin before it.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

var _ repo.Store = (*Relay)(nil)

// New returns a Relay. Run drives it.
func New(c Config) (*Relay, error) {
	if c.OnRelayed == nil {
		c.OnRelayed = func(string) {}
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

// Run serves other hosts and keeps the list of them until ctx ends.
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

// FailedOver reports whether the table service is unavailable to this host.
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
func (r *Relay) List(ctx context.Context, table, part, from string, limit int) (repo.Page, error) {
	q := &wire.StoreCall{Body: &wire.StoreCall_List{List: &wire.StoreList{Table: table, Part: part, From: from, Limit: int64(limit)}}}
	if a, ok, err := r.callViaPeers(ctx, q, 0); ok {
		return decodePage(a, err)
	}
	return r.listDirect(ctx, table, part, from, limit)
}

// Feed implements repo.Store.
func (r *Relay) Feed(ctx context.Context, table string, after int64, wait time.Duration) (repo.Page, error) {
	q := &wire.StoreCall{Body: &wire.StoreCall_Feed{Feed: &wire.StoreFeed{Table: table, After: after, WaitMilliseconds: wait.Milliseconds()}}}
	if a, ok, err := r.callViaPeers(ctx, q, wait); ok {
		return decodePage(a, err)
	}
	return r.feedDirect(ctx, table, after, wait)
}

// recordOutcome takes in how a direct call came out.
func (r *Relay) recordOutcome(ctx context.Context, err error) {
	if ctx.Err() != nil && err != nil {
		// The caller gave up: that says nothing of the table service.
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil || errors.Is(err, repo.ErrHistoryGone) {
		if r.failedOver {
			r.c.Log.Info().Msg("table service is available to this host again")
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

// probe looks whether the table service answers this host until it does.
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

// continueProbing reports whether a probe goes on. It ends under the lock, so that
// a loss right behind it begins another.
func (r *Relay) continueProbing(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probing = r.failedOver && ctx.Err() == nil
	return r.probing
}

// callViaPeers makes a call through another host. It reports false if none could
// be asked or nobody can reach the table service.
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
			return nil, true, fmt.Errorf("through host at %s: %w", p.address, err)
		default:
			r.c.OnRelayed(a.Outcome.String())
			r.prefer(p)
			return a, true, answerError(a)
		}
		if ctx.Err() != nil {
			return nil, true, fmt.Errorf("through other hosts: %w: %w", repo.ErrNotDone, ctx.Err())
		}
	}
	return nil, false, nil
}

// availablePeers returns the hosts to ask, none while the table service answers.
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

// prefer makes a host that helped the first to be asked.
func (r *Relay) prefer(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, o := range r.peers {
		if o == p {
			r.preferred = i
		}
	}
}
