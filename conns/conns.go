// Package conns bounds the number of open connections of a listener.
package conns

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Reasons that are passed to OnClose.
const (
	// Idle connections waited for another request.
	Idle = "Idle"
	// Header connections hadn't sent a complete header.
	Header = "Header"
	// Body connections were in a request's body.
	Body = "Body"
	// Unread connections had responses that weren't read.
	Unread = "Unread"
	// HeaderLines connections sent a header with too many lines.
	HeaderLines = "HeaderLines"
	// Refused connections were closed when they arrived, as no other could be closed.
	Refused = "Refused"
)

// acceptRetryPause is the wait after a connection couldn't be accepted, as a rule for lack of
// descriptors. It is that of net/http's first retries.
const acceptRetryPause = 10 * time.Millisecond

// unreadTime is how long a write must be blocked until its connection may be closed for the limit.
// A client that reads takes a round trip, some 80 ms on a slow link.
const unreadTime = 250 * time.Millisecond

// Config configures a Listener.
type Config struct {
	// Limit is the number of connections that may be open at the same time.
	Limit int
	// OnClose, if set, is called for each connection that is closed for the limit.
	OnClose func(reason string)
	// Now returns the time; time.Now if nil.
	Now func() time.Time
	// WriteTimeout, if positive, is the time within which a client has to read a response,
	// counted from its first byte. It isn't fit for HTTP/2, where responses overlap.
	WriteTimeout time.Duration
	// MaxHeaderLines, if positive, limits the lines of a request's header while more than
	// HeaderLinesFrom connections are open, as short lines take net/http many times their size. It
	// isn't fit for TLS.
	MaxHeaderLines, HeaderLinesFrom int
	// ReadBuffer, if positive, is the size of the socket's receive buffer in bytes.
	ReadBuffer int
}

// Listener accepts connections. When the limit is reached it closes one of them for each new one:
// first one that is idle, then one without a complete header, then one in a body, then one whose
// response isn't read.
type Listener struct {
	net.Listener
	c Config

	mu    sync.Mutex
	limit int
	conns map[*Conn]struct{}

	closing   chan struct{}
	closeOnce sync.Once
}

var _ net.Listener = (*Listener)(nil)

// Listen returns a Listener that accepts the connections of l.
func Listen(l net.Listener, c Config) *Listener {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.OnClose == nil {
		c.OnClose = func(string) {}
	}
	return &Listener{Listener: l, c: c, limit: c.Limit, conns: map[*Conn]struct{}{}, closing: make(chan struct{})}
}

// SetLimit changes the limit. Connections above a lower limit are closed as new ones arrive.
func (l *Listener) SetLimit(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = n
}

// Limit returns the limit.
func (l *Listener) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// limitsHeaders reports whether so many connections are open that the lines of headers are limited.
func (l *Listener) limitsHeaders() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) > l.c.HeaderLinesFrom
}

// Accept implements net.Listener. It fails only after Close; other errors are retried.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			if l.stopped() || errors.Is(err, net.ErrClosed) {
				return nil, err
			}
			select {
			case <-l.closing:
			case <-time.After(acceptRetryPause):
			}
			continue
		}
		if c := l.admit(n); c != nil {
			return c, nil
		}
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closing) })
	return l.Listener.Close()
}

// stopped reports whether Close was called.
func (l *Listener) stopped() bool {
	select {
	case <-l.closing:
		return true
	default:
		return false
	}
}

// admit returns the tracked connection for n, or closes n and returns nil if the limit is reached
// and no other connection can be closed.
func (l *Listener) admit(n net.Conn) *Conn {
	if s, ok := n.(interface{ SetReadBuffer(int) error }); ok && l.c.ReadBuffer > 0 {
		// The system's default size works as well, with more memory.
		s.SetReadBuffer(l.c.ReadBuffer)
	}
	c := &Conn{Conn: n, listener: l}
	c.since.Store(l.c.Now().UnixNano())
	for {
		l.mu.Lock()
		if len(l.conns) < l.limit {
			l.conns[c] = struct{}{}
			l.mu.Unlock()
			return c
		}
		v, s := l.selectVictim()
		l.mu.Unlock()
		if v == nil {
			n.Close()
			l.c.OnClose(Refused)
			return nil
		}
		if v.state.CompareAndSwap(int32(s), int32(closed)) {
			v.Close()
			l.c.OnClose(reasons[s])
		}
	}
}

// reasons holds the reason for closing a connection in a state.
var reasons = map[state]string{idle: Idle, header: Header, body: Body, busy: Unread}

// selectVictim returns the connection that is to be closed next and its state, or nil if all are
// in use. The caller holds the lock.
func (l *Listener) selectVictim() (*Conn, state) {
	unreadSince := l.c.Now().Add(-unreadTime).UnixNano()
	var victim *Conn
	first, since := closed, int64(0)
	for c := range l.conns {
		s, t := state(c.state.Load()), c.since.Load()
		if s == busy {
			if t = c.blocked.Load(); t == 0 || t > unreadSince {
				continue
			}
		}
		if s < first || s == first && s != closed && t < since {
			victim, first, since = c, s, t
		}
	}
	return victim, first
}

// remove forgets a closed connection.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// ConnState is for http.Server.ConnState.
func (l *Listener) ConnState(n net.Conn, s http.ConnState) {
	c := unwrap(n)
	if c == nil {
		return
	}
	switch s {
	case http.StateActive:
		c.enter(busy)
	case http.StateIdle:
		c.enter(idle)
	case http.StateHijacked, http.StateClosed:
		c.listener.remove(c)
	}
}

// SetBusy says whether a connection that isn't served by net/http is in use, or idle.
func SetBusy(n net.Conn, inUse bool) {
	c := unwrap(n)
	switch {
	case c == nil:
	case inUse:
		c.enter(busy)
	default:
		c.enter(idle)
	}
}

// unwrap returns the tracked connection under n, which may be a TLS connection, or nil.
func unwrap(n net.Conn) *Conn {
	for {
		switch c := n.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			n = c.NetConn()
		default:
			return nil
		}
	}
}
