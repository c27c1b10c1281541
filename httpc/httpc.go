// Package httpc calls an HTTP service with JSON in both directions.
package httpc

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Limits of a client's connections and answers.
const (
	maxIdlePerHost = 16
	idleTimeout    = 10 * time.Second
	dialTimeout    = 2 * time.Second
	maxResponse    = 64 << 20
)

// StatusError is an answer whose status is not 2xx.
type StatusError struct {
	Status int
	Body   []byte
}

var _ error = (*StatusError)(nil)

// Error returns the status and the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %.200s", e.Status, e.Body)
}

// Client calls one service.
type Client struct {
	// Base is the URL that paths are put behind.
	Base string
	// Token, if set, goes along as a bearer token.
	Token string
	HTTP  *http.Client
}

// New returns a Client of the service at base.
func New(base string) *Client {
	t := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	return &Client{Base: base, HTTP: &http.Client{Transport: t}}
}

// NewTLS returns a Client of the service at base, a URL of scheme https.
func NewTLS(base string, t *tls.Config) *Client {
	c := New(base)
	c.HTTP.Transport.(*http.Transport).TLSClientConfig = t
	return c
}

// Do sends in as JSON, unless it is nil, and decodes the answer into out,
// unless that is nil. A status other than 2xx is a StatusError.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	_, b, err := c.DoRaw(ctx, method, path, in)
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", path, err)
	}
	return nil
}

// DoRaw is Do with the answer's header and body as they came.
func (c *Client) DoRaw(ctx context.Context, method, path string, in any) (http.Header, []byte, error) {
	body, err := encodeBody(in)
	if err != nil {
		return nil, nil, fmt.Errorf("encode request of %s: %w", path, err)
	}
	q, err := http.NewRequestWithContext(ctx, method, c.Base+path, body)
	if err != nil {
		return nil, nil, fmt.Errorf("build request of %s: %w", path, err)
	}
	if c.Token != "" {
		q.Header.Set("Authorization", "Bearer "+c.Token)
	}
	r, err := c.HTTP.Do(q)
	if err != nil {
		return nil, nil, fmt.Errorf("call %s: %w", path, err)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxResponse))
	if err != nil {
		return nil, nil, fmt.Errorf("read answer of %s: %w", path, err)
	}
	if r.StatusCode/100 != 2 {
		return r.Header, b, fmt.Errorf("call %s: %w", path, &StatusError{r.StatusCode, b})
	}
	return r.Header, b, nil
}

// encodeBody returns the request body for in. Bytes go as they are.
func encodeBody(in any) (io.Reader, error) {
	switch v := in.(type) {
	case nil:
		return nil, nil
	case []byte:
		return bytes.NewReader(v), nil
	}
	b, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	return bytes.NewReader(b), nil
}

// Status returns the HTTP status within err, or 0.
func Status(err error) int {
	var e *StatusError
	if errors.As(err, &e) {
		return e.Status
	}
	return 0
}
