package peers

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"citronbridge/budget"
	"citronbridge/frames"
)

// Bounds of the bytes that a connection has received and not yet processed.
const (
	// freeUnread is not charged to the budget, so that heartbeats and ordinary calls, of a few
	// hundred bytes each, don't depend on it.
	freeUnread = 16 << 10
	// bufferGrowth is how much larger than its contents a receive buffer may be, as it grows by
	// doubling.
	bufferGrowth = 2
	// maxUnread closes the connection. A stream may hold 256 KiB, its receive window, so only
	// several messages that arrive at once and aren't read could reach this.
	maxUnread = 2 << 20
)

// Errors that close a connection for what it has received.
var (
	errPing        = errors.New("peers: ping frame, which no host sends")
	errStreamLimit = errors.New("peers: too many streams")
	errUnread      = errors.New("peers: too many unread bytes")
)

// reasonOf returns the reason that Config.OnClose gets for an error of frame.
func reasonOf(err error) string {
	switch {
	case errors.Is(err, errPing):
		return Ping
	case errors.Is(err, errStreamLimit):
		return Streams
	}
	return Unread
}

// stream is what a connection holds for one stream.
type stream struct {
	// remote is set if the other host has opened the stream, and closed once it has closed it.
	remote, closed bool
	// ended is set once this host has closed the stream. The timer then forgets it, unless the
	// other host closes it earlier.
	ended bool
	timer *time.Timer
	// onClose is called once the other host has closed the stream.
	onClose func()
	// unread is what has arrived and wasn't read. held is its highest value since yamux's receive
	// buffer was last shrunk, and therefore what that buffer occupies.
	unread, held int64
}

// meteredConn is a connection below a yamux session. It charges the receive buffers of the streams
// to a budget, and limits their number. yamux allocates a buffer as soon as the header of a frame
// announces its length, and its receive windows can't be made smaller than 256 KiB, so the frames
// are charged by their headers as these arrive.
type meteredConn struct {
	*frames.Conn
	config meteredConfig

	mu sync.Mutex
	// streams holds the streams by ID. yamux discards the data of others. remote is the number of
	// those that the other host has opened.
	streams map[uint32]*stream
	remote  int
	// held is the sum over all streams, of which charged is charged to lease.
	held, charged int64
	lease         *budget.Lease
	done          bool
}

// meteredConfig holds the limits of a meteredConn.
type meteredConfig struct {
	pool *budget.Pool
	// evict closes the connection, to free memory for others.
	evict func()
	// maxStreams is how many streams the remote host may have open. openStream also reserves one
	// within the limit for all connections, and closeStreams returns n of them.
	maxStreams   int
	openStream   func() bool
	closeStreams func(n int)
	// onLimit is called with the reason if the connection is closed for what it has received.
	onLimit func(reason string)
	// closeTimeout is when yamux drops a stream that only this host has closed.
	closeTimeout time.Duration
}

// newMeteredConn returns c with the limits of x. A read fails, which ends the session, if a frame
// exceeds a limit.
func newMeteredConn(c net.Conn, x meteredConfig) *meteredConn {
	m := &meteredConn{config: x, streams: map[uint32]*stream{}}
	m.Conn = frames.New(frames.Config{Conn: c, OnHeader: m.frame, OnError: func(err error) { x.onLimit(reasonOf(err)) }})
	return m
}

// frame accounts for the frame with the header h.
func (c *meteredConn) frame(h frames.Header) error {
	if h.Type == frames.Ping {
		// yamux answers each ping in a goroutine of its own, without a limit.
		return errPing
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.streams[h.Stream]
	if h.Opens() && t == nil {
		if c.remote >= c.config.maxStreams || !c.config.openStream() {
			return errStreamLimit
		}
		t = &stream{remote: true}
		c.streams[h.Stream] = t
		c.remote++
	}
	if h.Type == frames.Data && t != nil {
		t.unread += int64(h.Length)
		if grown := t.unread - t.held; grown > 0 {
			if c.held+grown > maxUnread {
				return errUnread
			}
			t.held += grown
			c.held += grown
			if err := c.charge(); err != nil {
				return err
			}
		}
	}
	if h.Closes() && t != nil {
		t.closed = true
		if t.onClose != nil {
			t.onClose()
		}
		if t.ended {
			c.forget(h.Stream, t)
		}
	}
	return nil
}

// charge charges what is held beyond freeUnread to the budget. The caller holds c.mu.
func (c *meteredConn) charge() error {
	change := max(bufferGrowth*c.held-freeUnread, 0) - c.charged
	if change == 0 || c.done {
		return nil
	}
	if c.lease == nil {
		c.lease = c.openLease()
	}
	if err := c.lease.Grow(change); err != nil {
		return err
	}
	c.charged += change
	return nil
}

// openLease returns a lease of the budget for the connection.
func (c *meteredConn) openLease() *budget.Lease {
	return c.config.pool.Open(budget.Holder{Address: hostOf(c.RemoteAddr()), Key: c.RemoteAddr().String(), Evict: c.config.evict})
}

// add adds a stream that this host has opened, before it sends anything that is answered.
func (c *meteredConn) add(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[id] = &stream{}
}

// notifyClose calls f once the other host has closed a stream. f must not block.
func (c *meteredConn) notifyClose(id uint32, f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.streams[id]
	if t == nil || t.closed {
		f()
		return
	}
	t.onClose = f
}

// consumed records that n bytes of a stream were read.
func (c *meteredConn) consumed(id uint32, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.streams[id]; t != nil {
		t.unread -= int64(n)
	}
}

// shrink releases the receive buffer of a stream if all of it was read.
func (c *meteredConn) shrink(y *yamux.Stream) {
	y.Shrink()
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.streams[y.StreamID()]; t != nil && t.unread <= 0 {
		c.release(t)
	}
}

// release releases the receive buffer of t. The caller holds c.mu.
func (c *meteredConn) release(t *stream) {
	c.held -= t.held
	t.held = 0
	// Giving bytes back fails only if the lease was evicted, and the connection ends then.
	c.charge()
}

// end records that this host has closed a stream, which counts until yamux has dropped it.
func (c *meteredConn) end(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.streams[id]
	if t == nil {
		return
	}
	t.ended = true
	if t.closed {
		c.forget(id, t)
		return
	}
	t.timer = time.AfterFunc(c.config.closeTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.streams[id] == t {
			c.forget(id, t)
		}
	})
}

// forget removes a stream that yamux has dropped. The caller holds c.mu.
func (c *meteredConn) forget(id uint32, t *stream) {
	if t.timer != nil {
		t.timer.Stop()
	}
	c.release(t)
	delete(c.streams, id)
	if t.remote {
		c.remote--
		c.config.closeStreams(1)
	}
}

// finish releases everything when the connection has ended.
func (c *meteredConn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.streams {
		if t.timer != nil {
			t.timer.Stop()
		}
	}
	if c.remote > 0 {
		c.config.closeStreams(c.remote)
	}
	c.streams, c.remote, c.done = map[uint32]*stream{}, 0, true
	if c.lease != nil {
		c.lease.Close()
	}
}

// hostOf returns the address without its port, by which the budget groups connections.
func hostOf(a net.Addr) string {
	h, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return h
}
