package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/encoding/protodelim"

	"citronbridge/fetch"
	"citronbridge/wire"
)

// Limits of connections between hosts.
const (
	dialTimeout = 300 * time.Millisecond
	// keepAliveInterval is the interval of keep-alive probes on an open connection.
	keepAliveInterval = 5 * time.Second
	maxMessageBytes   = 16 << 20
	// callsPerPeer limits the calls on one connection. It is below maxStreams, as the peer
	// notices the end of a call a little later than this host.
	callsPerPeer = 24
)

// errNotSent is wrapped by errors after which the peer can't have received the call.
var errNotSent = errors.New("call was not sent")

// peer is another host that can relay calls. Its connection is opened by the first call.
type peer struct {
	address string
	calls   *semaphore.Weighted

	mu sync.Mutex
	// host is empty for a seed that isn't listed yet.
	host    string
	session *yamux.Session
	// backoffUntil is the time before which a peer that couldn't relay a call is not
	// used again.
	backoffUntil time.Time
}

func newPeer(host, address string) *peer {
	return &peer{host: host, address: address, calls: semaphore.NewWeighted(callsPerPeer)}
}

// name returns the peer's host name, empty for a seed that isn't listed yet.
func (p *peer) name() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.host
}

// setName sets the host name of a seed that is now listed.
func (p *peer) setName(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.host = host
}

func (p *peer) backOff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoffUntil = time.Now().Add(peerBackoff)
}

func (p *peer) available() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().After(p.backoffUntil)
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil {
		p.session.Close()
		p.session = nil
	}
}

func (p *peer) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && p.session.NumStreams() == 0 {
		p.session.Close()
		p.session = nil
	}
}

// connect returns the open connection to the peer, or opens one.
func (p *peer) connect(ctx context.Context) (*yamux.Session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && !p.session.IsClosed() {
		return p.session, nil
	}
	c, err := fetch.Dialer(dialTimeout).DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	s, err := yamux.Client(c, sessionConfig())
	if err != nil {
		c.Close()
		return nil, err
	}
	p.session = s
	return s, nil
}

func sessionConfig() *yamux.Config {
	y := yamux.DefaultConfig()
	y.KeepAliveInterval = keepAliveInterval
	y.ConnectionWriteTimeout = callTimeout
	y.StreamCloseTimeout = callTimeout
	y.LogOutput = io.Discard
	return y
}

// call lets the peer make a call to the table service that may wait there for up to wait,
// and returns the answer.
func (p *peer) call(ctx context.Context, q *wire.StoreCall, wait time.Duration) (*wire.StoreAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	if err := p.calls.Acquire(ctx, 1); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	defer p.calls.Release(1)
	s, err := p.connect(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	t, err := s.Open()
	if err != nil {
		p.discard(s)
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	defer t.Close()
	// A deadline in the past ends the reads and writes that block.
	stop := context.AfterFunc(ctx, func() { t.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := protodelim.MarshalTo(t, q); err != nil {
		p.discard(s)
		return nil, err
	}
	a := &wire.StoreAnswer{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}).UnmarshalFrom(bufio.NewReader(t), a); err != nil {
		// The connection may be unresponsive, so don't use it for further calls.
		p.discard(s)
		return nil, err
	}
	return a, nil
}

// discard closes a failed connection, so that the next call opens a new one.
func (p *peer) discard(s *yamux.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Close()
	if p.session == s {
		p.session = nil
	}
}
