// Package fetch calls HTTP services that may fall silent, with JSON in both
// directions, and tells calls that were never sent from those without an
// answer.
package fetch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of connections and answers.
const (
	dialTimeout    = 700 * time.Millisecond
	idleTimeout    = 12 * time.Second
	maxIdlePerHost = 6
	// unackedTimeout is how long sent bytes may stay unacknowledged.
	unackedTimeout = 2 * time.Second
	maxAnswerBytes = 16 << 20
)

// ErrNotSent is within an error after which the service hasn't got the call.
var ErrNotSent = errors.New("nothing was sent")

// Dialer returns a dialer of connections that fail when the other end falls
// silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if e := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			}); e != nil {
				return e
			}
			return err
		},
	}
}

// Client returns a client whose connections fail when the other end falls
// silent. It keeps at most idle connections that nothing uses, 0 for any
// number.
func Client(idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: Dialer(dialTimeout).DialContext, MaxIdleConns: idle, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout,
		DisableCompression: true, WriteBufferSize: 2 << 10, ReadBufferSize: 2 << 10,
	}}
}

// JSON sends in as JSON, unless it is nil, and decodes the answer into out if
// its status is one of 200 and 409 and 412. Errors before anything was sent
// are ErrNotSent.
func JSON(ctx context.Context, c *http.Client, method, url string, header http.Header, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, fmt.Errorf("encode call of %s: %w: %w", url, ErrNotSent, err)
		}
		body = bytes.NewReader(b)
	}
	q, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, fmt.Errorf("build call of %s: %w: %w", url, ErrNotSent, err)
	}
	// A call is never repeated by the transport: whoever sent it decides.
	q.GetBody = nil
	if in != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	for k, v := range header {
		q.Header[k] = v
	}
	r, err := c.Do(q)
	if err != nil {
		var o *net.OpError
		if errors.As(err, &o) && o.Op == "dial" {
			return 0, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return 0, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxAnswerBytes))
	if err != nil {
		return 0, fmt.Errorf("read answer of %s: %w", url, err)
	}
	switch r.StatusCode {
	case http.StatusOK, http.StatusConflict, http.StatusPreconditionFailed:
		if out != nil {
			if err := json.Unmarshal(b, out); err != nil {
				return 0, fmt.Errorf("decode answer of %s: %w", url, err)
			}
		}
	}
	return r.StatusCode, nil
}
