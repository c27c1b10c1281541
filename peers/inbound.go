package peers

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

// Limits of the connections that other hosts open.
const (
	// maxPeers is how many other hosts are known, listed or not. It is several times the 97
	// hosts of the largest deployment.
	maxPeers = 1024
	// maxStreams is how many streams one connection may have open. A long poll that waits for a
	// job of another host's cell holds one for up to Bounds.LongPoll. See also maxCalls.
	maxStreams = 512
	// maxLargeCalls is how many requests with large bodies or responses are handled at the same
	// time. The manifest of a request may take 16 MiB while it is decoded.
	maxLargeCalls = 2
	// identifyTimeout is how long a connection may go without a valid heartbeat. A host sends
	// its first one at once.
	identifyTimeout = 5 * time.Second
	// streamTimeout is how long a request may take to arrive, and a response to be read.
	streamTimeout = 10 * time.Second
	// silencePeriods times Config.Timeout is how long a connection may go without a valid
	// heartbeat later on. By then its host hasn't been live for long.
	silencePeriods = 10
	// writeSize is how many bytes of a response are written at a time.
	writeSize = 32 << 10
)

// Reasons that are passed to Config.OnClose.
const (
	// Unidentified connections gave way to a new one without having sent a valid heartbeat.
	Unidentified = "Unidentified"
	// Silent connections sent no valid heartbeat in time.
	Silent = "Silent"
	// Refused connections were closed when they arrived, as those of other hosts reach the limit.
	Refused = "Refused"
	// Streams connections opened too many streams, or had the most when all had too many.
	Streams = "Streams"
	// Unread connections sent more than the host reads or has memory for.
	Unread = "Unread"
	// Ping connections sent a ping frame.
	Ping = "Ping"
)

// inbound is a connection that another host has opened. Its host is only known once a valid
// heartbeat has arrived on it, for which the certificate has been verified if the system uses TLS.
type inbound struct {
	conn    net.Conn
	metered *meteredConn
	since   time.Time
	// host is the name of the host, or empty if it isn't known. streams is the number of streams
	// that it has open. Mesh.mu guards them.
	host    string
	streams int
	// beating is set once the connection has a stream of heartbeats.
	beating bool
	// watchdog closes the connection if no valid heartbeat arrives.
	watchdog *time.Timer
}

// admit records a new connection. If there are too many it closes the one that has been without a
// valid heartbeat for longest. If all have sent one, it returns nil.
func (m *Mesh) admit(c net.Conn) *inbound {
	i := &inbound{conn: c, since: time.Now()}
	m.mu.Lock()
	var victim *inbound
	if len(m.inbound) >= m.config.MaxConns {
		for o := range m.inbound {
			if o.host == "" && (victim == nil || o.since.Before(victim.since)) {
				victim = o
			}
		}
		if victim == nil {
			m.mu.Unlock()
			m.reportClose(Refused)
			return nil
		}
		delete(m.inbound, victim)
	}
	m.inbound[i] = true
	i.watchdog = time.AfterFunc(identifyTimeout, func() {
		m.reportClose(Silent)
		abort(c)
	})
	m.mu.Unlock()
	if victim != nil {
		m.reportClose(Unidentified)
		abort(victim.conn)
	}
	return i
}

// identify records that a valid heartbeat of a host has arrived on a connection. It returns false
// if the connection belongs to another host.
func (m *Mesh) identify(i *inbound, host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i.host == "" {
		i.host = host
	}
	if i.host != host {
		return false
	}
	i.watchdog.Reset(m.silence())
	return true
}

// beginHeartbeats records the stream of heartbeats of a connection. It returns false if there was one
// before.
func (m *Mesh) beginHeartbeats(i *inbound) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	was := i.beating
	i.beating = true
	return !was
}

// silence is how long a connection may go without a valid heartbeat.
func (m *Mesh) silence() time.Duration { return silencePeriods * m.config.Timeout }

// remove removes the record of a connection that has ended.
func (m *Mesh) remove(i *inbound) {
	i.watchdog.Stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inbound, i)
}

// Conns returns the number of connections that other hosts have opened.
func (m *Mesh) Conns() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.inbound)
}

// reportClose calls OnClose if that is set.
func (m *Mesh) reportClose(reason string) {
	if m.config.OnClose != nil {
		m.config.OnClose(reason)
	}
}

// openStream reserves a stream for the connection i within the limit for all connections. If there
// is none left it closes the connection with the most streams, if possible one of an unknown host.
// It returns false if that is i.
func (m *Mesh) openStream(i *inbound) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.streams >= m.config.MaxStreams {
		v := i
		for o := range m.inbound {
			known, best := o.host != "", v.host != ""
			if known == best && o.streams > v.streams || !known && best && o.streams > 0 {
				v = o
			}
		}
		if v == i {
			return false
		}
		// Its streams are returned when serveConn notices.
		delete(m.inbound, v)
		abort(v.conn)
		// The caller holds locks.
		go m.reportClose(Streams)
	}
	m.streams++
	i.streams++
	return true
}

// closeStreams returns n streams that openStream reserved for i.
func (m *Mesh) closeStreams(i *inbound, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams -= n
	i.streams -= n
}

// meter returns c with the limits of the Mesh. Only an inbound connection, i, may have streams that
// the other host opens; i is nil for others.
func (m *Mesh) meter(c net.Conn, i *inbound) *meteredConn {
	x := meteredConfig{pool: m.config.Budget, evict: func() { abort(c) }, onLimit: m.reportClose, closeTimeout: m.config.Timeout}
	if i != nil {
		x.maxStreams = maxStreams
		x.openStream = func() bool { return m.openStream(i) }
		x.closeStreams = func(n int) { m.closeStreams(i, n) }
	}
	return newMeteredConn(c, x)
}

// meteredStream is a stream whose reads are reported to the connection.
type meteredStream struct {
	*yamux.Stream
	conn *meteredConn
}

// Read implements io.Reader.
func (s *meteredStream) Read(b []byte) (int, error) {
	n, err := s.Stream.Read(b)
	s.conn.consumed(s.StreamID(), n)
	return n, err
}

// close closes the stream and releases its receive buffer.
func (s *meteredStream) close() {
	s.Stream.Close()
	s.conn.shrink(s.Stream)
	s.conn.end(s.StreamID())
}

// abort closes a connection without the closing message of TLS, which may have to wait for the
// other side to read.
func abort(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	c.Close()
}
