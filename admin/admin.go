// Package admin serves the HTTP requests of operators: it lists hosts, targets and accounts,
// accepts manifests, and starts the planned stop of a host.
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

// Limits of a request.
const (
	// MaxProposalBytes is the largest body of a proposal, in bytes.
	MaxProposalBytes = 4 << 20
	// proposeTimeout bounds the calls to the table service that accept a proposal.
	proposeTimeout = 5 * time.Second
	// historyPageSize is the most revisions that one answer of the history lists.
	historyPageSize = 100
)

// deciders returns the deciders' views of their cells.
type deciders interface {
	Targets(ctx context.Context, cell string) ([]views.Target, error)
	Accounts(ctx context.Context, cell string) ([]views.Account, error)
}

// revisionStore stores the accepted manifests.
type revisionStore interface {
	Propose(ctx context.Context, proposal string, base int64, m *rules.Manifest) (*rules.Revision, error)
	History(ctx context.Context, after int64, limit int) ([]rules.Revision, error)
}

var _ revisionStore = (*rules.RevisionStore)(nil)

// Config holds the dependencies of a Server. All fields but Log are required.
type Config struct {
	Deciders      deciders
	RevisionStore revisionStore
	// Revisions holds the revision of the manifest that this host has adopted.
	Revisions *rules.RevisionCache
	// View holds the list of hosts, of which the targets form the cells.
	View *fleet.View
	Log  zerolog.Logger
	// Live returns the last heartbeats of the other live hosts, and Self the heartbeat of this
	// host.
	Live func() []*wire.Heartbeat
	Self func() *wire.Heartbeat
	// OnAccepted is called with each revision that this host accepted.
	OnAccepted func(r *rules.Revision)
	// Drain begins the planned stop of this host.
	Drain func()
}

// Server serves the requests of operators.
type Server struct{ config Config }

// New returns a Server. It returns an error if a required field of c is missing.
func New(c Config) (*Server, error) {
	if c.Deciders == nil || c.RevisionStore == nil || c.Revisions == nil || c.View == nil || c.Live == nil || c.Self == nil || c.OnAccepted == nil || c.Drain == nil {
		return nil, errors.New("admin: all fields of Config but Log are required")
	}
	return &Server{c}, nil
}

// HostView describes a live host by its last heartbeat. Revision is the number of the manifest
// that it has adopted, Leaving whether it drains.
type HostView struct {
	ID, DataCentre string
	Address        string
	Revision       int64
	Leaving        bool
	Cells          []CellView
}

// CellView describes a cell that a host decides for: the host's epoch, and the number of free
// accelerators.
type CellView struct {
	Cell  string
	Epoch int64
	Free  int64
}

// Hosts lists the live hosts, beginning with this one.
func (s *Server) Hosts(w http.ResponseWriter, _ *http.Request) {
	l := []HostView{}
	for _, b := range append([]*wire.Heartbeat{s.config.Self()}, s.config.Live()...) {
		v := HostView{ID: b.Host, DataCentre: b.DataCentre, Address: b.HttpAddress, Revision: b.Revision, Leaving: b.Leaving, Cells: []CellView{}}
		for _, h := range b.Holds {
			v.Cells = append(v.Cells, CellView{h.Cell, h.Epoch, h.Free})
		}
		l = append(l, v)
	}
	reply.Large(w, http.StatusOK, l)
}

// Targets lists the targets of all cells. It answers with status 503 if the decider of any cell
// can't be reached.
func (s *Server) Targets(w http.ResponseWriter, r *http.Request) {
	l := []views.Target{}
	for _, c := range s.config.View.Cells() {
		t, err := s.config.Deciders.Targets(r.Context(), c)
		if err != nil {
			reply.Error(w, http.StatusServiceUnavailable, "decider of "+c+": "+err.Error())
			return
		}
		l = append(l, t...)
	}
	reply.Large(w, http.StatusOK, l)
}

// Accounts lists the use of each account in each cell, or only that of the given account if it
// isn't empty. It answers with status 503 if the decider of any cell can't be reached.
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
	reply.Large(w, http.StatusOK, l)
}

// AllAccounts returns the use of every account in every cell, with one element for each pair. It
// returns an error if the decider of any cell can't be reached.
func (s *Server) AllAccounts(ctx context.Context) ([]views.Account, error) {
	var l []views.Account
	for _, c := range s.config.View.Cells() {
		v, err := s.config.Deciders.Accounts(ctx, c)
		if err != nil {
			return nil, fmt.Errorf("decider of %s: %w", c, err)
		}
		l = append(l, v...)
	}
	return l, nil
}

// Manifest answers with the revision in force.
func (s *Server) Manifest(w http.ResponseWriter, _ *http.Request) {
	v := s.config.Revisions.Current()
	if v == nil {
		reply.Error(w, http.StatusNotFound, "no manifest was accepted yet")
		return
	}
	reply.Large(w, http.StatusOK, v)
}

// Proposal is a proposed manifest that replaces the one of revision Base.
type Proposal struct {
	// ID identifies the proposal. Sending an accepted one again under its ID has no effect.
	ID       string
	Base     int64
	Manifest rules.Manifest
}

// Check returns the invalid fields of the proposal.
func (p *Proposal) Check() fault.List {
	var l fault.List
	l.Check(jobs.ValidID(p.ID), "ID", p.ID, jobs.IDRule)
	l.Check(p.Base >= 0, "Base", p.Base, "the number of a revision, or 0 for the first")
	return append(l, p.Manifest.Check().WithPrefix("Manifest.")...)
}

// Propose accepts a proposed manifest that has no faults. It answers with status 422 if the listed targets can't hold
// the guarantees, and with 409 if the proposal's base is no longer in force.
func (s *Server) Propose(w http.ResponseWriter, r *http.Request, p *Proposal) {
	if s.config.View.LastRead().IsZero() {
		reply.Unavailable(w, "the list of hosts was not read yet")
		return
	}
	if l := s.infeasibleGuarantees(&p.Manifest); len(l) > 0 {
		(&reply.Problem{Status: http.StatusUnprocessableEntity, Title: "Manifest can't be honoured", Faults: l}).Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), proposeTimeout)
	defer cancel()
	v, err := s.config.RevisionStore.Propose(ctx, p.ID, p.Base, &p.Manifest)
	switch {
	case errors.Is(err, rules.ErrSuperseded):
		reply.JSON(w, http.StatusConflict, Superseded{"about:blank", "Superseded", http.StatusConflict, err.Error(), revisionNumber(v)})
	case err != nil:
		reply.Unavailable(w, "send the proposal again under the same ID: "+err.Error())
	default:
		s.config.OnAccepted(v)
		s.config.Log.Info().Int64("revision", v.Number).Str("proposal", p.ID).Msg("manifest accepted")
		reply.JSON(w, http.StatusOK, v)
	}
}

// Superseded is the answer to a proposal whose base isn't the revision in force. Revision is the
// number of the one that is.
type Superseded struct {
	Type     string `json:"type"`
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail"`
	Revision int64
}

// revisionNumber returns the number of v, or 0 if there is no revision.
func revisionNumber(v *rules.Revision) int64 {
	if v == nil {
		return 0
	}
	return v.Number
}

// infeasibleGuarantees returns a fault for each guarantee of m that the targets of its data centre
// can't hold together with the others. Leaving targets don't count.
func (s *Server) infeasibleGuarantees(m *rules.Manifest) fault.List {
	targetsByCell := map[string][]state.Target{}
	for _, h := range s.config.View.Hosts("Target") {
		if !h.Leaving {
			targetsByCell[h.DataCentre] = append(targetsByCell[h.DataCentre], state.Target{ID: h.ID, Rack: h.Rack, Room: h.Room, Open: true})
		}
	}
	var l fault.List
	for _, g := range state.Infeasible(m, targetsByCell) {
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

// History lists up to historyPageSize accepted revisions after the one whose number is the query
// parameter After.
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
	l, err := s.config.RevisionStore.History(r.Context(), after, historyPageSize)
	if err != nil {
		reply.Unavailable(w, err.Error())
		return
	}
	reply.Large(w, http.StatusOK, l)
}

// Drain begins the planned stop of this host, and answers before the host has stopped.
func (s *Server) Drain(w http.ResponseWriter, _ *http.Request) {
	s.config.Drain()
	reply.JSON(w, http.StatusAccepted, struct{ State string }{"Draining"})
}
