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
	"google.golang.org/protobuf/encoding/protodelim"

	"citronbridge/fetch"
	"citronbridge/wire"
)

// Limits of connections between hosts.
const (
	dialTimeout = 300 * time.Millisecond
	// keepAliveInterval is how often an open connection is tried.
	keepAliveInterval = 5 * time.Second
	maxMessageBytes   = 16 << 20
)

// errNotSent is within an error after which the host hasn't got the call.
var errNotSent = errors.New("call was not sent")

// peer is another host. Its connection is made when it is first needed.
type peer struct {
	address string

	mu sync.Mutex
	// host is empty for a seed that isn't listed yet.
	host    string
	session *yamux.Session
	// backoffUntil keeps calls away from a host that couldn't help.
	backoffUntil time.Time
}

// name returns the host's name, empty for a seed that isn't listed yet.
func (p *peer) name() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.host
}

// setName gives a seed the name that it is listed by.
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

// connect returns the open connection to the host, or makes one.
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

// call asks the host to make a call of the table service.
func (p *peer) call(ctx context.Context, q *wire.StoreCall, wait time.Duration) (*wire.StoreAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
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
	stop := context.AfterFunc(ctx, func() { t.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := protodelim.MarshalTo(t, q); err != nil {
		p.discard(s)
		return nil, err
	}
	a := &wire.StoreAnswer{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}).UnmarshalFrom(bufio.NewReader(t), a); err != nil {
		// The connection may have fallen silent: it isn't used again.
		p.discard(s)
		return nil, err
	}
	return a, nil
}

// discard closes a connection that failed.
func (p *peer) discard(s *yamux.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Close()
	if p.session == s {
		p.session = nil
	}
}
