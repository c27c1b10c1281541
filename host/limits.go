package host

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/admin"
	"citronbridge/budget"
	"citronbridge/config"
	"citronbridge/conns"
)

// Limits against overload by clients and by other hosts, as shares of the settings Limits.
const (
	// clientMemoryShare and hostMemoryShare are the parts of the memory, as 1/n, that requests of
	// clients and calls of other hosts may hold.
	clientMemoryShare, hostMemoryShare = 8, 16
	// minClientBytes lets the largest answer and the largest manifest in at the same time.
	// minHostBytes lets in the largest message, and the message that it decodes to.
	minClientBytes = 16<<20 + admin.MaxProposalBytes
	minHostBytes   = 18 << 20
	// clientDescriptorShare and hostDescriptorShare are the parts of the descriptors, as 1/n, for
	// connections of clients and of other hosts.
	clientDescriptorShare, hostDescriptorShare = 4, 8
	// connBytes is what a connection of a client takes up, with TLS, and a quarter of the memory
	// is for them. 48 KiB hold the buffers of net/http and TLS, the header and the goroutines.
	connBytes, connMemoryShare = 48 << 10, 4
	// streamBytes of the memory allow for one stream of another host, which takes a tenth of it.
	streamBytes = 256 << 10
	// loadBytes of the memory allow for one record of a job that is being read, which takes up to
	// 1 MiB with what it is decoded from.
	loadBytes = 4 << 20
	// maxHostConns is the most connections of other hosts. The largest deployment has 97 hosts.
	maxHostConns = 128
	// maxHeaderLines limits the lines of a header, of which each takes some 120 bytes besides its
	// text. It is the limit that Apache's server has by default.
	maxHeaderLines = 100
	// responseTimeout is how long a caller may take to read a response.
	responseTimeout = 10 * time.Second
)

// limits are the limits that follow from the settings.
type limits struct {
	clientBytes, hostBytes int64
	clientConns, hostConns int
	hostStreams, loads     int
}

// newLimits returns the limits for a process with the memory and descriptors of c.
func newLimits(c config.Limits) limits {
	m := int64(c.Memory)
	return limits{
		clientBytes: max(m/clientMemoryShare, minClientBytes),
		hostBytes:   max(m/hostMemoryShare, minHostBytes),
		clientConns: int(min(int64(c.Descriptors/clientDescriptorShare), m/connMemoryShare/connBytes)),
		hostConns:   min(c.Descriptors/hostDescriptorShare, maxHostConns),
		hostStreams: int(m / streamBytes),
		loads:       int(m / loadBytes),
	}
}

// Kinds of senders and names of listeners, in the metrics and the log.
const (
	kindClient, kindHost       = "Client", "Host"
	listenerHTTP, listenerPeer = "HTTP", "Peer"
)

// memoryReason is the reason for closing a connection for the bytes that it holds.
const memoryReason = "Memory"

// newPool returns a budget for one kind of sender, whose connections are those of a listener.
func (h *Host) newPool(kind, listener string, limit int64) *budget.Pool {
	p := budget.New(budget.Config{Limit: limit, OnEvict: func(string) { h.closeReporter(listener)(memoryReason) }})
	h.meter.RegisterBytes(kind, p.Used, p.Limit)
	return p
}

// limitHTTP returns l with the limits of connections of callers.
func (h *Host) limitHTTP(l net.Listener) net.Listener {
	c := conns.Config{Limit: h.limits.clientConns, WriteTimeout: responseTimeout, OnClose: h.closeReporter(listenerHTTP)}
	if !h.settings.TLSEnabled() {
		c.MaxHeaderLines = maxHeaderLines
	}
	h.httpConns = conns.Listen(l, c)
	h.meter.RegisterConnections(listenerHTTP, h.httpConns.Open, h.httpConns.Limit)
	return h.httpConns
}

// limitHeaders returns l, whose connections are encrypted, with the limit of header lines. Below
// TLS they can't be counted.
func (h *Host) limitHeaders(l net.Listener) net.Listener {
	h.tlsConns = conns.Listen(l, conns.Config{Limit: math.MaxInt, MaxHeaderLines: maxHeaderLines, OnClose: h.closeReporter(listenerHTTP)})
	return h.tlsConns
}

// belowTLS returns the connection that httpConns tracks, or a wrapper of it, for a connection of
// the HTTP server.
func (h *Host) belowTLS(n net.Conn) net.Conn {
	if c, ok := n.(*conns.Conn); ok && h.tlsConns != nil {
		return c.Conn
	}
	return n
}

// trackState is the ConnState of the HTTP server.
func (h *Host) trackState(n net.Conn, s http.ConnState) {
	h.httpConns.ConnState(h.belowTLS(n), s)
	if h.tlsConns != nil {
		h.tlsConns.ConnState(n, s)
	}
}

// connContext is the ConnContext of the HTTP server.
func (h *Host) connContext(ctx context.Context, n net.Conn) context.Context {
	return h.httpConns.ConnContext(ctx, h.belowTLS(n))
}

// closeReporter returns a function that reports a connection that a listener has closed.
func (h *Host) closeReporter(listener string) func(reason string) {
	return func(reason string) {
		h.meter.ConnsClosed.WithLabelValues(listener, reason).Inc()
		h.closed.report(listener, reason, "")
	}
}

// serverLog is the error log of the HTTP server, which writes a line for each failed TLS handshake.
type serverLog struct{ lines *closeLog }

var _ io.Writer = serverLog{}

// Write implements io.Writer. A panic of a handler is a reason of its own, as its stack is needed.
func (s serverLog) Write(b []byte) (int, error) {
	reason := "Connection"
	if bytes.Contains(b, []byte("panic serving")) {
		reason = "Panic"
	}
	s.lines.report(listenerHTTP, reason, strings.TrimSpace(string(b)))
	return len(b), nil
}

// newCloseLog returns a closeLog that writes lines with a message to l.
func newCloseLog(l zerolog.Logger, message string) *closeLog {
	return &closeLog{entries: map[[2]string]*closeEntry{}, now: time.Now, log: func(listener, reason, detail string, n int) {
		l.Warn().Str("listener", listener).Str("reason", reason).Str("detail", detail).Int("count", n).Msg(message)
	}}
}

// closeLog logs connections that are closed for a limit or an error: at most one line a second for
// each reason, with the number since the last one.
type closeLog struct {
	log func(listener, reason, detail string, count int)
	now func() time.Time

	mu      sync.Mutex
	entries map[[2]string]*closeEntry
}

// closeEntry is when a reason was last logged, and how often it has occurred since.
type closeEntry struct {
	at    time.Time
	count int
}

// closeLogPeriod is the least time between two lines with the same reason.
const closeLogPeriod = time.Second

// report counts a closed connection, and logs it unless its reason was logged a moment ago.
func (c *closeLog) report(listener, reason, detail string) {
	k := [2]string{listener, reason}
	c.mu.Lock()
	e := c.entries[k]
	if e == nil {
		e = &closeEntry{}
		c.entries[k] = e
	}
	e.count++
	now, n := c.now(), e.count
	due := now.Sub(e.at) >= closeLogPeriod
	if due {
		e.at, e.count = now, 0
	}
	c.mu.Unlock()
	if due {
		c.log(listener, reason, detail, n)
	}
}
