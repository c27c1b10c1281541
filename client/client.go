// Package client calls the HTTP API of the hosts. If a host doesn't answer, it
// tries the next one.
package client

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"citronbridge/admin"
	"citronbridge/entry"
	"citronbridge/httpc"
	"citronbridge/jobs"
	"citronbridge/reply"
	"citronbridge/rules"
	"citronbridge/views"
)

// Time limits of calls.
const (
	// callTimeout limits a call, in addition to pollWait.
	callTimeout = 10 * time.Second
	// pollWait is how long one call waits at most for a job to end.
	pollWait = 10 * time.Second
	// retryWait is the pause between two calls for the same answer.
	retryWait = 200 * time.Millisecond
)

// Client calls the first of several hosts that answers.
type Client struct {
	hosts []*httpc.Client
	// Account is the client account whose jobs an operator's calls concern. It is
	// empty if the token is an account's.
	Account string
}

// New returns a Client of hosts, each an IP number and a port, which are tried in
// their order. Connections are encrypted if t is not nil.
func New(hosts []string, token string, t *tls.Config) (*Client, error) {
	if len(hosts) == 0 {
		return nil, errors.New("no host given")
	}
	c := &Client{}
	for _, h := range hosts {
		k := httpc.New("http://" + h)
		if t != nil {
			k = httpc.NewTLS("https://"+h, t)
		}
		k.Token = token
		c.hosts = append(c.hosts, k)
	}
	return c, nil
}

// ProblemOf returns the problem details with which a host refused a call, or nil
// if err holds none.
func ProblemOf(err error) *reply.Problem {
	var e *httpc.StatusError
	if !errors.As(err, &e) {
		return nil
	}
	p := &reply.Problem{}
	if json.Unmarshal(e.Body, p) != nil || p.Status == 0 {
		return nil
	}
	return p
}

// callAny calls one host after the other until one answers. A host that can't be
// reached or answers 502 or 503 is skipped; if all are, the last error is
// returned.
func (c *Client) callAny(ctx context.Context, method, path string, in, out any) error {
	var err error
	for _, h := range c.hosts {
		err = c.callHost(ctx, h, method, path, in, out)
		if s := httpc.Status(err); err == nil || s != 0 && s != http.StatusServiceUnavailable && s != http.StatusBadGateway {
			return err
		}
		if ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (c *Client) callHost(ctx context.Context, h *httpc.Client, method, path string, in, out any) error {
	x, cancel := context.WithTimeout(ctx, callTimeout+pollWait)
	defer cancel()
	return h.Do(x, method, path, in, out)
}

// jobPath returns the path of a job followed by rest, with the query q and, for
// operators, the account.
func (c *Client) jobPath(id, rest string, q url.Values) string {
	if q == nil {
		q = url.Values{}
	}
	if c.Account != "" {
		q.Set("Account", c.Account)
	}
	p := "/v1/jobs/" + url.PathEscape(id) + rest
	if len(q) > 0 {
		p += "?" + q.Encode()
	}
	return p
}

// Submit submits a job. It may be repeated, since the job's ID makes it
// idempotent.
func (c *Client) Submit(ctx context.Context, s *jobs.Spec) (entry.Status, error) {
	var v entry.Status
	return v, c.callAny(ctx, http.MethodPost, "/v1/jobs", s, &v)
}

// Status returns the status of a job.
func (c *Client) Status(ctx context.Context, id string) (entry.Status, error) {
	var v entry.Status
	return v, c.callAny(ctx, http.MethodGet, c.jobPath(id, "", nil), nil, &v)
}

// Cancel requests that a job be stopped, and returns its status.
func (c *Client) Cancel(ctx context.Context, id string) (entry.Status, error) {
	var v entry.Status
	return v, c.callAny(ctx, http.MethodDelete, c.jobPath(id, "", nil), nil, &v)
}

// Explain returns why a job waits or how it ended.
func (c *Client) Explain(ctx context.Context, id string) (views.Explanation, error) {
	var v views.Explanation
	return v, c.callAny(ctx, http.MethodGet, c.jobPath(id, "/explanation", nil), nil, &v)
}

// Answer returns a job's answer. It waits up to wait for the job to end, and
// repeats calls that fail meanwhile, unless a host refuses them with a status of
// 4xx. An answer whose state isn't Finished means that the job hasn't ended.
func (c *Client) Answer(ctx context.Context, id string, wait time.Duration) (entry.Answer, error) {
	end := time.Now().Add(wait)
	for {
		remaining := min(max(time.Until(end), 0), pollWait)
		var v entry.Answer
		err := c.callAny(ctx, http.MethodGet, c.jobPath(id, "/answer", url.Values{"Wait": {remaining.String()}}), nil, &v)
		s := httpc.Status(err)
		expired := !time.Now().Before(end)
		switch {
		case err == nil && (v.State == jobs.Finished || expired):
			return v, nil
		case err != nil && (expired || ctx.Err() != nil || s/100 == 4):
			return v, err
		case err != nil || remaining == 0:
			time.Sleep(retryWait)
		}
	}
}

// List returns up to limit jobs of an account whose IDs follow after.
func (c *Client) List(ctx context.Context, after string, limit int) (entry.Page, error) {
	q := url.Values{"Limit": {strconv.Itoa(limit)}}
	if after != "" {
		q.Set("After", after)
	}
	if c.Account != "" {
		q.Set("Account", c.Account)
	}
	var v entry.Page
	return v, c.callAny(ctx, http.MethodGet, "/v1/jobs?"+q.Encode(), nil, &v)
}

// Hosts returns the live hosts.
func (c *Client) Hosts(ctx context.Context) ([]admin.HostView, error) {
	var v []admin.HostView
	return v, c.callAny(ctx, http.MethodGet, "/v1/hosts", nil, &v)
}

// Targets returns the targets of all cells.
func (c *Client) Targets(ctx context.Context) ([]views.Target, error) {
	var v []views.Target
	return v, c.callAny(ctx, http.MethodGet, "/v1/targets", nil, &v)
}

// Accounts returns what the accounts are guaranteed and use, by account and cell.
func (c *Client) Accounts(ctx context.Context) ([]views.Account, error) {
	var v []views.Account
	return v, c.callAny(ctx, http.MethodGet, "/v1/accounts", nil, &v)
}

// Manifest returns the revision in force.
func (c *Client) Manifest(ctx context.Context) (rules.Revision, error) {
	var v rules.Revision
	return v, c.callAny(ctx, http.MethodGet, "/v1/manifest", nil, &v)
}

// Propose proposes a manifest and returns the accepted revision. It may be
// repeated, since the proposal's ID makes it idempotent.
func (c *Client) Propose(ctx context.Context, p *admin.Proposal) (rules.Revision, error) {
	var v rules.Revision
	return v, c.callAny(ctx, http.MethodPost, "/v1/manifest", p, &v)
}

// History returns accepted revisions with numbers above after.
func (c *Client) History(ctx context.Context, after int64) ([]rules.Revision, error) {
	var v []rules.Revision
	return v, c.callAny(ctx, http.MethodGet, fmt.Sprintf("/v1/manifest/history?After=%d", after), nil, &v)
}

// Drain begins a planned stop of the first host.
func (c *Client) Drain(ctx context.Context) error {
	return c.callHost(ctx, c.hosts[0], http.MethodPost, "/v1/drain", nil, nil)
}

// Ready returns nil if the first host is ready, and an error otherwise.
func (c *Client) Ready(ctx context.Context) error {
	return c.callHost(ctx, c.hosts[0], http.MethodGet, "/readyz", nil, nil)
}
