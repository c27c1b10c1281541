// Package httpc is a client of HTTP services that exchange JSON.
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

// Limits of a client's connections, and of a response body in bytes.
const (
	maxIdlePerHost = 16
	idleTimeout    = 10 * time.Second
	dialTimeout    = 2 * time.Second
	maxResponse    = 64 << 20
)

// StatusError is the error of a response whose status is not 2xx.
type StatusError struct {
	Status int
	Body   []byte
}

var _ error = (*StatusError)(nil)

// Error returns the status and the first 200 bytes of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %.200s", e.Status, e.Body)
}

// Client calls one service.
type Client struct {
	// Base is the URL that the path of each call is appended to.
	Base string
	// Token, if not empty, is sent as a bearer token.
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

// NewTLS returns a Client of the service at base, a URL of scheme https, with the
// TLS configuration t.
func NewTLS(base string, t *tls.Config) *Client {
	c := New(base)
	c.HTTP.Transport.(*http.Transport).TLSClientConfig = t
	return c
}

// Do sends in as JSON, unless it is nil, and decodes the response body into out,
// unless that is nil. A status other than 2xx gives a *StatusError.
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

// DoRaw is like Do, but returns the response's header and undecoded body. Both are
// also returned with a *StatusError. A body is cut at maxResponse bytes.
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
	b, err := readBody(r)
	if err != nil {
		return nil, nil, fmt.Errorf("read answer of %s: %w", path, err)
	}
	if r.StatusCode/100 != 2 {
		return r.Header, b, fmt.Errorf("call %s: %w", path, &StatusError{r.StatusCode, b})
	}
	return r.Header, b, nil
}

// readBody reads the body of a response, cut at maxResponse bytes. If its length is known, the
// buffer has that size, where io.ReadAll would allocate several times as much.
func readBody(r *http.Response) ([]byte, error) {
	if r.ContentLength < 0 || r.ContentLength > maxResponse {
		return io.ReadAll(io.LimitReader(r.Body, maxResponse))
	}
	b := make([]byte, r.ContentLength)
	n, err := io.ReadFull(r.Body, b)
	return b[:n], err
}

// encodeBody returns the request body for in. A []byte is sent unchanged, any
// other value as JSON.
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

// Status returns the HTTP status of the StatusError in err's chain, or 0 if there
// is none.
func Status(err error) int {
	var e *StatusError
	if errors.As(err, &e) {
		return e.Status
	}
	return 0
}
