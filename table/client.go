package table

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rs/xid"

	"citronbridge/httpc"
	"citronbridge/retry"
)

// Limits of calls to the table service.
const (
	callTimeout = 2 * time.Second
	// maxCommitRetries is how often a failed commit is tried again.
	maxCommitRetries = 3
)

// ErrUncertain means that it is unknown whether a transaction was applied.
var ErrUncertain = errors.New("table service: outcome uncertain")

// ErrNotApplied means that a transaction was certainly not applied.
var ErrNotApplied = errors.New("table service: not sent")

// Counter counts a call. Its kind is Read or Write, its result Ok, Settled or Failed. Settled is a
// commit whose answer was lost, and that was then found to have been applied.
type Counter func(call, result string)

// Client calls the table service. A retry.Guard limits its calls and retries.
type Client struct {
	http  *httpc.Client
	guard *retry.Guard
	// count counts each read and each commit once, however often it was tried.
	count Counter
}

// NewClient returns a Client of the service at the URL base. c may be nil.
func NewClient(base string, g *retry.Guard, c Counter) *Client {
	if c == nil {
		c = func(string, string) {}
	}
	return &Client{http: httpc.New(base), guard: g, count: c}
}

// Get returns the rows with the given keys, of which there may be up to MaxKeys. Keys without a row
// are missing from the result.
func (c *Client) Get(ctx context.Context, keys ...string) (map[string]Row, error) {
	var rows []Row
	err := c.read(ctx, func(x context.Context) error {
		return c.http.Do(x, http.MethodPost, "/get", keys, &rows)
	})
	if err != nil {
		return nil, fmt.Errorf("get rows: %w", err)
	}
	m := make(map[string]Row, len(rows))
	for _, r := range rows {
		m[r.Key] = r
	}
	return m, nil
}

// Scan returns up to limit rows whose keys start with prefix and are greater than after, sorted by
// key.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) (Page, error) {
	q := url.Values{"Prefix": {prefix}, "After": {after}, "Limit": {strconv.Itoa(limit)}}
	var p Page
	err := c.read(ctx, func(x context.Context) error {
		return c.http.Do(x, http.MethodGet, "/scan?"+q.Encode(), nil, &p)
	})
	if err != nil {
		return Page{}, fmt.Errorf("scan %s: %w", prefix, err)
	}
	return p, nil
}

// read calls f, which must be idempotent, until it succeeds or the guard allows no more tries. Each
// try may take up to callTimeout.
func (c *Client) read(ctx context.Context, f func(context.Context) error) error {
	err := c.guard.Retry(ctx, func(x context.Context) error {
		x, cancel := context.WithTimeout(x, callTimeout)
		defer cancel()
		return f(x)
	})
	c.count("Read", resultLabel(err))
	return err
}

// resultLabel returns the result of a read for the Counter.
func resultLabel(err error) string {
	if err != nil {
		return "Failed"
	}
	return "Ok"
}

// Commit applies t. If an answer is lost, it reads back the first row that t puts to find out
// whether t was applied, and otherwise tries again up to maxCommitRetries times. The error is
// ErrNotApplied if t was certainly not applied, and ErrUncertain if that is unknown.
func (c *Client) Commit(ctx context.Context, t Transaction) (Result, error) {
	t.Writer = xid.New().String()
	sent := false
	for i := 0; ; i++ {
		r, err := c.commitOnce(ctx, &t, &sent)
		if err == nil {
			c.count("Write", "Ok")
			return r, nil
		}
		if sent {
			r, ok := c.resolveOutcome(ctx, &t)
			if ok {
				c.count("Write", "Settled")
				return r, nil
			}
		}
		if i >= maxCommitRetries || c.guard.WaitToRetry(ctx, i) != nil {
			c.count("Write", "Failed")
			return Result{}, commitError(sent, err)
		}
	}
}

// commitError wraps err in ErrUncertain if the transaction may have been applied, else in
// ErrNotApplied.
func commitError(sent bool, err error) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	return fmt.Errorf("%w: %w", ErrNotApplied, err)
}

// commitOnce sends t once. It sets sent if t may have been applied although the call failed.
func (c *Client) commitOnce(ctx context.Context, t *Transaction, sent *bool) (Result, error) {
	var r Result
	err := c.guard.Do(ctx, func(x context.Context) error {
		x, cancel := context.WithTimeout(x, callTimeout)
		defer cancel()
		err := c.http.Do(x, http.MethodPost, "/commit", t, &r)
		if err != nil && !refused(err) {
			*sent = true
		}
		return err
	})
	return r, err
}

// refused reports whether err is an answer with status 400, 429 or 503. The service gives these
// only to transactions that it doesn't apply.
func refused(err error) bool {
	s := httpc.Status(err)
	return s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable || s == http.StatusBadRequest
}

// resolveOutcome reports whether t was applied: the first row that it puts then names t's Writer.
// If so, it returns the current versions of the rows that t writes. It returns false if t was not
// applied or that can't be found out.
func (c *Client) resolveOutcome(ctx context.Context, t *Transaction) (Result, bool) {
	k := ""
	for _, w := range t.Writes {
		if !w.Delete {
			k = w.Key
			break
		}
	}
	m, err := c.Get(ctx, k)
	if err != nil || m[k].Writer != t.Writer {
		return Result{}, false
	}
	keys := make([]string, 0, len(t.Writes))
	for _, w := range t.Writes {
		keys = append(keys, w.Key)
	}
	return c.readVersions(ctx, keys)
}

// readVersions returns the versions of the rows with the given keys, in the order of keys. The
// version of a deleted row is 0. It returns false if the rows can't be read.
func (c *Client) readVersions(ctx context.Context, keys []string) (Result, bool) {
	var r Result
	for len(keys) > 0 {
		n := min(len(keys), MaxKeys)
		m, err := c.Get(ctx, keys[:n]...)
		if err != nil {
			return Result{}, false
		}
		for _, k := range keys[:n] {
			r.Versions = append(r.Versions, m[k].Version)
		}
		keys = keys[n:]
	}
	return r, true
}
