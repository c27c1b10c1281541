// Package host assembles the components of one host of the scheduler and runs them.
package host

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/admin"
	"citronbridge/blobs"
	"citronbridge/certs"
	"citronbridge/claims"
	"citronbridge/config"
	"citronbridge/conns"
	"citronbridge/entry"
	"citronbridge/fleet"
	"citronbridge/ledger"
	"citronbridge/memory"
	"citronbridge/meter"
	"citronbridge/peers"
	"citronbridge/retry"
	"citronbridge/route"
	"citronbridge/rules"
	"citronbridge/setup"
	"citronbridge/table"
	"citronbridge/timer"
	"citronbridge/wire"
)

// Limits of the HTTP server, and the timeout of connecting to another host.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	idleTimeout       = 2 * time.Minute
	dialTimeout       = time.Second
)

// Host is one host of the scheduler. It serves callers over HTTP, exchanges
// heartbeats and calls with the other hosts, and decides for the cells it holds.
type Host struct {
	settings      *config.Settings
	log           zerolog.Logger
	timer         *timer.Service
	meter         *meter.Set
	revisions     *rules.RevisionCache
	revisionStore *rules.RevisionStore
	view          *fleet.View
	mesh          *peers.Mesh
	claims        *claims.Manager
	route         *route.Router
	api           *entry.Server
	httpServer    *http.Server
	httpListener  net.Listener
	peerListener  net.Listener
	// httpConns is the listener for callers below TLS, which limits their connections.
	httpConns *conns.Listener
	// tlsConns is the listener for callers above TLS, which limits header lines. It is nil without
	// TLS.
	tlsConns *conns.Listener
	limits   limits
	closed   *closeLog

	// manifestPolled is true once the table service has answered a read of the
	// manifest, even if it stores none yet.
	manifestPolled atomic.Bool
	// leaving is true once a planned stop hands the cells over.
	leaving atomic.Bool
	// lastStoreAnswer is when a call of the table service last got an answer, in
	// Unix nanoseconds.
	lastStoreAnswer atomic.Int64
	// certs is nil if connections aren't encrypted.
	certs *certs.Store
	// draining is closed when a planned stop begins, stopped when Run returns.
	draining  chan struct{}
	drainOnce sync.Once
	stopped   chan struct{}
}

// New returns a Host whose listeners are open. Other hosts may connect at once,
// while HTTP requests are served only after Run is called.
func New(s *config.Settings, log zerolog.Logger) (*Host, error) {
	h := &Host{
		settings: s, log: log.With().Str("host", s.Host).Logger(), timer: timer.New(), meter: meter.New(), revisions: rules.NewRevisionCache(),
		draining: make(chan struct{}), stopped: make(chan struct{}),
	}
	memory.SetLimit(int64(s.Limits.Memory))
	h.limits = newLimits(s.Limits)
	h.closed = newCloseLog(h.log, "connections closed for a limit")
	var err error
	if h.httpListener, err = net.Listen("tcp", s.HTTPAddress); err != nil {
		return nil, fmt.Errorf("listen for callers over HTTP: %w", err)
	}
	h.httpListener = h.limitHTTP(h.httpListener)
	if h.peerListener, err = net.Listen("tcp", s.PeerAddress); err != nil {
		h.httpListener.Close()
		return nil, fmt.Errorf("listen for other hosts: %w", err)
	}
	if err := h.enableTLS(); err != nil {
		h.httpListener.Close()
		h.peerListener.Close()
		return nil, err
	}
	if err := h.build(); err != nil {
		h.httpListener.Close()
		h.peerListener.Close()
		return nil, err
	}
	return h, nil
}

// enableTLS loads the certificates and wraps both listeners in TLS if the
// settings name certificate files.
func (h *Host) enableTLS() error {
	if !h.settings.TLSEnabled() {
		return nil
	}
	var err error
	if h.certs, err = certs.Load(h.settings.TLS); err != nil {
		return err
	}
	h.httpListener = h.limitHeaders(tls.NewListener(h.httpListener, h.certs.ServerConfig()))
	h.peerListener = tls.NewListener(h.peerListener, h.certs.PeerServerConfig())
	return nil
}

// dial connects to the peer address of another host, over TLS if certificates
// are configured.
func (h *Host) dial(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	if h.certs == nil {
		return d.DialContext(ctx, "tcp", address)
	}
	t := &tls.Dialer{NetDialer: d, Config: h.certs.PeerClientConfig()}
	return t.DialContext(ctx, "tcp", address)
}

// HTTPAddress returns the address that serves callers.
func (h *Host) HTTPAddress() string { return h.httpListener.Addr().String() }

// PeerAddress returns the address that serves other hosts.
func (h *Host) PeerAddress() string { return h.peerListener.Addr().String() }

// newGuard returns the retry policy and circuit breaker of one platform service,
// limited to calls per second (0 for the default of package retry).
func (h *Host) newGuard(name string, calls int) *retry.Guard {
	return retry.New(retry.Config{Name: name, CallsPerSecond: calls, OnStateChange: func(name, state string) {
		open := 0.0
		if state == "open" {
			open = 1
		}
		h.meter.Breaker.WithLabelValues(name).Set(open)
		h.log.Warn().Str("service", name).Str("state", state).Msg("circuit breaker changed state")
	}})
}

// build creates the components and connects them.
func (h *Host) build() error {
	store := table.NewClient(h.settings.Platform.Table, h.newGuard("table", h.settings.Store.CallsPerSecond), func(call, result string) {
		h.meter.StoreCalls.WithLabelValues(call, result).Inc()
		if result != "Failed" {
			h.lastStoreAnswer.Store(h.timer.Now().UnixNano())
		}
	})
	records := ledger.New(store, table.NewBatcher(store))
	h.revisionStore = rules.NewRevisionStore(store)
	objects := blobs.NewClient(h.settings.Platform.Objects, h.newGuard("objects", 0))
	h.view = fleet.NewView(fleet.NewClient(h.settings.Platform.Hosts, h.newGuard("hosts", 0)))
	h.view.OnMalformed = func(n int) { h.meter.Malformed.WithLabelValues("HostList").Add(float64(n)) }
	var err error
	h.claims, err = claims.New(setup.Config{
		Host: h.settings.Host, DataCentre: h.settings.DataCentre, Records: records, Objects: objects, Hosts: h.view, Revisions: h.revisions, Timer: h.timer,
		Meter: h.meter, Log: h.log, LivePeers: h.liveHosts, Storeless: h.storeless, Connect: setup.ConnectHTTP, NotifyMoved: h.notifyDecider, Policy: h.settings.Policy, Bounds: h.settings.Bounds.DeciderBounds(),
	})
	if err != nil {
		return err
	}
	h.route = &route.Router{Claims: h.claims, Jobs: records, Revisions: h.revisions, Now: h.timer.Now}
	h.mesh, err = peers.New(peers.Config{
		Host: h.settings.Host, Listener: h.peerListener, Dial: h.dial, Heartbeat: h.heartbeat, Handler: h.route.Handle, OnChange: h.handlePeerChange,
		Period: h.settings.Bounds.Heartbeat.D(), Timeout: h.settings.Bounds.HeartbeatTimeout.D(),
		OnMalformed: func() { h.meter.Malformed.WithLabelValues("Peer").Inc() },
		OnCall:      func(call, result string) { h.meter.PeerCalls.WithLabelValues(call, result).Inc() },
		Budget:      h.newPool(kindHost, listenerPeer, h.limits.hostBytes), MaxConns: h.limits.hostConns, MaxStreams: h.limits.hostStreams, OnClose: h.closeReporter(listenerPeer),
	})
	if err != nil {
		return err
	}
	h.meter.RegisterConnections(listenerPeer, h.mesh.Conns, func() int { return h.limits.hostConns })
	h.route.Peers = h.mesh
	a, err := admin.New(admin.Config{
		Deciders: h.route, RevisionStore: h.revisionStore, Revisions: h.revisions, View: h.view, Log: h.log, Live: h.liveHosts, Self: h.heartbeat, OnAccepted: h.publish, Drain: h.Drain,
	})
	if err != nil {
		return err
	}
	h.api, err = entry.New(entry.Config{
		Host: h.settings.Host, Records: records, Deciders: h.route, Admin: a, Revisions: h.revisions, View: h.view, Meter: h.meter, Log: h.log,
		Objects: objects,
		Now:     h.timer.Now, Live: h.liveHosts, Self: h.heartbeat, OperatorHash: h.settings.OperatorTokenHash,
		NotReadyReason: h.notReadyReason, MaxWait: h.settings.Bounds.LongPoll.D(),
		Budget: h.newPool(kindClient, listenerHTTP, h.limits.clientBytes), MaxPolls: h.limits.clientConns / 2, MaxAccountPolls: h.limits.clientConns / 4, MaxLoads: h.limits.loads,
	})
	if err != nil {
		return err
	}
	h.httpServer = &http.Server{
		Handler: h.api.Handler(), ConnContext: h.connContext, ConnState: h.trackState,
		ErrorLog: log.New(serverLog{newCloseLog(h.log, "errors of the HTTP server")}, "", 0), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, WriteTimeout: h.settings.Bounds.LongPoll.D() + readTimeout,
	}
	return nil
}

// liveHosts returns the latest heartbeat of each other live host.
func (h *Host) liveHosts() []*wire.Heartbeat {
	if h.mesh == nil {
		return nil
	}
	return h.mesh.Live()
}

// storelessAfter is how long the table service may be unresponsive, on top of the
// poll interval of the manifest, before this host's heartbeats ask hosts that
// reach the service to take over its cells.
const storelessAfter = 4 * time.Second

// storeless reports whether the table service has been unresponsive for longer
// than storelessAfter plus the poll interval of the manifest. Since the manifest
// is polled, a service that is up answers at least once in that time, even if
// there are no other calls. Until its first answer the result is true.
func (h *Host) storeless() bool {
	return h.timer.Now().Sub(time.Unix(0, h.lastStoreAnswer.Load())) > storelessAfter+h.settings.Bounds.ManifestPoll.D()
}

// heartbeat returns the content of this host's next heartbeat.
func (h *Host) heartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{
		Host: h.settings.Host, DataCentre: h.settings.DataCentre, PeerAddress: h.PeerAddress(), HttpAddress: h.HTTPAddress(),
		Storeless: h.storeless(), Revision: h.revisions.Number(), Leaving: h.leaving.Load(), Holds: h.claims.HeldCells(),
	}
}

// notifyDecider notifies the decider of a cell that the job k was moved to that
// cell. A failure is only counted.
func (h *Host) notifyDecider(cell string, k jobKey) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := h.route.Submit(ctx, cell, k); err != nil {
		h.meter.PeerCalls.WithLabelValues("Offer", "Failed").Inc()
	}
}

// Run serves until ctx ends, Drain is called or the HTTP server fails. It then
// hands the cells over, completes the requests in flight and closes everything.
func (h *Host) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer close(h.stopped)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); h.timer.Run(background) }()
	claimsCtx, stopClaims := context.WithCancel(background)
	go func() { defer wg.Done(); h.claims.Run(claimsCtx) }()
	h.schedulePolls(background)
	failed := make(chan error, 1)
	go func() { failed <- h.httpServer.Serve(h.httpListener) }()
	h.log.Info().Str("http", h.HTTPAddress()).Str("peer", h.PeerAddress()).Str("dataCentre", h.settings.DataCentre).Msg("host started")
	var err error
	select {
	case <-ctx.Done():
		h.Drain()
	case <-h.draining:
	case err = <-failed:
		h.Drain()
	}
	h.shutDown()
	stopClaims()
	h.api.Close()
	h.mesh.Close()
	cancel()
	wg.Wait()
	h.log.Info().Msg("host stopped")
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return err
}

// Drain begins a planned stop and returns at once. Run returns when the stop is
// complete.
func (h *Host) Drain() { h.drainOnce.Do(func() { close(h.draining) }) }

// Stopped returns a channel that is closed when Run returns.
func (h *Host) Stopped() <-chan struct{} { return h.stopped }

// drainPollInterval is the time between checks of whether a step of a planned
// stop is complete.
const drainPollInterval = 20 * time.Millisecond

// shutDown hands the cells over to other hosts and lets the HTTP requests in flight
// finish, all within DrainLimit. It first waits until no gang is between reservation
// and start, which a handover would interrupt. New connections are accepted until
// the handover is complete, and for DrainGrace at least.
func (h *Host) shutDown() {
	h.log.Info().Msg("host is draining: it starts no new work and hands its cells over")
	deadline := time.Now().Add(h.settings.Bounds.DrainLimit.D())
	graceEnd := time.Now().Add(h.settings.Bounds.DrainGrace.D())
	h.claims.Drain()
	h.waitUntil(deadline, h.claims.NoneLaunching)
	h.leaving.Store(true)
	h.waitUntil(deadline, func() bool {
		return time.Now().After(graceEnd) && (len(h.claims.Cells()) == 0 || !h.hasSuccessor())
	})
	h.httpServer.SetKeepAlivesEnabled(false)
	h.api.EndPolls()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := h.httpServer.Shutdown(ctx); err != nil {
		h.log.Warn().Err(err).Msg("drain limit reached with HTTP requests still in flight")
	}
}

// hasSuccessor reports whether there is a live host that isn't leaving, and
// could therefore take over the cells.
func (h *Host) hasSuccessor() bool {
	for _, b := range h.liveHosts() {
		if !b.Leaving {
			return true
		}
	}
	return false
}

// waitUntil polls f until it returns true or the deadline has passed.
func (h *Host) waitUntil(deadline time.Time, f func() bool) {
	for !f() && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

// notReadyReason returns why the host can't serve at present, or "" if it is
// ready.
func (h *Host) notReadyReason() string {
	select {
	case <-h.draining:
		return "draining"
	default:
	}
	switch {
	case h.view.LastRead().IsZero():
		return "the list of hosts was not read yet"
	case h.revisions.Current() == nil && !h.manifestPolled.Load():
		return "no manifest from the table service or a peer yet"
	}
	return ""
}
