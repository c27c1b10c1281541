package host

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strings"

	"github.com/rs/zerolog"

	"citronbridge/admin"
	"citronbridge/budget"
	"citronbridge/config"
	"citronbridge/conns"
	"citronbridge/logs"
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
	// hostDescriptorShare is the part of the descriptors, as 1/n, for connections of other hosts.
	hostDescriptorShare = 8
	// streamBytes of the memory allow for one stream of another host, which takes a tenth of it.
	streamBytes = 256 << 10
	// loadBytes of the memory allow for one record of a job that is being read, which takes up to
	// 1 MiB with what it is decoded from.
	loadBytes = 4 << 20
	// maxHostConns is the most connections of other hosts. The largest deployment has 97 hosts.
	maxHostConns = 128
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
		clientConns: conns.LimitFor(c.Descriptors, m),
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
	c := conns.Config{Limit: h.limits.clientConns, WriteTimeout: conns.ResponseTimeout, OnClose: h.closeReporter(listenerHTTP)}
	if !h.settings.TLSEnabled() {
		c.MaxHeaderLines = conns.DefaultHeaderLines
	}
	h.httpConns = conns.Listen(l, c)
	h.meter.RegisterConnections(listenerHTTP, h.httpConns.Open, h.httpConns.Limit)
	return h.httpConns
}

// limitHeaders returns l, whose connections are encrypted, with the limit of header lines. Below
// TLS they can't be counted.
func (h *Host) limitHeaders(l net.Listener) net.Listener {
	h.tlsConns = conns.Listen(l, conns.Config{Limit: math.MaxInt, MaxHeaderLines: conns.DefaultHeaderLines, OnClose: h.closeReporter(listenerHTTP)})
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

// closeLog logs connections that are closed for a limit or an error, a line a second for each
// listener and reason.
type closeLog struct {
	log     zerolog.Logger
	message string
	logs.Sampler
}

// newCloseLog returns a closeLog that writes lines with a message to l.
func newCloseLog(l zerolog.Logger, message string) *closeLog {
	return &closeLog{log: l, message: message}
}

// report counts a closed connection, and logs it if a line is due.
func (c *closeLog) report(listener, reason, detail string) {
	if n, ok := c.Sample(listener + " " + reason); ok {
		c.log.Warn().Str("listener", listener).Str("reason", reason).Str("detail", detail).Int64("count", n).Msg(c.message)
	}
}
