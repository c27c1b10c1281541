// Package fetch calls HTTP services with JSON requests and answers. It detects connections
// whose other end has become unresponsive, and distinguishes calls that were never sent from
// calls that got no answer.
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
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails (TCP_USER_TIMEOUT).
	unackedTimeout = 2 * time.Second
	maxAnswerBytes = 16 << 20
)

// ErrNotSent is wrapped by errors after which the service can't have received the call.
var ErrNotSent = errors.New("nothing was sent")

// Dialer returns a dialer whose connections fail if the other end stops acknowledging data.
// timeout limits the time to connect.
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

// Client returns a client whose connections fail if the other end stops acknowledging data.
// idle limits the idle connections that it keeps, 0 for no limit.
func Client(idle int) *http.Client {
	return &http.Client{Transport: newPeerTransport(&http.Transport{
		MaxIdleConns: idle, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout,
		DisableCompression: true, WriteBufferSize: 2 << 10, ReadBufferSize: 2 << 10,
	})}
}

// JSON sends in as the JSON body of a call, unless it is nil, and returns the status of the
// answer. It decodes the body of the answer into out, unless that is nil, if the status is
// 200, 409 or 412. Errors that occur before anything was sent wrap ErrNotSent; any other
// error means that the outcome is unknown.
func JSON(ctx context.Context, c *http.Client, method, url string, header http.Header, in, out any) (int, error) {
	q, err := newRequest(ctx, method, url, header, in)
	if err != nil {
		return 0, err
	}
	r, err := c.Do(q)
	if err != nil {
		var o *net.OpError
		if errors.As(err, &o) && o.Op == "dial" {
			return 0, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return 0, err
	}
	return readAnswer(url, r, out)
}

// newRequest returns the request of a call. Its errors wrap ErrNotSent.
func newRequest(ctx context.Context, method, url string, header http.Header, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, fmt.Errorf("encode call of %s: %w: %w", url, ErrNotSent, err)
		}
		body = bytes.NewReader(b)
	}
	q, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, fmt.Errorf("build call of %s: %w: %w", url, ErrNotSent, err)
	}
	// Without GetBody the transport can't repeat a call on its own: whether it may be
	// repeated is the caller's decision.
	q.GetBody = nil
	if in != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	for k, v := range header {
		q.Header[k] = v
	}
	return q, nil
}

// readAnswer returns the status of an answer and decodes its body into out as JSON does.
func readAnswer(url string, r *http.Response, out any) (int, error) {
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
