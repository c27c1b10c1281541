package fetch

import (
	"bufio"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// checkTimeout limits the check of a new connection.
const checkTimeout = 700 * time.Millisecond

// Peer is the process that a call is meant for, where another one may have its address by
// now. As a connection ends with the process that accepted it, one check of each connection
// keeps calls from all other processes.
type Peer struct {
	// ID distinguishes the processes that have had an address.
	ID string
	// Check returns an error if a new connection doesn't lead to the process, or if that is
	// unknown. The call isn't sent then, and fails with an error that wraps this one and
	// ErrNotSent.
	Check func(c *Conn) error
}

// WithPeer returns a context for calls that no other process than p may receive.
func WithPeer(ctx context.Context, p Peer) context.Context {
	return context.WithValue(ctx, peerKey{}, p)
}

// peerKey is the key of a call's peer in its context, addressKey that of the peer's address.
type (
	peerKey    struct{}
	addressKey struct{}
)

// peerTransport keeps the connections of each peer apart.
type peerTransport struct {
	*http.Transport
	dialer *net.Dialer
}

func newPeerTransport(t *http.Transport) *peerTransport {
	p := &peerTransport{t, Dialer(dialTimeout)}
	t.DialContext = p.dial
	return p
}

// RoundTrip implements http.RoundTripper.
func (t *peerTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	p, ok := q.Context().Value(peerKey{}).(Peer)
	if !ok {
		return t.Transport.RoundTrip(q)
	}
	r := q.WithContext(context.WithValue(q.Context(), addressKey{}, q.URL.Host))
	u := *q.URL
	// The transport shares connections between URLs of the same host.
	u.Host = hex.EncodeToString([]byte(q.URL.Host + " " + p.ID))
	r.URL = &u
	return t.Transport.RoundTrip(r)
}

// dial connects to an address, or to the peer of ctx.
func (t *peerTransport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	p, ok := ctx.Value(peerKey{}).(Peer)
	if !ok {
		return t.dialer.DialContext(ctx, network, address)
	}
	address, _ = ctx.Value(addressKey{}).(string)
	c, err := t.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := p.check(ctx, c, address); err != nil {
		c.Close()
		return nil, fmt.Errorf("check connection to %s: %w: %w", address, ErrNotSent, err)
	}
	return c, nil
}

// check checks a new connection to an address within checkTimeout.
func (p Peer) check(ctx context.Context, c net.Conn, address string) error {
	if err := c.SetDeadline(time.Now().Add(checkTimeout)); err != nil {
		return err
	}
	interrupted := context.AfterFunc(ctx, func() { c.SetDeadline(time.Now()) })
	err := p.Check(&Conn{c, bufio.NewReader(c), address})
	if !interrupted() {
		return errors.Join(err, ctx.Err())
	}
	return errors.Join(err, c.SetDeadline(time.Time{}))
}

// Conn is a new connection to a peer.
type Conn struct {
	conn    net.Conn
	reader  *bufio.Reader
	address string
}

// JSON makes a call of a path on this connection, with the arguments and results of the function
// JSON.
func (c *Conn) JSON(method, path string, header http.Header, in, out any) (int, error) {
	url := "http://" + c.address + path
	q, err := newRequest(context.Background(), method, url, header, in)
	if err != nil {
		return 0, err
	}
	if err := q.Write(c.conn); err != nil {
		return 0, fmt.Errorf("send call of %s: %w", url, err)
	}
	r, err := http.ReadResponse(c.reader, q)
	if err != nil {
		return 0, fmt.Errorf("read answer of %s: %w", url, err)
	}
	status, err := readAnswer(url, r, out)
	switch {
	case err != nil:
		return 0, err
	case r.Close, c.reader.Buffered() > 0:
		return 0, fmt.Errorf("connection to %s can't be used again", c.address)
	}
	return status, nil
}
