// Package host puts the parts of one host together and runs them.
package host

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
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
	"citronbridge/entry"
	"citronbridge/fleet"
	"citronbridge/ledger"
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

// Limits of the HTTP server.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	idleTimeout       = 2 * time.Minute
	dialTimeout       = time.Second
)

// Host is one host of the system.
type Host struct {
	settings     *config.Settings
	log          zerolog.Logger
	timer        *timer.Service
	meter        *meter.Set
	book         *rules.Book
	register     *rules.Register
	view         *fleet.View
	mesh         *peers.Mesh
	claims       *claims.Manager
	route        *route.Router
	api          *entry.Server
	httpServer   *http.Server
	httpListener net.Listener
	peerListener net.Listener

	// manifestPolled says that the table service has answered about the manifest.
	manifestPolled atomic.Bool
	leaving        atomic.Bool
	// lastStoreAnswer is when the table service last answered, in Unix nanoseconds.
	lastStoreAnswer atomic.Int64
	// certs is nil if connections aren't encrypted.
	certs     *certs.Store
	draining  chan struct{}
	drainOnce sync.Once
	stopped   chan struct{}
}

// New returns a Host that listens, and serves once it runs.
func New(s *config.Settings, log zerolog.Logger) (*Host, error) {
	h := &Host{
		settings: s, log: log.With().Str("host", s.Host).Logger(), timer: timer.New(), meter: meter.New(), book: rules.NewBook(),
		draining: make(chan struct{}), stopped: make(chan struct{}),
	}
	var err error
	if h.httpListener, err = net.Listen("tcp", s.HTTPAddress); err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	if h.peerListener, err = net.Listen("tcp", s.PeerAddress); err != nil {
		h.httpListener.Close()
		return nil, fmt.Errorf("listen for hosts: %w", err)
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

// enableTLS puts the listeners behind TLS if the settings name certificates.
func (h *Host) enableTLS() error {
	if !h.settings.TLSEnabled() {
		return nil
	}
	var err error
	if h.certs, err = certs.Load(h.settings.TLS); err != nil {
		return err
	}
	h.httpListener = tls.NewListener(h.httpListener, h.certs.ServerConfig())
	h.peerListener = tls.NewListener(h.peerListener, h.certs.PeerServerConfig())
	return nil
}

// dial connects to another host.
func (h *Host) dial(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	if h.certs == nil {
		return d.DialContext(ctx, "tcp", address)
	}
	t := &tls.Dialer{NetDialer: d, Config: h.certs.PeerClientConfig()}
	return t.DialContext(ctx, "tcp", address)
}

// HTTPAddress returns where callers are served.
func (h *Host) HTTPAddress() string { return h.httpListener.Addr().String() }

// PeerAddress returns where other hosts are served.
func (h *Host) PeerAddress() string { return h.peerListener.Addr().String() }

// newGuard returns the retry policy of one platform service.
func (h *Host) newGuard(name string, calls int) *retry.Guard {
	return retry.New(retry.Config{Name: name, CallsPerSecond: calls, Changed: func(name, state string) {
		open := 0.0
		if state == "open" {
			open = 1
		}
		h.meter.Breaker.WithLabelValues(name).Set(open)
		h.log.Warn().Str("service", name).Str("state", state).Msg("breaker changed")
	}})
}

// build makes the parts and connects them.
func (h *Host) build() error {
	store := table.NewClient(h.settings.Platform.Table, h.newGuard("table", h.settings.Store.CallsPerSecond), func(call, result string) {
		h.meter.StoreCalls.WithLabelValues(call, result).Inc()
		if result != "Failed" {
			h.lastStoreAnswer.Store(h.timer.Now().UnixNano())
		}
	})
	records := ledger.New(store, table.NewBatcher(store))
	h.register = rules.NewRegister(store)
	objects := blobs.NewClient(h.settings.Platform.Objects, h.newGuard("objects", 0))
	h.view = fleet.NewView(fleet.NewClient(h.settings.Platform.Hosts, h.newGuard("hosts", 0)))
	h.view.Malformed = func(n int) { h.meter.Malformed.WithLabelValues("HostList").Add(float64(n)) }
	var err error
	h.claims, err = claims.New(setup.Config{
		Host: h.settings.Host, DataCentre: h.settings.DataCentre, Records: records, Objects: objects, Hosts: h.view, Book: h.book, Timer: h.timer,
		Meter: h.meter, Log: h.log, Live: h.liveHosts, Storeless: h.storeless, Connect: setup.ConnectHTTP, Offered: h.notifyDecider, Policy: h.settings.Policy, Bounds: h.settings.Bounds.DeciderBounds(),
	})
	if err != nil {
		return err
	}
	h.route = &route.Router{Claims: h.claims, Jobs: records, Book: h.book, Now: h.timer.Now}
	h.mesh, err = peers.New(peers.Config{
		Host: h.settings.Host, Listener: h.peerListener, Dial: h.dial, Beat: h.heartbeat, Handler: h.route.Handle, Changed: h.handlePeerChange,
		Period: h.settings.Bounds.Heartbeat.D(), Timeout: h.settings.Bounds.HeartbeatTimeout.D(),
		Malformed: func() { h.meter.Malformed.WithLabelValues("Peer").Inc() },
		Called:    func(call, result string) { h.meter.PeerCalls.WithLabelValues(call, result).Inc() },
	})
	if err != nil {
		return err
	}
	h.route.Peers = h.mesh
	a, err := admin.New(admin.Config{
		Deciders: h.route, Register: h.register, Book: h.book, View: h.view, Log: h.log, Live: h.liveHosts, Self: h.heartbeat, Adopted: h.publish, Drain: h.Drain,
	})
	if err != nil {
		return err
	}
	h.api, err = entry.New(entry.Config{
		Host: h.settings.Host, Records: records, Deciders: h.route, Admin: a, Book: h.book, View: h.view, Meter: h.meter, Log: h.log,
		Objects: objects,
		Now:     h.timer.Now, Live: h.liveHosts, Self: h.heartbeat, OperatorHash: h.settings.OperatorTokenHash,
		Ready: h.notReadyReason, MaxWait: h.settings.Bounds.LongPoll.D(),
	})
	if err != nil {
		return err
	}
	h.httpServer = &http.Server{
		Handler: h.api.Handler(), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, WriteTimeout: h.settings.Bounds.LongPoll.D() + readTimeout,
	}
	return nil
}

// liveHosts returns the heartbeats of the other hosts.
func (h *Host) liveHosts() []*wire.Heartbeat {
	if h.mesh == nil {
		return nil
	}
	return h.mesh.Live()
}

// storelessAfter is how long the table service may be silent before other hosts
// that reach it are asked to take this one's cells.
const storelessAfter = 4 * time.Second

// storeless reports whether the table service has been silent for long. The
// manifest is read every few seconds, so one that answers is heard.
func (h *Host) storeless() bool {
	return h.timer.Now().Sub(time.Unix(0, h.lastStoreAnswer.Load())) > storelessAfter+h.settings.Bounds.ManifestPoll.D()
}

// heartbeat returns what this host's heartbeats say.
func (h *Host) heartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{
		Host: h.settings.Host, DataCentre: h.settings.DataCentre, PeerAddress: h.PeerAddress(), HttpAddress: h.HTTPAddress(),
		Storeless: h.storeless(), Revision: h.book.Number(), Leaving: h.leaving.Load(), Holds: h.claims.Held(),
	}
}

// notifyDecider tells the decider of another cell of a job that was moved to it.
func (h *Host) notifyDecider(cell string, k jobKey) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := h.route.Submit(ctx, cell, k); err != nil {
		h.meter.PeerCalls.WithLabelValues("Offer", "Failed").Inc()
	}
}

// Run serves until ctx ends, and then stops in good order.
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

// Drain begins a planned stop. Run returns when it is over.
func (h *Host) Drain() { h.drainOnce.Do(func() { close(h.draining) }) }

// Stopped returns a channel that is closed when Run returns.
func (h *Host) Stopped() <-chan struct{} { return h.stopped }

const drainPollInterval = 20 * time.Millisecond

// shutDown hands the cells over, and lets every request finish.
func (h *Host) shutDown() {
	h.log.Info().Msg("host drains")
	deadline := time.Now().Add(h.settings.Bounds.DrainLimit.D())
	graceEnd := time.Now().Add(h.settings.Bounds.DrainGrace.D())
	h.claims.Drain()
	h.waitUntil(deadline, h.claims.Quiet)
	h.leaving.Store(true)
	h.waitUntil(deadline, func() bool {
		return time.Now().After(graceEnd) && (len(h.claims.Cells()) == 0 || !h.hasSuccessor())
	})
	h.httpServer.SetKeepAlivesEnabled(false)
	h.api.EndPolls()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := h.httpServer.Shutdown(ctx); err != nil {
		h.log.Warn().Err(err).Msg("requests cut at the drain limit")
	}
}

// hasSuccessor reports whether another host could take the cells.
func (h *Host) hasSuccessor() bool {
	for _, b := range h.liveHosts() {
		if !b.Leaving {
			return true
		}
	}
	return false
}

// waitUntil polls until f holds or the limit has come.
func (h *Host) waitUntil(deadline time.Time, f func() bool) {
	for !f() && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

// notReadyReason reports why the host can't serve yet, or "".
func (h *Host) notReadyReason() string {
	select {
	case <-h.draining:
		return "draining"
	default:
	}
	switch {
	case h.view.Read().IsZero():
		return "the list of hosts was not read yet"
	case h.book.Current() == nil && !h.manifestPolled.Load():
		return "no manifest from the table service or a peer yet"
	}
	return ""
}
