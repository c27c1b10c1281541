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
	maxHeader         = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	idleTimeout       = 2 * time.Minute
	dialTimeout       = time.Second
)

// Host is one host of the system.
type Host struct {
	s      *config.Settings
	log    zerolog.Logger
	timer  *timer.Service
	meter  *meter.Set
	book   *rules.RevisionCache
	reg    *rules.RevisionStore
	view   *fleet.View
	mesh   *peers.Mesh
	claims *claims.Manager
	route  *route.Router
	api    *entry.Server
	http   *http.Server
	web    net.Listener
	peer   net.Listener

	// polled says that the table service has answered about the manifest.
	polled  atomic.Bool
	leaving atomic.Bool
	// reached is when the table service last answered, in Unix nanoseconds.
	reached atomic.Int64
	// certs is nil if connections aren't encrypted.
	certs    *certs.Store
	draining chan struct{}
	once     sync.Once
	stopped  chan struct{}
}

// New returns a Host that listens, and serves once it runs.
func New(s *config.Settings, log zerolog.Logger) (*Host, error) {
	h := &Host{
		s: s, log: log.With().Str("host", s.Host).Logger(), timer: timer.New(), meter: meter.New(), book: rules.NewRevisionCache(),
		draining: make(chan struct{}), stopped: make(chan struct{}),
	}
	var err error
	if h.web, err = net.Listen("tcp", s.HTTPAddress); err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	if h.peer, err = net.Listen("tcp", s.PeerAddress); err != nil {
		h.web.Close()
		return nil, fmt.Errorf("listen for hosts: %w", err)
	}
	if err := h.secure(); err != nil {
		h.web.Close()
		h.peer.Close()
		return nil, err
	}
	if err := h.build(); err != nil {
		h.web.Close()
		h.peer.Close()
		return nil, err
	}
	return h, nil
}

// secure puts the listeners behind TLS if the settings name certificates.
func (h *Host) secure() error {
	if !h.s.Secure() {
		return nil
	}
	var err error
	if h.certs, err = certs.Load(h.s.TLS); err != nil {
		return err
	}
	h.web = tls.NewListener(h.web, h.certs.Server())
	h.peer = tls.NewListener(h.peer, h.certs.PeerServer())
	return nil
}

// dial connects to another host.
func (h *Host) dial(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	if h.certs == nil {
		return d.DialContext(ctx, "tcp", address)
	}
	t := &tls.Dialer{NetDialer: d, Config: h.certs.PeerClient()}
	return t.DialContext(ctx, "tcp", address)
}

// HTTPAddress returns where callers are served.
func (h *Host) HTTPAddress() string { return h.web.Addr().String() }

// PeerAddress returns where other hosts are served.
func (h *Host) PeerAddress() string { return h.peer.Addr().String() }

// guard returns the retry policy of one platform service.
func (h *Host) guard(name string, calls int) *retry.Guard {
	return retry.New(retry.Config{Name: name, CallsPerSecond: calls, OnStateChange: func(name, state string) {
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
	store := table.NewClient(h.s.Platform.Table, h.guard("table", h.s.Store.CallsPerSecond), func(call, result string) {
		h.meter.StoreCalls.WithLabelValues(call, result).Inc()
		if result != "Failed" {
			h.reached.Store(h.timer.Now().UnixNano())
		}
	})
	rows := ledger.New(store, table.NewBatcher(store))
	h.reg = rules.NewRevisionStore(store)
	objects := blobs.NewClient(h.s.Platform.Objects, h.guard("objects", 0))
	h.view = fleet.NewView(fleet.NewClient(h.s.Platform.Hosts, h.guard("hosts", 0)))
	h.view.OnMalformed = func(n int) { h.meter.Malformed.WithLabelValues("HostList").Add(float64(n)) }
	var err error
	h.claims, err = claims.New(setup.Config{
		Host: h.s.Host, DataCentre: h.s.DataCentre, Records: rows, Objects: objects, Hosts: h.view, Revisions: h.book, Timer: h.timer,
		Meter: h.meter, Log: h.log, LivePeers: h.live, Storeless: h.storeless, Connect: setup.ConnectHTTP, NotifyMoved: h.offered, Policy: h.s.Policy, Bounds: h.s.Bounds.Cells(),
	})
	if err != nil {
		return err
	}
	h.route = &route.Router{Claims: h.claims, Jobs: rows, Book: h.book, Now: h.timer.Now}
	h.mesh, err = peers.New(peers.Config{
		Host: h.s.Host, Listener: h.peer, Dial: h.dial, Heartbeat: h.beat, Handler: h.route.Handle, OnChange: h.heard,
		Period: h.s.Bounds.Heartbeat.D(), Timeout: h.s.Bounds.HeartbeatTimeout.D(),
		OnMalformed: func() { h.meter.Malformed.WithLabelValues("Peer").Inc() },
		OnCall:      func(call, result string) { h.meter.PeerCalls.WithLabelValues(call, result).Inc() },
	})
	if err != nil {
		return err
	}
	h.route.Peers = h.mesh
	a, err := admin.New(admin.Config{
		Deciders: h.route, Register: h.reg, Book: h.book, View: h.view, Log: h.log, Live: h.live, Self: h.beat, OnAccepted: h.accepted, Drain: h.Drain,
	})
	if err != nil {
		return err
	}
	h.api, err = entry.New(entry.Config{
		Host: h.s.Host, Records: rows, Deciders: h.route, Admin: a, Book: h.book, View: h.view, Meter: h.meter, Log: h.log,
		Objects: objects,
		Now:     h.timer.Now, Live: h.live, Self: h.beat, OperatorHash: h.s.OperatorTokenHash,
		NotReadyReason: h.ready, MaxWait: h.s.Bounds.LongPoll.D(),
	})
	if err != nil {
		return err
	}
	h.http = &http.Server{
		Handler: h.api.Handler(), MaxHeaderBytes: maxHeader, ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, WriteTimeout: h.s.Bounds.LongPoll.D() + readTimeout,
	}
	return nil
}

// live returns the heartbeats of the other hosts.
func (h *Host) live() []*wire.Heartbeat {
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
	return h.timer.Now().Sub(time.Unix(0, h.reached.Load())) > storelessAfter+h.s.Bounds.ManifestPoll.D()
}

// beat returns what this host's heartbeats say.
func (h *Host) beat() *wire.Heartbeat {
	return &wire.Heartbeat{
		Host: h.s.Host, DataCentre: h.s.DataCentre, PeerAddress: h.PeerAddress(), HttpAddress: h.HTTPAddress(),
		Storeless: h.storeless(), Revision: h.book.Number(), Leaving: h.leaving.Load(), Holds: h.claims.HeldCells(),
	}
}

// offered tells the decider of another cell of a job that was moved to it.
func (h *Host) offered(cell string, k jobKey) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := h.route.Submit(ctx, cell, k); err != nil {
		h.meter.PeerCalls.WithLabelValues("Offer", "Failed").Inc()
	}
}

// Run serves until ctx ends, and then stops in good order.
func (h *Host) Run(ctx context.Context) error {
	bg, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer close(h.stopped)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); h.timer.Run(bg) }()
	kctx, kstop := context.WithCancel(bg)
	go func() { defer wg.Done(); h.claims.Run(kctx) }()
	h.schedule(bg)
	failed := make(chan error, 1)
	go func() { failed <- h.http.Serve(h.web) }()
	h.log.Info().Str("http", h.HTTPAddress()).Str("peer", h.PeerAddress()).Str("dataCentre", h.s.DataCentre).Msg("host started")
	var err error
	select {
	case <-ctx.Done():
		h.Drain()
	case <-h.draining:
	case err = <-failed:
		h.Drain()
	}
	h.leave()
	kstop()
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
func (h *Host) Drain() { h.once.Do(func() { close(h.draining) }) }

// Stopped returns a channel that is closed when Run returns.
func (h *Host) Stopped() <-chan struct{} { return h.stopped }

const drainPoll = 20 * time.Millisecond

// leave hands the cells over, and lets every request finish.
func (h *Host) leave() {
	h.log.Info().Msg("host drains")
	limit := time.Now().Add(h.s.Bounds.DrainLimit.D())
	grace := time.Now().Add(h.s.Bounds.DrainGrace.D())
	h.claims.Drain()
	h.await(limit, h.claims.NoneLaunching)
	h.leaving.Store(true)
	h.await(limit, func() bool {
		return time.Now().After(grace) && (len(h.claims.Cells()) == 0 || !h.successor())
	})
	h.http.SetKeepAlivesEnabled(false)
	h.api.EndPolls()
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	if err := h.http.Shutdown(ctx); err != nil {
		h.log.Warn().Err(err).Msg("requests cut at the drain limit")
	}
}

// successor reports whether another host could take the cells.
func (h *Host) successor() bool {
	for _, b := range h.live() {
		if !b.Leaving {
			return true
		}
	}
	return false
}

// await polls until f holds or the limit has come.
func (h *Host) await(limit time.Time, f func() bool) {
	for !f() && time.Now().Before(limit) {
		time.Sleep(drainPoll)
	}
}

// ready reports why the host can't serve yet, or "".
func (h *Host) ready() string {
	select {
	case <-h.draining:
		return "draining"
	default:
	}
	switch {
	case h.view.LastRead().IsZero():
		return "the list of hosts was not read yet"
	case h.book.Current() == nil && !h.polled.Load():
		return "no manifest from the table service or a peer yet"
	}
	return ""
}
