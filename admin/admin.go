// Package admin serves operators: hosts, targets, accounts, manifests and
// planned stops.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/fault"
	"citronbridge/fleet"
	"citronbridge/jobs"
	"citronbridge/reply"
	"citronbridge/rules"
	"citronbridge/state"
	"citronbridge/views"
	"citronbridge/wire"
)

// Bounds of a call.
const (
	// maxManifest bounds the body of a proposal, in bytes.
	maxManifest  = 4 << 20
	writeTimeout = 5 * time.Second
	page         = 100
)

// deciders tell of their cells.
type deciders interface {
	Targets(ctx context.Context, cell string) ([]views.Target, error)
	Accounts(ctx context.Context, cell string) ([]views.Account, error)
}

// register keeps the accepted manifests.
type register interface {
	Propose(ctx context.Context, proposal string, base int64, m *rules.Manifest) (*rules.Revision, error)
	History(ctx context.Context, after int64, limit int) ([]rules.Revision, error)
}

var _ register = (*rules.Register)(nil)

// Config is what a Server needs.
type Config struct {
	Deciders deciders
	Register register
	Book     *rules.Book
	View     *fleet.View
	Log      zerolog.Logger
	// Live returns the heartbeats of the other hosts, Self this one's.
	Live func() []*wire.Heartbeat
	Self func() *wire.Heartbeat
	// Adopted is told of a manifest that this host accepted.
	Adopted func(r *rules.Revision)
	// Drain begins a planned stop.
	Drain func()
}

// Server serves operators.
type Server struct{ c Config }

// New returns a Server.
func New(c Config) (*Server, error) {
	if c.Deciders == nil || c.Register == nil || c.Book == nil || c.View == nil || c.Live == nil || c.Self == nil || c.Adopted == nil || c.Drain == nil {
		return nil, errors.New("admin: every field but Log is needed")
	}
	return &Server{c}, nil
}

// HostView is a host as this one sees it.
type HostView struct {
	ID, DataCentre string
	Address        string
	Revision       int64
	Leaving        bool
	Cells          []CellView
}

// CellView is a cell that a host decides for.
type CellView struct {
	Cell  string
	Epoch int64
	Free  int64
}

// Hosts lists the live hosts, this one first.
func (s *Server) Hosts(w http.ResponseWriter, _ *http.Request) {
	l := []HostView{}
	for _, b := range append([]*wire.Heartbeat{s.c.Self()}, s.c.Live()...) {
		v := HostView{ID: b.Host, DataCentre: b.DataCentre, Address: b.HttpAddress, Revision: b.Revision, Leaving: b.Leaving, Cells: []CellView{}}
		for _, h := range b.Holds {
			v.Cells = append(v.Cells, CellView{h.Cell, h.Epoch, h.Free})
		}
		l = append(l, v)
	}
	reply.JSON(w, http.StatusOK, l)
}

// Targets lists the targets of all cells.
func (s *Server) Targets(w http.ResponseWriter, r *http.Request) {
	l := []views.Target{}
	for _, c := range s.c.View.Cells() {
		t, err := s.c.Deciders.Targets(r.Context(), c)
		if err != nil {
			reply.Error(w, http.StatusServiceUnavailable, "decider of "+c+": "+err.Error())
			return
		}
		l = append(l, t...)
	}
	reply.JSON(w, http.StatusOK, l)
}

// Accounts lists the accounts in all cells, or only the one that is named.
func (s *Server) Accounts(w http.ResponseWriter, r *http.Request, account string) {
	all, err := s.AllAccounts(r.Context())
	if err != nil {
		reply.Error(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	l := []views.Account{}
	for _, v := range all {
		if account == "" || v.Account == account {
			l = append(l, v)
		}
	}
	reply.JSON(w, http.StatusOK, l)
}

// AllAccounts returns what every account has in every cell.
func (s *Server) AllAccounts(ctx context.Context) ([]views.Account, error) {
	var l []views.Account
	for _, c := range s.c.View.Cells() {
		v, err := s.c.Deciders.Accounts(ctx, c)
		if err != nil {
			return nil, fmt.Errorf("decider of %s: %w", c, err)
		}
		l = append(l, v...)
	}
	return l, nil
}

// Manifest returns the revision in force.
func (s *Server) Manifest(w http.ResponseWriter, _ *http.Request) {
	v := s.c.Book.Current()
	if v == nil {
		reply.Error(w, http.StatusNotFound, "no manifest was accepted yet")
		return
	}
	reply.JSON(w, http.StatusOK, v)
}

// Proposal is a manifest that is to follow the revision Base.
type Proposal struct {
	// ID names the proposal, so that it can be sent again.
	ID       string
	Base     int64
	Manifest rules.Manifest
}

// Check returns the faults of the proposal.
func (p *Proposal) Check() fault.List {
	var l fault.List
	l.Check(jobs.ValidID(p.ID), "ID", p.ID, jobs.IDRule)
	l.Check(p.Base >= 0, "Base", p.Base, "the number of a revision, or 0 for the first")
	return append(l, p.Manifest.Check().WithPrefix("Manifest.")...)
}

// Propose accepts a manifest if it can be honoured and no other came first.
func (s *Server) Propose(w http.ResponseWriter, r *http.Request) {
	var p Proposal
	if err := fault.DecodeJSON(http.MaxBytesReader(w, r.Body, maxManifest), &p); err != nil {
		reply.BadInput(w, err)
		return
	}
	if s.c.View.Read().IsZero() {
		reply.Unavailable(w, "the list of hosts was not read yet")
		return
	}
	if l := s.unfeasible(&p.Manifest); len(l) > 0 {
		(&reply.Problem{Status: http.StatusUnprocessableEntity, Title: "Manifest can't be honoured", Faults: l}).Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), writeTimeout)
	defer cancel()
	v, err := s.c.Register.Propose(ctx, p.ID, p.Base, &p.Manifest)
	switch {
	case errors.Is(err, rules.ErrSuperseded):
		reply.JSON(w, http.StatusConflict, Superseded{"about:blank", "Superseded", http.StatusConflict, err.Error(), number(v)})
	case err != nil:
		reply.Unavailable(w, "send the proposal again under the same ID: "+err.Error())
	default:
		s.c.Adopted(v)
		s.c.Log.Info().Int64("revision", v.Number).Str("proposal", p.ID).Msg("manifest accepted")
		reply.JSON(w, http.StatusOK, v)
	}
}

// Superseded is the problem of a proposal whose base is not in force.
type Superseded struct {
	Type     string `json:"type"`
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail"`
	Revision int64
}

func number(v *rules.Revision) int64 {
	if v == nil {
		return 0
	}
	return v.Number
}

// unfeasible packs the guarantees onto the targets that are listed.
func (s *Server) unfeasible(m *rules.Manifest) fault.List {
	in := map[string][]state.Target{}
	for _, h := range s.c.View.Hosts("Target") {
		if !h.Leaving {
			in[h.DataCentre] = append(in[h.DataCentre], state.Target{ID: h.ID, Rack: h.Rack, Room: h.Room, Open: true})
		}
	}
	var l fault.List
	for _, g := range state.Feasible(m, in) {
		a, i, _ := strings.Cut(g, "/")
		n, err := strconv.Atoi(i)
		if err != nil {
			continue
		}
		for k := range m.Accounts {
			if m.Accounts[k].Name == a {
				q := m.Accounts[k].Guarantees[n]
				l.Add(fmt.Sprintf("Manifest.Accounts[%d].Guarantees[%d]", k, n), q.Shape.String()+" in "+q.DataCentre,
					"guarantees that the data centre's targets can hold all at once")
			}
		}
	}
	return l
}

// History lists accepted revisions.
func (s *Server) History(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	if v := r.URL.Query().Get("After"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			reply.BadInput(w, fault.List{{Field: "After", Value: v, Allowed: "the number of a revision"}})
			return
		}
		after = n
	}
	l, err := s.c.Register.History(r.Context(), after, page)
	if err != nil {
		reply.Unavailable(w, err.Error())
		return
	}
	reply.JSON(w, http.StatusOK, l)
}

// Drain begins a planned stop of this host.
func (s *Server) Drain(w http.ResponseWriter, _ *http.Request) {
	s.c.Drain()
	reply.JSON(w, http.StatusAccepted, struct{ State string }{"Draining"})
}
