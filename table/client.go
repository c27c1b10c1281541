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

// Bounds of a call to the service.
const (
	callTimeout = 2 * time.Second
	// maxCommitRetries bounds how often a lost answer is read back.
	maxCommitRetries = 3
)

// ErrUncertain says that a transaction may or may not have taken effect.
var ErrUncertain = errors.New("table service: outcome uncertain")

// ErrNotApplied says that a transaction certainly did not take effect.
var ErrNotApplied = errors.New("table service: not sent")

// Counter counts calls by kind and result.
type Counter func(call, result string)

// Client calls the table service under a retry policy.
type Client struct {
	http  *httpc.Client
	guard *retry.Guard
	count Counter
}

// NewClient returns a Client of the service at base.
func NewClient(base string, g *retry.Guard, c Counter) *Client {
	if c == nil {
		c = func(string, string) {}
	}
	return &Client{http: httpc.New(base), guard: g, count: c}
}

// Get returns the rows of keys. A key without a row is left out.
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

// Scan returns up to limit rows whose keys start with prefix and come after
// after, in the order of their keys.
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

// read calls f under the retry policy.
func (c *Client) read(ctx context.Context, f func(context.Context) error) error {
	err := c.guard.Retry(ctx, func(x context.Context) error {
		x, cancel := context.WithTimeout(x, callTimeout)
		defer cancel()
		return f(x)
	})
	c.count("Read", resultLabel(err))
	return err
}

func resultLabel(err error) string {
	if err != nil {
		return "Failed"
	}
	return "Ok"
}

// Commit applies t once. A lost answer is settled by reading back the first
// written row. The error is ErrNotSent if nothing took effect, ErrUncertain
// if that could not be found out.
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
		if i >= maxCommitRetries || c.guard.Wait(ctx, i) != nil {
			c.count("Write", "Failed")
			return Result{}, commitError(sent, err)
		}
	}
}

func commitError(sent bool, err error) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	return fmt.Errorf("%w: %w", ErrNotApplied, err)
}

// commitOnce sends t once and notes in sent whether it may have taken effect.
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

// refused reports whether the service itself said that it did nothing.
func refused(err error) bool {
	s := httpc.Status(err)
	return s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable || s == http.StatusBadRequest
}

// resolveOutcome finds out whether t took effect by reading its first put row.
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
	return c.versions(ctx, keys)
}

// versions reads the versions of keys in their order, 0 for a deleted row.
func (c *Client) versions(ctx context.Context, keys []string) (Result, bool) {
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
