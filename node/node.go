// Package node assembles and runs one host of the scheduler as the platform starts it: the host
// serves clients, follows the configuration, and runs the decider of each pool that it owns.
package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alexedwards/flow"
	"github.com/rs/xid"
	"github.com/rs/zerolog"

	"citronbridge/budget"
	"citronbridge/conns"
	"citronbridge/follow"
	"citronbridge/gate"
	"citronbridge/guard"
	"citronbridge/limit"
	"citronbridge/logs"
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

// Timeouts and limits of a host.
const (
	// feedWait is how long one long-polling call waits for a change. It bounds
	// how old the confirmation of the configuration gets while the store answers.
	feedWait = time.Second
	// maxReadyAge is the maximum age of the configuration's confirmation for the ready check.
	maxReadyAge = 2500 * time.Millisecond
	// revokeSlack is subtracted from the time within which the platform wants revoked keys refused.
	revokeSlack = 400 * time.Millisecond
	// drainAcceptTime is how long a leaving host still accepts connections. The platform makes the
	// ready check every second and sends no more clients after the second failure.
	drainAcceptTime = 2300 * time.Millisecond
	// drainSlack is subtracted from the time after which the platform kills a stopping process.
	drainSlack = 700 * time.Millisecond
	// headerTimeout, idleTimeout and maxHeaderBytes limit a client's connection. The platform's
	// configuration allows headers of 16 KiB.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
	// maxLoggedPath is how many bytes of the path of a refused call are logged.
	maxLoggedPath = 80
)

// Host is one host of the scheduler.
type Host struct {
	settings atomic.Pointer[platform.Settings]
	// settingsFile is where the settings come from, empty if they don't change.
	settingsFile string
	// reloadMu is held during a reload and guards settingsVersion, that of the last file read.
	reloadMu        sync.Mutex
	settingsVersion fileVersion
	// directStore calls the table service at the settings' address. store does the same, but goes
	// through other hosts while the service is unavailable to this host.
	directStore *platform.Store
	relay       *relay.Relay
	log         zerolog.Logger
	boot        string
	meter       *meter.Host
	guard       *guard.Guard
	store       repo.Store
	clock       *watch.Clock
	health      *watch.Health
	workers     *platform.WorkerClient
	repo        *repo.Repo
	owners      *repo.Owners
	gate        *gate.Gate
	timer       *timer.Service
	stalls      *stall.Monitor

	heartbeats *pulse.Tracker
	waves      waveSet
	// evacuations are the data centres in which no task may start.
	evacuations evacuationSet
	// poolMu guards pools, and openPools: pools with open jobs that other pools' deciders on this
	// host have seen.
	poolMu    sync.Mutex
	pools     map[string]*candidate
	openPools map[string]bool

	// bodies and calls bound the bytes that requests of clients and of other hosts hold.
	bodies, calls *budget.Pool
	samples       logs.Sampler

	front, ready *conns.Listener
	metrics      *conns.Listener // nil if the settings name no port for it
	leaving      atomic.Bool
	drain        chan struct{}
	drainOnce    sync.Once
}

// Config holds the settings and dependencies of a Host.
type Config struct {
	Settings *platform.Settings
	// SettingsFile, if set, is where the settings came from and are read again.
	SettingsFile string
	Log          zerolog.Logger
	// DroppedLogLines returns how many log lines were dropped. It may be nil.
	DroppedLogLines func() int64
}

// New returns a Host that listens on all its addresses. It serves once Run is called.
func New(c Config) (*Host, error) {
	s := c.Settings
	if c.DroppedLogLines == nil {
		c.DroppedLogLines = func() int64 { return 0 }
	}
	stalls := stall.New(timer.SinceBoot)
	h := &Host{
		settingsFile: c.SettingsFile, log: c.Log.With().Str("host", s.Host).Logger(), boot: xid.New().String(), meter: meter.NewHost(c.DroppedLogLines), timer: timer.New(),
		workers: platform.NewWorkerClient(s.Limits.Descriptors, stalls), stalls: stalls, drain: make(chan struct{}), clock: watch.NewClock(timer.SinceBoot),
		health: watch.NewHealth(timer.SinceBoot),
		gate:   gate.New(gate.Config{Now: timer.SinceBoot}), pools: map[string]*candidate{}, openPools: map[string]bool{}, directStore: platform.NewStore(s.Store.Address, stalls),
	}
	h.guard = guard.New(h.log, func(unit string) { h.meter.Panics.WithLabelValues(unit).Inc() })
	h.applySettings(s)
	h.settingsVersion = statVersion(c.SettingsFile)
	h.openBudgets()
	limits := h.overloadLimits()
	var err error
	if err = h.openRelay(s, limits.hostConns); err != nil {
		return nil, err
	}
	h.store = watch.Observe(h.relay, h.clock, h.health)
	h.repo = repo.New(h.store, h.health)
	cancels := limit.NewCancels()
	h.repo.AllowUnknownCancel = func(c repo.Caller) bool { return cancels.Take(c.Account, time.Now()) }
	h.owners = repo.NewOwners(h.store)
	h.heartbeats = pulse.New(timer.SinceBoot, h.heartbeatPause)
	h.heartbeats.OnOwnerChange = h.logOwnerChange
	h.meter.RegisterConfigAge(func() float64 { return h.gate.Age().Seconds() })
	if h.front, err = h.listen(frontListener, s.Listen.Front, limits.clientConns); err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	readyConns := limits.platformConns
	if s.MetricsAddress() != "" {
		readyConns /= 2
	}
	if h.ready, err = h.listen(readyListener, s.Listen.Ready, readyConns); err != nil {
		h.front.Close()
		return nil, fmt.Errorf("listen for the platform: %w", err)
	}
	if a := s.MetricsAddress(); a != "" {
		if h.metrics, err = h.listen(metricsListener, a, readyConns); err != nil {
			// A host without a port for metrics can still serve clients.
			h.log.Warn().Err(err).Str("address", a).Msg("can't listen for metrics; serving them at the ready address only")
		}
	}
	return h, nil
}

// openRelay creates the relay, which listens for other hosts if the settings name an address.
func (h *Host) openRelay(s *platform.Settings, limit int) error {
	c := relay.Config{
		Host: s.Host, Direct: meteredStore{h.directStore, h.meter.StoreCalls, h.meter.StoreTime}, Seeds: s.Seeds, Capacity: s.Capacity(), Log: h.log, Guard: h.guard,
		OnRelayed: func(outcome string) { h.meter.Relayed.WithLabelValues(outcome).Inc() }, Calls: h.calls, OnRefused: h.countRefusal,
	}
	if s.Listen.Control != "" {
		l, err := h.listen(controlListener, s.Listen.Control, limit)
		if err != nil {
			return fmt.Errorf("listen for other hosts: %w", err)
		}
		c.Listener = l
	}
	var err error
	h.relay, err = relay.New(c)
	return err
}

// current returns the settings in force.
func (h *Host) current() *platform.Settings { return h.settings.Load() }

// Drain starts a planned stop, after which Run returns.
func (h *Host) Drain() { h.drainOnce.Do(func() { close(h.drain) }) }

// Run serves until a planned stop is over, ctx ends or a server fails.
func (h *Host) Run(ctx context.Context) error {
	h.log.Info().Str("boot", h.boot).Str("front", h.current().Listen.Front).Int("pid", os.Getpid()).Msg("host starts")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	spawn := func(f func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f()
		}()
	}
	front := h.server(h.guard.Handler("call", &platform.ClientHandler{Jobs: &service{h}, Bodies: h.bodies, OnRefused: h.countRefusal}), h.front)
	ready := h.server(h.mux(), h.ready)
	failed := make(chan error, 3)
	serve := func(s *http.Server, l *conns.Listener) {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}
	spawn(func() { serve(front, h.front) })
	spawn(func() { serve(ready, h.ready) })
	if h.metrics != nil {
		spawn(func() { serve(ready, h.metrics) })
	}
	spawn(func() { h.relay.Run(ctx) })
	spawn(func() { h.guard.Repeat(ctx, "configuration", func() { h.followOperator(ctx) }) })
	spawn(func() { h.guard.Repeat(ctx, "heartbeats", func() { h.followHeartbeats(ctx) }) })
	spawn(func() { h.timer.Run(ctx) })
	defer h.every(stall.Period, "stalls", h.stallMonitor()).Cancel()
	defer h.every(electionInterval, "election", func(time.Time) { h.elect(ctx, &wg) }).Cancel()
	if h.settingsFile != "" {
		defer h.every(settingsPollInterval, "settings", func(time.Time) { h.Reload(false) }).Cancel()
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
	h.log.Info().Err(err).Msg("host stopped")
	return err
}

func (h *Host) every(period time.Duration, unit string, f func(time.Time)) *timer.Subscription {
	return h.timer.Every(period, func(t time.Time) { h.guard.Do(unit, func() { f(t) }) })
}

// leave carries out a planned stop: the ready check fails from now on, pools are
// released to other hosts, and open calls are answered before the front closes.
func (h *Host) leave(front *http.Server) {
	h.log.Info().Msg("planned stop begins")
	h.leaving.Store(true)
	h.gate.Drain()
	front.SetKeepAlivesEnabled(false)
	timeout := platform.Seconds(h.current().Bounds.GraceS) - drainSlack
	acceptEnd := time.After(min(drainAcceptTime, timeout/2))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	h.releasePools(ctx)
	if err := h.relay.Withdraw(ctx); err != nil {
		h.log.Warn().Err(err).Msg("host not removed from the list of hosts; others may still call it")
	}
	<-acceptEnd
	if err := front.Shutdown(ctx); err != nil {
		h.log.Warn().Err(err).Msg("planned stop timed out; client calls that are still open are cut off")
	}
}

// mux serves the platform's ready check and the metrics.
func (h *Host) mux() http.Handler {
	m := flow.New()
	m.HandleFunc("/-/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !h.gate.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}, http.MethodGet)
	m.Handle("/metrics", boundResponses(h.meter.Handler(), h.bodies), http.MethodGet)
	return m
}

// followOperator follows the operator's table (configuration, evacuations and maintenance waves) until ctx ends.
func (h *Host) followOperator(ctx context.Context) {
	f := &follow.Follower{
		Store: h.store, Table: platform.TableOperator, Wait: feedWait, Now: timer.SinceBoot, OnList: h.handleOperatorListing, OnChange: h.handleOperatorRows,
		OnConfirmed: h.gate.Confirm,
		OnFailure:   func(err error) { h.log.Warn().Err(err).Msg("table service is unavailable; retrying") },
		OnRecovery:  func() { h.log.Info().Msg("table service is available again") },
	}
	f.Run(ctx, 0)
}

// handleOperatorListing handles a complete listing of the operator's table.
func (h *Host) handleOperatorListing(rows []repo.Row) {
	h.pruneEvacuations(rows)
	h.pruneWaves(rows)
	h.handleOperatorRows(rows)
}

// handleOperatorRows handles changed rows of the operator's table. The first configuration may
// start an election, whose decider needs the evacuations, so they come before it.
func (h *Host) handleOperatorRows(rows []repo.Row) {
	h.handleEvacuations(rows)
	for _, r := range rows {
		if r.Key == platform.KeyConfig && !r.Deleted {
			h.applyRules(r.Value)
		}
		h.handleWave(r)
	}
}

// applyRules decodes a configuration, makes it the one in force unless a newer one
// is, and passes it to the deciders on this host.
func (h *Host) applyRules(b []byte) {
	r, err := platform.DecodeRules(b)
	if err != nil {
		h.log.Error().Err(err).Msg("configuration can't be decoded; the former one stays in force")
		return
	}
	if !h.gate.Adopt(r) {
		return
	}
	h.updateBudgets()
	h.meter.ConfigVersion.Set(float64(r.Version))
	h.log.Info().Int64("version", r.Version).Int("queues", len(r.Queues)).Int("accounts", len(r.Accounts)).Int64("guaranteed", r.Guaranteed()).Msg("configuration is in force")
	h.poolMu.Lock()
	defer h.poolMu.Unlock()
	for _, c := range h.pools {
		c.notifyRules(r)
	}
}

// service carries out the calls of clients.
type service struct{ h *Host }

var _ platform.Jobs = (*service)(nil)

// Admit implements platform.Jobs.
func (s *service) Admit(host, path, key string) gate.Admission {
	a := s.h.gate.Admit(host, path, key)
	if a.Verdict != gate.Pass {
		s.h.meter.Refused.WithLabelValues(string(a.Verdict)).Inc()
		if n, ok := s.h.samples.Sample("admit " + string(a.Verdict)); ok {
			s.h.log.Info().Str("path", path[:min(len(path), maxLoggedPath)]).Str("verdict", string(a.Verdict)).Int64("version", a.Version).Dur("age", a.Age).Int64("count", n).Msg("calls refused; the last one was")
		}
	}
	return a
}

// Submit implements platform.Jobs.
func (s *service) Submit(ctx context.Context, c repo.Caller, j *work.Job) repo.Verdict {
	j.Accepted = time.Now().UnixMilli()
	v, err := s.h.repo.Submit(ctx, c, j)
	s.h.meter.Submitted.WithLabelValues(j.Tenant, string(v)).Inc()
	s.recordCall("submit", j.ID, v, err)
	return v
}

// State implements platform.Jobs.
func (s *service) State(ctx context.Context, c repo.Caller, id string) (work.State, repo.Verdict) {
	r, v, err := s.h.repo.Record(ctx, c, id)
	if v != repo.Done {
		s.recordCall("state", id, v, err)
		return "", v
	}
	return r.State, v
}

// Cancel implements platform.Jobs.
func (s *service) Cancel(ctx context.Context, c repo.Caller, id string) repo.Verdict {
	v, err := s.h.repo.Cancel(ctx, c, id)
	if v == repo.Limited {
		s.h.meter.Refused.WithLabelValues("CancelRate").Inc()
	}
	s.recordCall("cancel", id, v, err)
	return v
}

// recordCall counts and logs the outcome of a call.
func (s *service) recordCall(call, id string, v repo.Verdict, err error) {
	s.h.meter.Calls.WithLabelValues(call, string(v)).Inc()
	s.h.log.Info().Str("job", id).Str("call", call).Str("verdict", string(v)).AnErr("cause", err).Dur("age", s.h.gate.Age()).Msg("call answered")
}

// Waiting implements platform.Jobs.
func (s *service) Waiting(q *work.Queue) (int, bool) { return s.h.heartbeats.Waiting(q.Pool, q.Name) }
