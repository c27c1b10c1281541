package route

import (
	"context"
	"encoding/json"
	"time"

	"citronbridge/cells"
	"citronbridge/rules"
	"citronbridge/wire"
)

// maxWait bounds how long a call may wait here.
const maxWait = time.Minute

// Handle answers a call of another host.
func (r *Router) Handle(ctx context.Context, q *wire.Request) *wire.Response {
	switch b := q.Body.(type) {
	case *wire.Request_Submit:
		return r.handleSubmit(ctx, b.Submit)
	case *wire.Request_Cancel:
		return r.handleCancel(ctx, b.Cancel)
	case *wire.Request_Wait:
		return r.handleWait(ctx, b.Wait)
	case *wire.Request_Explain:
		return r.callCell(b.Explain.GetCell(), func(c *cells.Cell) (any, bool) { return c.Explain(keyOf(b.Explain)) })
	case *wire.Request_Targets:
		return r.callCell(b.Targets.GetCell(), func(c *cells.Cell) (any, bool) { return c.Targets(), true })
	case *wire.Request_Accounts:
		return r.callCell(b.Accounts.GetCell(), func(c *cells.Cell) (any, bool) { return c.Accounts(), true })
	case *wire.Request_Rules:
		return r.handleRules(b.Rules)
	}
	return &wire.Response{Refusal: "Malformed"}
}

// callCell answers with what f returns for a cell of this host.
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

func encodeResponse(v any) *wire.Response {
	b, err := json.Marshal(v)
	if err != nil {
		return &wire.Response{Refusal: err.Error()}
	}
	return &wire.Response{Body: b}
}

// handleSubmit reads a job's row and gives it to its cell.
func (r *Router) handleSubmit(ctx context.Context, q *wire.JobRequest) *wire.Response {
	c := r.Claims.Cell(q.GetCell())
	if c == nil {
		return &wire.Response{Refusal: refusalNotHere}
	}
	e, err := r.Jobs.Load(ctx, keyOf(q))
	if err != nil || e.Record == nil {
		return &wire.Response{Refusal: "job not read"}
	}
	c.Submit(e)
	return &wire.Response{}
}

// handleCancel stops a job. A host answers a caller before it tells the decider of
// the job, so one that the cell doesn't know is read first.
func (r *Router) handleCancel(ctx context.Context, q *wire.JobRequest) *wire.Response {
	cancelJob := func(c *cells.Cell) (any, bool) { return nil, c.Cancel(keyOf(q)) }
	p := r.callCell(q.GetCell(), cancelJob)
	if p.Refusal != refusalNotHere {
		return p
	}
	if p := r.handleSubmit(ctx, q); p.Refusal != "" {
		return p
	}
	return r.callCell(q.GetCell(), cancelJob)
}

func (r *Router) handleWait(ctx context.Context, q *wire.WaitRequest) *wire.Response {
	d := min(time.Duration(q.GetWaitMilliseconds())*time.Millisecond, maxWait)
	return r.callCell(q.GetJob().GetCell(), func(c *cells.Cell) (any, bool) {
		rec, ok := c.Wait(ctx, keyOf(q.GetJob()), max(d, 0))
		return &rec, ok
	})
}

// handleRules takes a pushed revision, or answers with the one in force.
func (r *Router) handleRules(q *wire.RulesRequest) *wire.Response {
	if len(q.GetRevision()) == 0 {
		cur := r.Book.Current()
		if cur == nil {
			return &wire.Response{Refusal: "no revision"}
		}
		return encodeResponse(cur)
	}
	v, err := rules.DecodeRevision(q.GetRevision())
	if err != nil {
		return &wire.Response{Refusal: "Malformed"}
	}
	if r.Book.Adopt(v, r.Now()) {
		r.Claims.Poke()
	}
	return &wire.Response{}
}
