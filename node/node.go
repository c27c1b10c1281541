// Package node puts one host of the platform's path together and runs it:
// it serves clients, follows the configuration, and decides for a pool when
// it is the pool's owner.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alexedwards/flow"
	"github.com/rs/xid"
	"github.com/rs/zerolog"

	"citronbridge/follow"
	"citronbridge/gate"
	"citronbridge/meter"
	"citronbridge/platform"
	"citronbridge/pulse"
	"citronbridge/relay"
	"citronbridge/repo"
	"citronbridge/stall"
	"citronbridge/timer"
	"citronbridge/watch"
	"citronbridge/work"
)

// Times of a host.
const (
	// feedWait is how long one call waits for a change; it bounds the age of
	// a confirmation.
	feedWait = time.Second
	// readyAge is how old the confirmation of the configuration may be for
	// the host to want new connections.
	readyAge = 2500 * time.Millisecond
	// revokeSlack is kept from the bound for revoked keys.
	revokeSlack = 400 * time.Millisecond
	// drainQuiet is how long a leaving host takes new connections: the
	// platform looks each second and acts on the second miss.
	drainQuiet = 2300 * time.Millisecond
	// drainSlack is kept from the time after which the platform kills.
	drainSlack = 700 * time.Millisecond
	// headerTimeout and idleTimeout bound a client's connection.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	maxHeader     = 32 << 10
)

// Host is one host.
type Host struct {
	settings atomic.Pointer[platform.Settings]
	// file is where the settings come from, empty if they don't change.
	file string
	// reloading guards read, the version that was read last.
	reloading sync.Mutex
	read      fileVersion
	// direct is the store at the settings' address, store the same or, while
	// it rejects this host, other hosts' way to it.
	direct *platform.Store
	relay  *relay.Relay
	log    zerolog.Logger
	boot   string
	meter  *meter.Host
	store  repo.Store
	clock  *watch.Clock
	health *watch.Health
	calls  *platform.WorkerClient
	repo   *repo.Repo
	owners *repo.Owners
	gate   *gate.Gate
	timer  *timer.Service
	stalls *stall.Monitor

	heartbeats *pulse.Heard
	waves      waves
	pools      map[string]*candidate
	poolMu     sync.Mutex

	front, ready net.Listener
	// metrics is nil if the settings name no port for it.
	metrics net.Listener
	leaving atomic.Bool
	drain   chan struct{}
	once    sync.Once
}

// Config is what a Host needs.
type Config struct {
	Settings *platform.Settings
	// File, if set, is where the settings came from and are read again.
	File string
	Log  zerolog.Logger
	// Dropped counts the log lines that were left out. It may be nil.
	Dropped func() int64
}

// New returns a Host that listens, and serves once it runs.
func New(c Config) (*Host, error) {
	s := c.Settings
	if c.Dropped == nil {
		c.Dropped = func() int64 { return 0 }
	}
	stalls := stall.New(timer.Boot)
	h := &Host{
		file: c.File, log: c.Log.With().Str("host", s.Host).Logger(), boot: xid.New().String(), meter: meter.NewHost(c.Dropped), timer: timer.New(),
		calls: platform.NewWorkerClient(s.Limits.Descriptors, stalls), stalls: stalls, drain: make(chan struct{}), clock: watch.NewClock(timer.Boot),
		health: watch.NewHealth(timer.Boot),
		gate:   gate.New(gate.Config{Now: timer.Boot}), pools: map[string]*candidate{}, direct: platform.NewStore(s.Store.Address, stalls),
	}
	h.apply(s)
	h.read = versionOf(c.File)
	var err error
	if err = h.openRelay(s); err != nil {
		return nil, err
	}
	h.store = watch.Over(h.relay, h.clock, h.health)
	h.repo = repo.New(h.store, h.health)
	h.owners = repo.NewOwners(h.store)
	h.heartbeats = pulse.New(timer.Boot, h.heartbeatPause)
	h.meter.WatchAge(func() float64 { return h.gate.Age().Seconds() })
	if h.front, err = net.Listen("tcp", s.Listen.Front); err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	if h.ready, err = net.Listen("tcp", s.Listen.Ready); err != nil {
		h.front.Close()
		return nil, fmt.Errorf("listen for the platform: %w", err)
	}
	if a := s.MetricsAddress(); a != "" {
		if h.metrics, err = net.Listen("tcp", a); err != nil {
			// Metrics are no reason not to serve.
			h.log.Warn().Err(err).Str("address", a).Msg("metrics are served beside the ready check only")
		}
	}
	return h, nil
}

// openRelay listens for other hosts, if the settings say where.
func (h *Host) openRelay(s *platform.Settings) error {
	c := relay.Config{
		Host: s.Host, Direct: meteredStore{h.direct, h.meter.Store, h.meter.StoreTime}, Seeds: s.Seeds, Capacity: s.Capacity(), Log: h.log,
		Relayed: func(outcome string) { h.meter.Relayed.WithLabelValues(outcome).Inc() },
	}
	var err error
	if s.Listen.Control != "" {
		if c.Listener, err = net.Listen("tcp", s.Listen.Control); err != nil {
			return fmt.Errorf("listen for other hosts: %w", err)
		}
	}
	h.relay, err = relay.New(c)
	return err
}

// now returns the settings in force.
func (h *Host) now() *platform.Settings { return h.settings.Load() }

// Drain begins a planned stop.
func (h *Host) Drain() { h.once.Do(func() { close(h.drain) }) }

// Run serves until a planned stop is over.
func (h *Host) Run(ctx context.Context) error {
	h.log.Info().Str("boot", h.boot).Str("front", h.now().Listen.Front).Int("pid", os.Getpid()).Msg("host starts")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	goes := func(f func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f()
		}()
	}
	front := &http.Server{
		Handler: &platform.ClientHandler{Jobs: &service{h}}, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	ready := &http.Server{Handler: h.mux(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 3)
	serve := func(s *http.Server, l net.Listener) {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}
	goes(func() { serve(front, h.front) })
	goes(func() { serve(ready, h.ready) })
	if h.metrics != nil {
		goes(func() { serve(ready, h.metrics) })
	}
	goes(func() { h.relay.Run(ctx) })
	goes(func() { h.followRules(ctx) })
	goes(func() { h.followHeartbeats(ctx) })
	goes(func() { h.timer.Run(ctx) })
	watch := h.timer.Every(stall.Period, h.watchLoad())
	defer watch.Cancel()
	lead := h.timer.Every(electPeriod, func(time.Time) { h.elect(ctx, &wg) })
	defer lead.Cancel()
	if h.file != "" {
		look := h.timer.Every(settingsPeriod, func(time.Time) { h.Reload(false) })
		defer look.Cancel()
	}
	var err error
	select {
	case <-ctx.Done():
	case <-h.drain:
		h.leave(front)
	case err = <-failed:
		err = fmt.Errorf("serve: %w", err)
	}
	cancel()
	front.Close()
	ready.Close()
	wg.Wait()
	h.log.Info().Err(err).Msg("host stops")
	return err
}

// leave ends a planned stop: pools are given up, the platform is told to send
// no more clients, and open calls are answered.
func (h *Host) leave(front *http.Server) {
	h.log.Info().Msg("planned stop begins")
	h.leaving.Store(true)
	h.gate.Drain()
	front.SetKeepAlivesEnabled(false)
	limit := platform.Seconds(h.now().Bounds.GraceS) - drainSlack
	quiet := time.After(min(drainQuiet, limit/2))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	h.giveUp(ctx)
	if err := h.relay.Withdraw(ctx); err != nil {
		h.log.Warn().Err(err).Msg("host couldn't be taken off the list")
	}
	<-quiet
	if err := front.Shutdown(ctx); err != nil {
		h.log.Warn().Err(err).Msg("calls were still open at the end of the planned stop")
	}
}

// mux serves the platform's look at the host, and metrics.
func (h *Host) mux() http.Handler {
	m := flow.New()
	m.HandleFunc("/-/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !h.gate.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}, http.MethodGet)
	m.Handle("/metrics", h.meter.Handler(), http.MethodGet)
	return m
}

// followRules keeps the configuration in force.
func (h *Host) followRules(ctx context.Context) {
	take := func(rows []repo.Row) {
		for _, r := range rows {
			if r.Key == platform.KeyConfig && !r.Deleted {
				h.adopt(r.Value)
			}
			h.takeWave(r)
		}
	}
	f := &follow.Follower{
		Store: h.store, Table: platform.TableOperator, Wait: feedWait, Now: timer.Boot, Listed: func(rows []repo.Row) { h.keepWaves(rows); take(rows) }, Changed: take,
		Confirmed: h.gate.Confirm,
		Lost:      func(err error) { h.log.Warn().Err(err).Msg("store is lost") },
		Regained:  func() { h.log.Info().Msg("store is regained") },
	}
	f.Run(ctx, 0)
}

// adopt puts a configuration in force.
func (h *Host) adopt(b []byte) {
	r, err := platform.DecodeRules(b)
	if err != nil {
		h.log.Error().Err(err).Msg("configuration can't be read")
		return
	}
	if !h.gate.Adopt(r) {
		return
	}
	h.meter.Version.Set(float64(r.Version))
	h.log.Info().Int64("version", r.Version).Int("queues", len(r.Queues)).Int("accounts", len(r.Accounts)).Int64("guaranteed", r.Guaranteed()).Msg("configuration is in force")
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	for _, c := range h.pools {
		c.tellRules(r)
	}
}

// service is what clients' calls become.
type service struct{ h *Host }

var _ platform.Jobs = (*service)(nil)

// Admit implements platform.Jobs.
func (s *service) Admit(host, path, key string) gate.Admission {
	a := s.h.gate.Admit(host, path, key)
	if a.Verdict != gate.Pass {
		s.h.meter.Refused.WithLabelValues(string(a.Verdict)).Inc()
		s.h.log.Info().Str("path", path).Str("verdict", string(a.Verdict)).Int64("version", a.Version).Dur("age", a.Age).Msg("call refused")
	}
	return a
}

// Submit implements platform.Jobs.
func (s *service) Submit(ctx context.Context, j *work.Job) repo.Verdict {
	j.Accepted = time.Now().UnixMilli()
	v, err := s.h.repo.Submit(ctx, j)
	s.h.meter.Submitted.WithLabelValues(j.Tenant, string(v)).Inc()
	s.done("submit", j.ID, v, err)
	return v
}

// State implements platform.Jobs.
func (s *service) State(ctx context.Context, id string) (work.State, repo.Verdict) {
	r, v, err := s.h.repo.Record(ctx, id)
	if v != repo.Done {
		s.done("state", id, v, err)
		return "", v
	}
	return r.State, v
}

// Cancel implements platform.Jobs.
func (s *service) Cancel(ctx context.Context, id string) repo.Verdict {
	v, err := s.h.repo.Cancel(ctx, id)
	s.done("cancel", id, v, err)
	return v
}

func (s *service) done(call, id string, v repo.Verdict, err error) {
	s.h.meter.Calls.WithLabelValues(call, string(v)).Inc()
	s.h.log.Info().Str("job", id).Str("call", call).Str("verdict", string(v)).AnErr("cause", err).Dur("age", s.h.gate.Age()).Msg("call answered")
}

// Waiting implements platform.Jobs.
func (s *service) Waiting(q *work.Queue) (int, bool) { return s.h.heartbeats.Waiting(q.Pool, q.Name) }
