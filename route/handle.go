package route

import (
	"context"
	"encoding/json"
	"time"

	"citronbridge/cells"
	"citronbridge/rules"
	"citronbridge/wire"
)

// maxWait is the longest time that another host may ask a request to wait.
const maxWait = time.Minute

// Handle serves a request of another host. The response has a refusal if the request can't be
// served.
func (r *Router) Handle(ctx context.Context, q *wire.Request) *wire.Response {
	switch b := q.Body.(type) {
	case *wire.Request_Submit:
		return r.handleSubmit(ctx, b.Submit)
	case *wire.Request_Cancel:
		return r.handleCancel(ctx, b.Cancel)
	case *wire.Request_Wait:
		return r.handleWait(ctx, b.Wait)
	case *wire.Request_Explain:
		return r.callCell(b.Explain.GetCell(), func(c *cells.Cell) (any, bool) { return c.Explain(jobKeyOf(b.Explain)) })
	case *wire.Request_Targets:
		return r.callCell(b.Targets.GetCell(), func(c *cells.Cell) (any, bool) { return c.Targets(), true })
	case *wire.Request_Accounts:
		return r.callCell(b.Accounts.GetCell(), func(c *cells.Cell) (any, bool) { return c.Accounts(), true })
	case *wire.Request_Rules:
		return r.handleRules(b.Rules)
	}
	return &wire.Response{Refusal: "Malformed"}
}

// callCell calls f with a cell that this host decides for, and responds with the result in JSON. It
// refuses with refusalNotHere if this host doesn't decide for the cell, or f returns false because
// the cell doesn't have the job.
func (r *Router) callCell(name string, f func(*cells.Cell) (any, bool)) *wire.Response {
	c := r.Claims.Cell(name)
	if c == nil {
		return &wire.Response{Refusal: refusalNotHere}
	}
	v, ok := f(c)
	if !ok {
		return &wire.Response{Refusal: refusalNotHere}
	}
	return encodeResponse(v)
}

// encodeResponse returns a response whose body is v in JSON.
func encodeResponse(v any) *wire.Response {
	b, err := json.Marshal(v)
	if err != nil {
		return &wire.Response{Refusal: err.Error()}
	}
	return &wire.Response{Body: b}
}

// handleSubmit reads a job's record from the table service and submits it to its cell.
func (r *Router) handleSubmit(ctx context.Context, q *wire.JobRequest) *wire.Response {
	c := r.Claims.Cell(q.GetCell())
	if c == nil {
		return &wire.Response{Refusal: refusalNotHere}
	}
	e, err := r.Jobs.Load(ctx, jobKeyOf(q))
	if err != nil || e.Record == nil {
		return &wire.Response{Refusal: "job not read"}
	}
	c.Submit(e)
	return &wire.Response{}
}

// handleCancel stops a job. A host accepts a job before it has notified the decider, so a job that
// the cell doesn't know is submitted to it first.
func (r *Router) handleCancel(ctx context.Context, q *wire.JobRequest) *wire.Response {
	cancelJob := func(c *cells.Cell) (any, bool) { return nil, c.Cancel(jobKeyOf(q)) }
	p := r.callCell(q.GetCell(), cancelJob)
	if p.Refusal != refusalNotHere {
		return p
	}
	if p := r.handleSubmit(ctx, q); p.Refusal != "" {
		return p
	}
	return r.callCell(q.GetCell(), cancelJob)
}

// handleWait responds with a job's record once the job has ended, or after the requested time, at
// most maxWait.
func (r *Router) handleWait(ctx context.Context, q *wire.WaitRequest) *wire.Response {
	d := min(time.Duration(q.GetWaitMilliseconds())*time.Millisecond, maxWait)
	return r.callCell(q.GetJob().GetCell(), func(c *cells.Cell) (any, bool) {
		rec, ok := c.Wait(ctx, jobKeyOf(q.GetJob()), max(d, 0))
		return &rec, ok
	})
}

// handleRules adopts the revision that the request holds if it is newer. For a request without one
// it responds with the revision that this host has adopted.
func (r *Router) handleRules(q *wire.RulesRequest) *wire.Response {
	if len(q.GetRevision()) == 0 {
		cur := r.Revisions.Current()
		if cur == nil {
			return &wire.Response{Refusal: "no revision"}
		}
		return encodeResponse(cur)
	}
	v, err := rules.DecodeRevision(q.GetRevision())
	if err != nil {
		return &wire.Response{Refusal: "Malformed"}
	}
	if r.Revisions.Adopt(v, r.Now()) {
		r.Claims.RequestCheck()
	}
	return &wire.Response{}
}
