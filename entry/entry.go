// Package entry serves the HTTP API for client accounts and operators. Every host serves every
// request, whichever host decides for the job's cell.
package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/alexedwards/flow"
	"github.com/rs/zerolog"

	"citronbridge/admin"
	"citronbridge/budget"
	"citronbridge/fleet"
	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/limit"
	"citronbridge/meter"
	"citronbridge/reply"
	"citronbridge/route"
	"citronbridge/rules"
	"citronbridge/views"
	"citronbridge/wire"
)

// records reads and inserts the records of jobs.
type records interface {
	Insert(ctx context.Context, r *jobs.Record) (ledger.Entry, bool, error)
	Load(ctx context.Context, k jobs.Key) (ledger.Entry, error)
	List(ctx context.Context, account, after string, limit int) ([]*jobs.Record, bool, error)
}

// deciders forwards requests about unfinished jobs to the decider of their cell.
type deciders interface {
	Submit(ctx context.Context, cell string, k jobs.Key) error
	Cancel(ctx context.Context, cell string, k jobs.Key) error
	Wait(ctx context.Context, cell string, k jobs.Key, wait time.Duration) (*jobs.Record, error)
	Explain(ctx context.Context, cell string, k jobs.Key) (views.Explanation, error)
}

// objects reads the outputs of tasks that are too large for a job's record.
type objects interface {
	Get(ctx context.Context, name string) ([]byte, error)
}

var (
	_ records  = (*ledger.Ledger)(nil)
	_ deciders = (*route.Router)(nil)
)

// Config holds the dependencies and settings of a Server.
type Config struct {
	// Host is the name of this host, for the events of jobs.
	Host     string
	Records  records
	Deciders deciders
	Objects  objects
	// Revisions holds the revision of the manifest that this host has adopted.
	Revisions *rules.RevisionCache
	// View holds the list of hosts, of which the targets form the cells.
	View  *fleet.View
	Meter *meter.Set
	Log   zerolog.Logger
	Now   func() time.Time
	// Live returns the last heartbeats of the other live hosts, and Self the heartbeat of this
	// host.
	Live func() []*wire.Heartbeat
	Self func() *wire.Heartbeat
	// OperatorHash is the HashToken of the operators' token.
	OperatorHash string
	// Admin serves the requests of operators.
	Admin *admin.Server
	// NotReadyReason says why the host can't serve requests yet or any more. It returns "" if the
	// host is ready.
	NotReadyReason func() string
	// MaxWait is the longest time that a caller may ask a long poll to wait. 0 means
	// DefaultMaxWait.
	MaxWait time.Duration
	// MaxLoads is how many records of jobs are read at the same time. 0 means the default.
	MaxLoads int
	// Budget bounds the bytes of requests and responses. nil means one of DefaultBudget bytes.
	Budget *budget.Pool
	// MaxPolls is how many long polls may wait at the same time, MaxAccountPolls how many of one
	// account. 0 means the defaults.
	MaxPolls, MaxAccountPolls int
}

// DefaultMaxLoads is the default of Config.MaxLoads: one for 4 MiB of the default memory.
const DefaultMaxLoads = 128

// Defaults of Config.MaxPolls and Config.MaxAccountPolls: a half and a quarter of the default
// connections of callers.
const (
	DefaultMaxPolls        = 512
	DefaultMaxAccountPolls = 256
)

// DefaultMaxWait is the default of Config.MaxWait.
const DefaultMaxWait = 20 * time.Second

// Server serves the HTTP API of one host.
type Server struct {
	config Config
	// limiter enforces the request rates of accounts and callers.
	limiter *limit.Limiter
	// pollsEnded is closed by EndPolls, which makes all long polls answer at once.
	pollsEnded   chan struct{}
	endPollsOnce sync.Once
	// openJobs counts the unfinished jobs of each account.
	openJobs limit.OpenJobs
	// decoding limits the bodies, and listing the lists of jobs, that are in memory undecoded.
	decoding, listing chan struct{}
	// loading limits the records of jobs that are read at the same time.
	loading chan struct{}
	polls   polls
	// wg, ctx and cancel belong to the goroutines that outlive their request.
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a Server. It returns an error if a required field of c is missing.
func New(c Config) (*Server, error) {
	if c.Records == nil || c.Deciders == nil || c.Admin == nil || c.Revisions == nil || c.View == nil || c.Meter == nil || c.Live == nil || c.Self == nil {
		return nil, errors.New("entry: Records, Deciders, Admin, Revisions, View, Meter, Live and Self are required")
	}
	if c.MaxWait == 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Budget == nil {
		c.Budget = budget.New(budget.Config{Limit: DefaultBudget})
	}
	if c.MaxPolls == 0 {
		c.MaxPolls = DefaultMaxPolls
	}
	if c.MaxAccountPolls == 0 {
		c.MaxAccountPolls = DefaultMaxAccountPolls
	}
	if c.MaxLoads == 0 {
		c.MaxLoads = DefaultMaxLoads
	}
	s := &Server{
		config: c, loading: make(chan struct{}, c.MaxLoads), limiter: limit.New(), pollsEnded: make(chan struct{}), decoding: make(chan struct{}, decodersAtOnce), listing: make(chan struct{}, listsAtOnce),
		polls: polls{accounts: map[string]int{}},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// EndPolls makes all current and later long polls answer at once. It is called when the host
// drains, so that long polls don't delay its stop.
func (s *Server) EndPolls() { s.endPollsOnce.Do(func() { close(s.pollsEnded) }) }

// Close ends long polls and background work, and waits for the background work to finish.
func (s *Server) Close() {
	s.EndPolls()
	s.cancel()
	s.wg.Wait()
}

// Handler returns the handler of the API, of the metrics and of the health checks.
func (s *Server) Handler() http.Handler {
	m := flow.New()
	m.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply.Error(w, http.StatusNotFound, "no such resource: "+r.URL.Path)
	})
	m.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply.Error(w, http.StatusMethodNotAllowed, r.Method+" is not served here")
	})
	m.HandleFunc("/v1/jobs", s.authenticated(s.submit), http.MethodPost)
	m.HandleFunc("/v1/jobs", s.authenticated(s.list), http.MethodGet)
	m.HandleFunc("/v1/jobs/:id", s.authenticated(s.status), http.MethodGet)
	m.HandleFunc("/v1/jobs/:id", s.authenticated(s.cancelJob), http.MethodDelete)
	m.HandleFunc("/v1/jobs/:id/answer", s.authenticated(s.answer), http.MethodGet)
	m.HandleFunc("/v1/jobs/:id/explanation", s.authenticated(s.explain), http.MethodGet)
	m.HandleFunc("/v1/accounts", s.authenticated(s.accounts), http.MethodGet)
	m.HandleFunc("/v1/targets", s.operatorOnly(s.config.Admin.Targets), http.MethodGet)
	m.HandleFunc("/v1/hosts", s.operatorOnly(s.config.Admin.Hosts), http.MethodGet)
	m.HandleFunc("/v1/manifest", s.operatorOnly(s.config.Admin.Manifest), http.MethodGet)
	m.HandleFunc("/v1/manifest", s.operatorOnly(s.propose), http.MethodPost)
	m.HandleFunc("/v1/manifest/history", s.operatorOnly(s.config.Admin.History), http.MethodGet)
	m.HandleFunc("/v1/drain", s.operatorOnly(s.config.Admin.Drain), http.MethodPost)
	m.HandleFunc("/metrics", s.metrics, http.MethodGet)
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { reply.JSON(w, http.StatusOK, Health{State: "Live"}) }, http.MethodGet)
	m.HandleFunc("/readyz", s.ready, http.MethodGet)
	return guarded(m)
}

// metrics serves /metrics. The response is charged like that of any caller.
func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	s.openLease(w, "")
	reply.Buffered(s.config.Meter.Handler()).ServeHTTP(w, r)
}

// propose reads a proposed manifest and proposes it.
func (s *Server) propose(w http.ResponseWriter, r *http.Request) {
	var p admin.Proposal
	err := s.readJSON(w, r, admin.MaxProposalBytes, &p)
	if err == nil {
		err = p.Check().Err()
	}
	if err != nil {
		s.refuseBody(w, "", err)
		return
	}
	s.config.Admin.Propose(w, r, &p)
}

// Health is the body of the answers of /healthz and /readyz.
type Health struct {
	State  string
	Reason string `json:",omitempty"`
}

// ready serves /readyz: status 200 if the host can serve requests, else 503 with the reason.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := s.config.NotReadyReason(); reason != "" {
		reply.JSON(w, http.StatusServiceUnavailable, Health{"NotReady", reason})
		return
	}
	reply.JSON(w, http.StatusOK, Health{State: "Ready"})
}
