// Package peers speaks with the other hosts of the system: heartbeats tell who
// lives, and calls go over yamux streams with protobuf messages.
package peers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"citronbridge/wire"
)

// Kinds of stream, sent as its first byte.
const (
	heartbeatStream = 'B'
	callStream      = 'C'
)

// Bounds of connections and messages.
const (
	redialWait = 200 * time.Millisecond
	maxMessage = 8 << 20
	// removeAfter is how long a silent host that is no longer listed is dialled.
	removeAfter = time.Minute
)

// ErrUnreachable says that there is no connection to a host.
var ErrUnreachable = errors.New("host unreachable")

// Handler serves the calls of other hosts.
type Handler func(ctx context.Context, q *wire.Request) *wire.Response

// Config is what a Mesh needs.
type Config struct {
	Host string
	// Listener accepts other hosts, and Dial connects to them.
	Listener net.Listener
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	// Heartbeat returns what the next heartbeats say, but for Sees.
	Heartbeat func() *wire.Heartbeat
	// Period is the time between heartbeats, Timeout that after which a silent
	// host counts as gone.
	Period, Timeout time.Duration
	Handler         Handler
	// OnChange is told when a host comes, goes or says something new.
	OnChange func()
	// OnMalformed is told of messages that can't be decoded.
	OnMalformed func()
	// OnCall is told of each call's result.
	OnCall func(call, result string)
}

// Defaults of Config.
const (
	DefaultPeriod  = 400 * time.Millisecond
	DefaultTimeout = 1500 * time.Millisecond
)

// Mesh holds a connection to every other host.
type Mesh struct {
	c Config

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
	conns  map[net.Conn]bool
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// peer is another host.
type peer struct {
	host       string
	address    string
	lastListed time.Time
	session    *yamux.Session
	heartbeat  *wire.Heartbeat
	receivedAt time.Time
	// inbound is the connection that the last heartbeat came by.
	inbound *yamux.Session
	cancel  context.CancelFunc
}

// New returns a Mesh that accepts connections.
func New(c Config) (*Mesh, error) {
	if c.Listener == nil || c.Dial == nil || c.Heartbeat == nil || c.Handler == nil {
		return nil, errors.New("peers: Listener, Dial, Beat and Handler are needed")
	}
	if c.Period == 0 {
		c.Period = DefaultPeriod
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	m := &Mesh{c: c, peers: map[string]*peer{}, conns: map[net.Conn]bool{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Add(1)
	go m.accept()
	return m, nil
}

// Close cuts all connections and waits for what uses them.
func (m *Mesh) Close() {
	m.cancel()
	m.c.Listener.Close()
	m.mu.Lock()
	m.closed = true
	for c := range m.conns {
		c.Close()
	}
	m.mu.Unlock()
	m.wg.Wait()
}

// UpdateHosts tells which hosts there are: their peer addresses by host.
func (m *Mesh) UpdateHosts(hosts map[string]string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for h, a := range hosts {
		m.setPeerAddress(h, a, now)
		if p := m.peers[h]; p != nil {
			p.lastListed = now
		}
	}
	for h, p := range m.peers {
		if hosts[h] == "" && now.Sub(p.lastListed) > removeAfter && now.Sub(p.receivedAt) > removeAfter {
			p.cancel()
			delete(m.peers, h)
		}
	}
}

// setPeerAddress starts to dial a host. The lock is held.
func (m *Mesh) setPeerAddress(host, address string, now time.Time) {
	if host == m.c.Host || m.closed || address == "" {
		return
	}
	p := m.peers[host]
	if p != nil && p.address == address {
		return
	}
	if p != nil {
		p.cancel()
	}
	ctx, cancel := context.WithCancel(m.ctx)
	n := &peer{host: host, address: address, cancel: cancel}
	if p != nil {
		n.heartbeat, n.receivedAt, n.inbound = p.heartbeat, p.receivedAt, p.inbound
	}
	m.peers[host] = n
	m.wg.Add(1)
	go m.keepConnected(ctx, n)
}

// keepConnected keeps a connection to a peer until ctx ends.
func (m *Mesh) keepConnected(ctx context.Context, p *peer) {
	defer m.wg.Done()
	for ctx.Err() == nil {
		c, err := m.c.Dial(ctx, p.address)
		if err == nil {
			m.sendHeartbeats(ctx, p, c)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialWait):
		}
	}
}

// sendHeartbeats sends heartbeats over a new connection until it breaks.
func (m *Mesh) sendHeartbeats(ctx context.Context, p *peer, c net.Conn) {
	defer m.closeConn(c)
	if !m.trackConn(c) {
		return
	}
	s, err := yamux.Client(c, m.yamuxConfig())
	if err != nil {
		return
	}
	defer s.Close()
	b, err := s.Open()
	if err != nil {
		return
	}
	if _, err := b.Write([]byte{heartbeatStream}); err != nil {
		return
	}
	m.setSession(p, s)
	defer m.setSession(p, nil)
	t := time.NewTicker(m.c.Period)
	defer t.Stop()
	for {
		h := m.c.Heartbeat()
		h.Sees = m.liveHosts()
		b.SetWriteDeadline(time.Now().Add(m.c.Timeout))
		if _, err := protodelim.MarshalTo(b, h); err != nil {
			return
		}
		select {
		case <-t.C:
		case <-s.CloseChan():
			return
		case <-ctx.Done():
			return
		}
	}
}

func (m *Mesh) setSession(p *peer, s *yamux.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.session = s
}

func (m *Mesh) yamuxConfig() *yamux.Config {
	y := yamux.DefaultConfig()
	y.EnableKeepAlive = false
	y.ConnectionWriteTimeout = m.c.Timeout
	y.StreamCloseTimeout = m.c.Timeout
	y.LogOutput = io.Discard
	return y
}

// trackConn notes an open connection so that Close can cut it.
func (m *Mesh) trackConn(c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.conns[c] = true
	return true
}

func (m *Mesh) closeConn(c net.Conn) {
	c.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

// liveHosts lists the hosts whose heartbeats arrive.
func (m *Mesh) liveHosts() []string {
	var l []string
	for _, b := range m.Live() {
		l = append(l, b.Host)
	}
	return l
}

// Live returns the last heartbeats of the hosts that live, by host.
func (m *Mesh) Live() []*wire.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := time.Now()
	var l []*wire.Heartbeat
	for _, p := range m.peers {
		if p.heartbeat != nil && n.Sub(p.receivedAt) <= m.c.Timeout {
			l = append(l, p.heartbeat)
		}
	}
	slices.SortFunc(l, func(a, b *wire.Heartbeat) int { return strings.Compare(a.Host, b.Host) })
	return l
}

// Peer returns the last heartbeat of a host, or nil if it doesn't live.
func (m *Mesh) Peer(host string) *wire.Heartbeat {
	for _, b := range m.Live() {
		if b.Host == host {
			return b
		}
	}
	return nil
}

// Call sends a request to a host and returns its response.
func (m *Mesh) Call(ctx context.Context, host string, q *wire.Request) (*wire.Response, error) {
	r, err := m.call(ctx, host, q)
	if m.c.OnCall != nil {
		res := "Ok"
		if err != nil {
			res = "Failed"
		}
		m.c.OnCall(strings.TrimPrefix(fmt.Sprintf("%T", q.Body), "*wire.Request_"), res)
	}
	return r, err
}

func (m *Mesh) call(ctx context.Context, host string, q *wire.Request) (*wire.Response, error) {
	m.mu.Lock()
	var s *yamux.Session
	if p := m.peers[host]; p != nil {
		s = p.session
	}
	m.mu.Unlock()
	if s == nil {
		return nil, fmt.Errorf("call %s: %w", host, ErrUnreachable)
	}
	t, err := s.Open()
	if err != nil {
		return nil, fmt.Errorf("call %s: %w: %w", host, ErrUnreachable, err)
	}
	defer t.Close()
	stop := context.AfterFunc(ctx, func() { t.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := t.Write([]byte{callStream}); err != nil {
		return nil, fmt.Errorf("call %s: %w", host, err)
	}
	if _, err := protodelim.MarshalTo(t, q); err != nil {
		return nil, fmt.Errorf("call %s: %w", host, err)
	}
	var r wire.Response
	if err := readMessage(newReader(t), &r); err != nil {
		return nil, fmt.Errorf("call %s: %w", host, err)
	}
	return &r, nil
}
