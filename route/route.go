// Package route forwards requests to the host that decides for a cell, which can be this one, and
// serves the requests that other hosts forward to this one.
package route

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"citronbridge/cells"
	"citronbridge/claims"
	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/rules"
	"citronbridge/views"
	"citronbridge/wire"
)

// callTimeout bounds a call to a host, in addition to the time that the request asks it to wait.
const callTimeout = time.Second

// Errors of calls to deciders.
var (
	// ErrNoDecider means that this host knows of no decider for the cell.
	ErrNoDecider = errors.New("no decider known for the cell")
	// ErrNotHere means that the called host doesn't decide for the cell or doesn't have the job.
	ErrNotHere = errors.New("job is not with the decider")
)

// peerCaller sends requests to other hosts.
type peerCaller interface {
	Call(ctx context.Context, host string, q *wire.Request) (*wire.Response, error)
}

// cellClaims holds the cells that this host decides for, and knows the deciders of all cells.
type cellClaims interface {
	Cell(name string) *cells.Cell
	Holder(cell string) string
	RequestCheck()
}

var _ cellClaims = (*claims.Manager)(nil)

// jobLoader reads the stored records of jobs.
type jobLoader interface {
	Load(ctx context.Context, k jobs.Key) (ledger.Entry, error)
}

// Router sends requests to the deciders of cells, and serves the requests of other hosts.
type Router struct {
	Claims cellClaims
	Peers  peerCaller
	Jobs   jobLoader
	// Revisions holds the revision of the manifest that this host has adopted.
	Revisions *rules.RevisionCache
	Now       func() time.Time
}

// refusalNotHere is the refusal of a response that the calling host turns into ErrNotHere.
const refusalNotHere = "NotHere"

// newJobRequest returns the message that names the job k of a cell.
func newJobRequest(cell string, k jobs.Key) *wire.JobRequest {
	return &wire.JobRequest{Cell: cell, Account: k.Account, Id: k.ID}
}

// jobKeyOf returns the key of the job that q names.
func jobKeyOf(q *wire.JobRequest) jobs.Key { return jobs.Key{Account: q.GetAccount(), ID: q.GetId()} }

// Submit notifies the decider of a new job, which it reads from the table service.
func (r *Router) Submit(ctx context.Context, cell string, k jobs.Key) error {
	return r.callDecider(ctx, cell, &wire.Request{Body: &wire.Request_Submit{Submit: newJobRequest(cell, k)}}, 0, nil)
}

// Cancel asks the decider of a cell to stop a job.
func (r *Router) Cancel(ctx context.Context, cell string, k jobs.Key) error {
	return r.callDecider(ctx, cell, &wire.Request{Body: &wire.Request_Cancel{Cancel: newJobRequest(cell, k)}}, 0, nil)
}

// Wait returns the decider's copy of a job's record once the job has ended, or after wait.
func (r *Router) Wait(ctx context.Context, cell string, k jobs.Key, wait time.Duration) (*jobs.Record, error) {
	q := &wire.WaitRequest{Job: newJobRequest(cell, k), WaitMilliseconds: wait.Milliseconds()}
	var rec jobs.Record
	if err := r.callDecider(ctx, cell, &wire.Request{Body: &wire.Request_Wait{Wait: q}}, wait, &rec); err != nil {
		return nil, err
	}
	return &rec, nil
}

// Explain returns the decider's explanation of a job.
func (r *Router) Explain(ctx context.Context, cell string, k jobs.Key) (views.Explanation, error) {
	var e views.Explanation
	err := r.callDecider(ctx, cell, &wire.Request{Body: &wire.Request_Explain{Explain: newJobRequest(cell, k)}}, 0, &e)
	return e, err
}

// Targets returns the decider's view of a cell's targets.
func (r *Router) Targets(ctx context.Context, cell string) ([]views.Target, error) {
	var l []views.Target
	err := r.callDecider(ctx, cell, &wire.Request{Body: &wire.Request_Targets{Targets: &wire.CellRequest{Cell: cell}}}, 0, &l)
	return l, err
}

// Accounts returns the decider's view of the accounts in a cell.
func (r *Router) Accounts(ctx context.Context, cell string) ([]views.Account, error) {
	var l []views.Account
	err := r.callDecider(ctx, cell, &wire.Request{Body: &wire.Request_Accounts{Accounts: &wire.CellRequest{Cell: cell}}}, 0, &l)
	return l, err
}

// PushRevision sends a revision of the manifest to another host.
func (r *Router) PushRevision(ctx context.Context, host string, v *rules.Revision) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode revision: %w", err)
	}
	x, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = r.Peers.Call(x, host, &wire.Request{Body: &wire.Request_Rules{Rules: &wire.RulesRequest{Revision: b}}})
	return err
}

// PullRevision returns the revision of the manifest that another host has adopted.
func (r *Router) PullRevision(ctx context.Context, host string) (*rules.Revision, error) {
	x, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p, err := r.Peers.Call(x, host, &wire.Request{Body: &wire.Request_Rules{Rules: &wire.RulesRequest{}}})
	if err != nil {
		return nil, err
	}
	return rules.DecodeRevision(p.Body)
}

// callDecider sends a request to the decider of a cell and decodes the response into out, unless
// that is nil. The call may take up to wait plus callTimeout.
func (r *Router) callDecider(ctx context.Context, cell string, q *wire.Request, wait time.Duration, out any) error {
	host := r.Claims.Holder(cell)
	if host == "" {
		return ErrNoDecider
	}
	x, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	p, err := r.callHost(x, cell, host, q)
	switch {
	case err != nil:
		return err
	case p.Refusal == refusalNotHere:
		return ErrNotHere
	case p.Refusal != "":
		return fmt.Errorf("decider of %s: %s", cell, p.Refusal)
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(p.Body, out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", host, err)
	}
	return nil
}

// callHost sends a request about a cell to a host, or handles it here if this host decides for the
// cell.
func (r *Router) callHost(ctx context.Context, cell, host string, q *wire.Request) (*wire.Response, error) {
	if r.Claims.Cell(cell) != nil {
		return r.Handle(ctx, q), nil
	}
	return r.Peers.Call(ctx, host, q)
}
