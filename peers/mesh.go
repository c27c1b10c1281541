// Package peers connects a host with all other hosts. Each host dials every other one and
// multiplexes the connection with yamux: one stream carries its heartbeats, by which the other
// detects that it is live, and each call has a stream of its own. Messages are length-delimited
// protobuf.
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

	"citronbridge/budget"
	"citronbridge/wire"
)

// Kinds of streams. The first byte of a stream is its kind.
const (
	heartbeatStream = 'B'
	callStream      = 'C'
)

// Limits of connections and messages.
const (
	// redialWait is the time between two tries to connect to a host or to accept a connection.
	redialWait = 200 * time.Millisecond
	// maxMessage is the largest message, in bytes.
	maxMessage = 8 << 20
	// maxHeartbeat is the largest heartbeat, in bytes. One of a host that sees 1,000 others and
	// holds 100 cells has some 70 KB with names of 64 bytes.
	maxHeartbeat = 256 << 10
	// removeAfter is how long an unresponsive host that is no longer listed is still dialled.
	removeAfter = time.Minute
)

// ErrUnreachable means that there is no connection to the host, so the call was not sent.
var ErrUnreachable = errors.New("host unreachable")

// Handler serves the requests of other hosts.
type Handler func(ctx context.Context, q *wire.Request) *wire.Response

// Config holds the settings and callbacks of a Mesh. Listener, Dial, Heartbeat and Handler are
// required.
type Config struct {
	// Host is the name of this host.
	Host string
	// Listener accepts connections of other hosts, and Dial connects to them. Both encrypt and
	// authenticate if the system uses TLS.
	Listener net.Listener
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	// Heartbeat returns the next heartbeat. The Mesh sets its field Sees.
	Heartbeat func() *wire.Heartbeat
	// Period is the time between two heartbeats. A host counts as live until no heartbeat of it
	// has arrived for Timeout.
	Period, Timeout time.Duration
	// Handler serves the requests of other hosts.
	Handler Handler
	// OnChange is called when a host becomes live, when its connection breaks, and when the
	// contents of its heartbeats change. It isn't called when a host exceeds Timeout.
	OnChange func()
	// OnMalformed is called for each malformed request, stream of an unknown kind, and heartbeat
	// with an invalid host or data centre. A heartbeat that can't be decoded only ends its stream.
	OnMalformed func()
	// OnCall is called after each call, with the kind of the request and the result Ok or Failed.
	OnCall func(call, result string)
	// Budget bounds the bytes of messages. nil means one of DefaultBudget bytes.
	Budget *budget.Pool
	// MaxConns is how many connections of other hosts are served at the same time, MaxStreams
	// how many streams they have open together. 0 means the defaults.
	MaxConns, MaxStreams int
	// OnClose is called for each connection that is closed for a limit, with the reason.
	OnClose func(reason string)
}

// Defaults of the limits.
const (
	DefaultBudget     = 32 << 20
	DefaultMaxConns   = 128
	DefaultMaxStreams = 2048
)

// Defaults of Config.Period and Config.Timeout.
const (
	DefaultPeriod  = 400 * time.Millisecond
	DefaultTimeout = 1500 * time.Millisecond
)

// Mesh maintains a connection to every other host.
type Mesh struct {
	config Config

	mu sync.Mutex
	// peers holds the other hosts by name.
	peers  map[string]*peer
	closed bool
	// conns holds the open connections of both directions, which Close closes, and inbound those
	// of them that other hosts have opened.
	conns   map[net.Conn]bool
	inbound map[*inbound]bool
	// streams is the number of streams that other hosts have open. large limits the requests
	// with large responses that are served at the same time.
	streams int
	large   chan struct{}
	wg      sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// peer is the state of another host.
type peer struct {
	host    string
	address string
	// lastListed is when UpdateHosts last listed the host. It is zero for a host that is known
	// only by its heartbeats.
	lastListed time.Time
	// outbound is the connection that this host dialled, or nil. It carries the calls to the peer.
	outbound *outbound
	// heartbeat is the last heartbeat, received at receivedAt. It is nil if none has arrived or
	// the connection that it arrived on has broken.
	heartbeat  *wire.Heartbeat
	receivedAt time.Time
	// inbound is the connection that the last heartbeat arrived on.
	inbound *yamux.Session
	// cancel stops dialling the peer.
	cancel context.CancelFunc
}

// New returns a Mesh that accepts connections. It dials no host before UpdateHosts names it or a
// heartbeat of it arrives.
func New(c Config) (*Mesh, error) {
	if c.Listener == nil || c.Dial == nil || c.Heartbeat == nil || c.Handler == nil {
		return nil, errors.New("peers: Listener, Dial, Heartbeat and Handler are required")
	}
	if c.Period == 0 {
		c.Period = DefaultPeriod
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Budget == nil {
		c.Budget = budget.New(budget.Config{Limit: DefaultBudget})
	}
	if c.MaxConns == 0 {
		c.MaxConns = DefaultMaxConns
	}
	if c.MaxStreams == 0 {
		c.MaxStreams = DefaultMaxStreams
	}
	m := &Mesh{config: c, peers: map[string]*peer{}, conns: map[net.Conn]bool{}, inbound: map[*inbound]bool{}, large: make(chan struct{}, maxLargeCalls)}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Add(1)
	go m.accept()
	return m, nil
}

// Close closes all connections and waits for the goroutines that use them.
func (m *Mesh) Close() {
	m.cancel()
	m.config.Listener.Close()
	m.mu.Lock()
	m.closed = true
	for c := range m.conns {
		abort(c)
	}
	m.mu.Unlock()
	m.wg.Wait()
}

// UpdateHosts sets the list of hosts, as peer addresses by host name. A host that is no longer
// listed stays connected until it has been unresponsive and unlisted for removeAfter.
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

// setPeerAddress starts to dial a host at the given address, unless it does so already. It stops
// dialling the host's former address. The caller holds m.mu.
func (m *Mesh) setPeerAddress(host, address string, now time.Time) {
	if host == m.config.Host || m.closed || address == "" {
		return
	}
	p := m.peers[host]
	if p == nil && len(m.peers) >= maxPeers {
		return
	}
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

// keepConnected keeps a connection to a peer open until ctx ends, and dials again when it breaks.
func (m *Mesh) keepConnected(ctx context.Context, p *peer) {
	defer m.wg.Done()
	for ctx.Err() == nil {
		c, err := m.config.Dial(ctx, p.address)
		if err == nil {
			m.sendHeartbeats(ctx, p, c)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialWait):
		}
	}
}

// sendHeartbeats sends heartbeats over a new connection until it breaks or ctx ends. Meanwhile the
// connection also serves the calls to the peer.
func (m *Mesh) sendHeartbeats(ctx context.Context, p *peer, c net.Conn) {
	defer m.closeConn(c)
	if !m.trackConn(c) {
		return
	}
	k := m.meter(c, nil)
	defer k.finish()
	s, err := yamux.Client(k, m.yamuxConfig())
	if err != nil {
		return
	}
	defer s.Close()
	b, err := s.OpenStream()
	if err != nil {
		return
	}
	if _, err := b.Write([]byte{heartbeatStream}); err != nil {
		return
	}
	k.add(b.StreamID())
	m.setOutbound(p, newOutbound(s, k))
	defer m.setOutbound(p, nil)
	t := time.NewTicker(m.config.Period)
	defer t.Stop()
	for {
		h := m.config.Heartbeat()
		h.Sees = m.liveHosts()
		b.SetWriteDeadline(time.Now().Add(m.config.Timeout))
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

// setOutbound sets the connection that carries the calls to p. nil means that there is none.
func (m *Mesh) setOutbound(p *peer, o *outbound) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.outbound = o
}

// yamuxConfig returns the settings of all yamux sessions. The keep-alive of yamux is off, since
// each connection carries heartbeats. The backlog of streams to accept is never full.
func (m *Mesh) yamuxConfig() *yamux.Config {
	y := yamux.DefaultConfig()
	y.EnableKeepAlive = false
	y.AcceptBacklog = maxStreams
	y.ConnectionWriteTimeout = m.config.Timeout
	y.StreamCloseTimeout = m.config.Timeout
	y.LogOutput = io.Discard
	return y
}

// trackConn records an open connection, so that Close closes it. It returns false if the Mesh is
// already closed.
func (m *Mesh) trackConn(c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.conns[c] = true
	return true
}

// closeConn closes a connection and removes its record.
func (m *Mesh) closeConn(c net.Conn) {
	c.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

// liveHosts returns the names of the live hosts, for the field Sees of the heartbeats.
func (m *Mesh) liveHosts() []string {
	var l []string
	for _, b := range m.Live() {
		l = append(l, b.Host)
	}
	return l
}

// Live returns the last heartbeats of the live hosts, sorted by host name.
func (m *Mesh) Live() []*wire.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := time.Now()
	var l []*wire.Heartbeat
	for _, p := range m.peers {
		if p.heartbeat != nil && n.Sub(p.receivedAt) <= m.config.Timeout {
			l = append(l, p.heartbeat)
		}
	}
	slices.SortFunc(l, func(a, b *wire.Heartbeat) int { return strings.Compare(a.Host, b.Host) })
	return l
}

// Peer returns the last heartbeat of a host, or nil if the host isn't live.
func (m *Mesh) Peer(host string) *wire.Heartbeat {
	for _, b := range m.Live() {
		if b.Host == host {
			return b
		}
	}
	return nil
}

// Call sends a request to a host and returns its response. An error that isn't ErrUnreachable
// leaves open whether the host has handled the request.
func (m *Mesh) Call(ctx context.Context, host string, q *wire.Request) (*wire.Response, error) {
	r, err := m.call(ctx, host, q)
	if m.config.OnCall != nil {
		res := "Ok"
		if err != nil {
			res = "Failed"
		}
		m.config.OnCall(strings.TrimPrefix(fmt.Sprintf("%T", q.Body), "*wire.Request_"), res)
	}
	return r, err
}

// call does the work of Call without reporting the result.
func (m *Mesh) call(ctx context.Context, host string, q *wire.Request) (*wire.Response, error) {
	m.mu.Lock()
	var o *outbound
	if p := m.peers[host]; p != nil {
		o = p.outbound
	}
	m.mu.Unlock()
	if o == nil {
		return nil, fmt.Errorf("call %s: %w", host, ErrUnreachable)
	}
	release, err := o.acquire(ctx, q)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w: %w", host, ErrUnreachable, err)
	}
	defer release()
	t, err := o.open()
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", host, err)
	}
	defer t.close()
	stop := context.AfterFunc(ctx, func() { t.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := t.Write([]byte{callStream}); err != nil {
		return nil, fmt.Errorf("call %s: %w", host, err)
	}
	if _, err := protodelim.MarshalTo(t, q); err != nil {
		return nil, fmt.Errorf("call %s: %w", host, err)
	}
	l := o.metered.openLease()
	defer l.Close()
	var r wire.Response
	if err := readMessage(newReader(t), l, maxMessage, &r); err != nil {
		return nil, fmt.Errorf("call %s: %w", host, err)
	}
	return &r, nil
}
