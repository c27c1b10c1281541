// Package entry serves callers and operators over HTTP. Any host answers for
// any request.
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

// records reads and inserts jobs.
type records interface {
	Insert(ctx context.Context, r *jobs.Record) (ledger.Entry, bool, error)
	Load(ctx context.Context, k jobs.Key) (ledger.Entry, error)
	List(ctx context.Context, account, after string, limit int) ([]*jobs.Record, bool, error)
}

// deciders are asked about jobs that have not ended.
type deciders interface {
	Submit(ctx context.Context, cell string, k jobs.Key) error
	Cancel(ctx context.Context, cell string, k jobs.Key) error
	Wait(ctx context.Context, cell string, k jobs.Key, wait time.Duration) (*jobs.Record, error)
	Explain(ctx context.Context, cell string, k jobs.Key) (views.Explanation, error)
}

// objects holds large outputs.
type objects interface {
	Get(ctx context.Context, name string) ([]byte, error)
}

var (
	_ records  = (*ledger.Ledger)(nil)
	_ deciders = (*route.Router)(nil)
)

// Config is what a Server needs.
type Config struct {
	Host     string
	Records  records
	Deciders deciders
	Objects  objects
	Book     *rules.Book
	View     *fleet.View
	Meter    *meter.Set
	Log      zerolog.Logger
	Now      func() time.Time
	// Live returns the heartbeats of the other hosts, Self this one's.
	Live         func() []*wire.Heartbeat
	Self         func() *wire.Heartbeat
	OperatorHash string
	// Admin serves operators.
	Admin *admin.Server
	// Ready reports why the host can't serve yet, or "".
	Ready func() string
	// MaxWait bounds a long poll.
	MaxWait time.Duration
}

// DefaultMaxWait is the default bound of a long poll.
const DefaultMaxWait = 20 * time.Second

// Server serves the API.
type Server struct {
	c       Config
	limiter *limit.Door
	// pollsEnded is closed when a planned stop begins, so that long polls end.
	pollsEnded   chan struct{}
	endPollsOnce sync.Once
	openJobs     limit.Open
	wg           sync.WaitGroup
	ctx          context.Context
	cancel       context.CancelFunc
}

// New returns a Server.
func New(c Config) (*Server, error) {
	if c.Records == nil || c.Deciders == nil || c.Admin == nil || c.Book == nil || c.View == nil || c.Meter == nil || c.Live == nil || c.Self == nil {
		return nil, errors.New("entry: Records, Deciders, Admin, Book, View, Meter, Live and Self are needed")
	}
	if c.MaxWait == 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	s := &Server{c: c, limiter: limit.New(), pollsEnded: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// EndPolls makes long polls answer at once, now and from now on.
func (s *Server) EndPolls() { s.endPollsOnce.Do(func() { close(s.pollsEnded) }) }

// Close ends what goes on behind answered requests.
func (s *Server) Close() {
	s.EndPolls()
	s.cancel()
	s.wg.Wait()
}

// Handler returns the API.
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
	m.HandleFunc("/v1/targets", s.operatorOnly(s.c.Admin.Targets), http.MethodGet)
	m.HandleFunc("/v1/hosts", s.operatorOnly(s.c.Admin.Hosts), http.MethodGet)
	m.HandleFunc("/v1/manifest", s.operatorOnly(s.c.Admin.Manifest), http.MethodGet)
	m.HandleFunc("/v1/manifest", s.operatorOnly(s.c.Admin.Propose), http.MethodPost)
	m.HandleFunc("/v1/manifest/history", s.operatorOnly(s.c.Admin.History), http.MethodGet)
	m.HandleFunc("/v1/drain", s.operatorOnly(s.c.Admin.Drain), http.MethodPost)
	m.Handle("/metrics", s.c.Meter.Handler(), http.MethodGet)
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { reply.JSON(w, http.StatusOK, Health{State: "Live"}) }, http.MethodGet)
	m.HandleFunc("/readyz", s.ready, http.MethodGet)
	return m
}

// Health is the answer of /healthz and /readyz.
type Health struct {
	State  string
	Reason string `json:",omitempty"`
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if why := s.c.Ready(); why != "" {
		reply.JSON(w, http.StatusServiceUnavailable, Health{"NotReady", why})
		return
	}
	reply.JSON(w, http.StatusOK, Health{State: "Ready"})
}
