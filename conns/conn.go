package conns

import (
	"context"
	"net"
	"sync/atomic"
)

// state is what a connection is doing, in the order in which connections are closed.
type state int32

const (
	// header is the state of a new connection, and of one that has begun another request.
	// It is the zero value but comes after idle.
	header state = 0
	// idle is the state between two requests.
	idle state = -1
	// body is the state while a request's body is read.
	body state = 1
	// busy is the state while a request is carried out. Such connections aren't closed, unless
	// the response isn't read.
	busy state = 2
	// closed is the state of a connection that was closed for the limit.
	closed state = 3
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	// state holds a state. since is when it was entered, in state body when the last bytes
	// arrived, in Unix nanoseconds.
	state atomic.Int32
	since atomic.Int64
	// writing is set once the response has begun and its deadline is set.
	writing atomic.Bool
	// blocked is when the current Write began, in Unix nanoseconds, 0 if there is none.
	blocked atomic.Int64
	// lines is the number of lines of the header that is being read, column the length of the
	// last one so far. headerEnded is set after the empty line that ends the header.
	lines, column int
	headerEnded   bool
}

var _ net.Conn = (*Conn)(nil)

// enter changes the state, unless the connection was closed.
func (c *Conn) enter(s state) {
	for {
		o := state(c.state.Load())
		if o == closed {
			return
		}
		// Before the state, so that a new state isn't ranked by an old time.
		c.since.Store(c.listener.c.Now().UnixNano())
		if c.state.CompareAndSwap(int32(o), int32(s)) {
			break
		}
	}
	if s == busy || s == idle {
		c.writing.Store(false)
	}
	if s == idle {
		c.lines, c.column, c.headerEnded = 0, 0, false
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		switch state(c.state.Load()) {
		case idle:
			c.enter(header)
			fallthrough
		case header:
			if !c.countLines(b[:n]) && c.listener.limitsHeaders() {
				c.Close()
				c.listener.c.OnClose(HeaderLines)
				return 0, net.ErrClosed
			}
		case body:
			c.since.Store(c.listener.c.Now().UnixNano())
		}
	}
	return n, err
}

// countLines counts the lines of a header up to its end, and reports whether they are few enough.
func (c *Conn) countLines(b []byte) bool {
	most := c.listener.c.MaxHeaderLines
	if most <= 0 || c.headerEnded {
		return true
	}
	for _, x := range b {
		switch x {
		case '\r':
		case '\n':
			if c.column == 0 && c.lines > 0 {
				c.headerEnded = true
				return true
			}
			c.lines++
			c.column = 0
		default:
			c.column++
		}
	}
	return c.lines <= most
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.blocked.Store(c.listener.c.Now().UnixNano())
	defer c.blocked.Store(0)
	if t := c.listener.c.WriteTimeout; t > 0 && !c.writing.Swap(true) {
		if err := c.Conn.SetWriteDeadline(c.listener.c.Now().Add(t)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the writing side. net/http uses it, so that a client still gets the response
// to a request that it hasn't sent in full.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// connKey is the key of a Conn in a context.
type connKey struct{}

// ConnContext is for http.Server.ConnContext. It makes FromContext work.
func (l *Listener) ConnContext(ctx context.Context, n net.Conn) context.Context {
	if c := unwrap(n); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// FromContext returns the connection of a request by its context, or nil if there is none.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
