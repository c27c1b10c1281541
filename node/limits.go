package node

import (
	"bytes"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"citronbridge/budget"
	"citronbridge/conns"
	"citronbridge/platform"
	"citronbridge/reply"
	"citronbridge/work"
)

// Limits against clients that send too much. Shares are of the settings' memory and descriptors.
const (
	// defaultMemory and defaultDescriptors apply where the settings name no limit. The
	// deployments with limits have 144 to 2048 MB and 3,000 descriptors or more.
	defaultMemory      = 512 << 20
	defaultDescriptors = 4096
	// An eighth of the memory holds bodies and responses of clients, but at least minBodies
	// whole bodies; a sixteenth the calls of other hosts, but at least one whole request.
	clientMemoryDivisor = 8
	minBodies           = 4
	hostMemoryDivisor   = 16
	minHostBytes        = 2 << 20
	// platformConns limits the connections at the ready and the metrics address together; the
	// platform and the monitoring open one each. hostConns limits those of other hosts, of
	// which the largest deployment has 97. Both take at most a sixteenth of the descriptors.
	platformConns           = 64
	hostConns               = 128
	smallDescriptorsDivisor = 16
	// maxBodyTime limits the time in which a body is complete where no queue's limit applies.
	maxBodyTime = 5 * time.Second
	// readBuffer is the receive buffer of clients' connections. It bounds what waits in the
	// system's memory while a process is busy. A body of 256 KiB takes 8 round trips with it.
	readBuffer = 32 << 10
	// A header of 16 KiB may have 4,000 lines, so conns.DefaultHeaderLines holds only while more than one
	// in headerLinesDivisor of the connections is open: fewer of the longest headers take no more
	// memory than all the connections with short ones.
	headerLinesDivisor = 8
	// metricsSlots limits the responses with metrics that are built at the same time.
	metricsSlots = 2
)

// overloadLimits are the limits that follow from the settings.
type overloadLimits struct {
	clientBytes, hostBytes                int64
	clientConns, platformConns, hostConns int
}

// limitsFor returns the limits for the given memory in bytes and descriptors, 0 if unknown, and
// the largest legal body.
func limitsFor(memory int64, descriptors int, body int64) overloadLimits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
		var r syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err == nil && r.Cur < defaultDescriptors {
			descriptors = int(r.Cur)
		}
	}
	small := max(descriptors/smallDescriptorsDivisor, 2)
	return overloadLimits{
		clientBytes:   max(memory/clientMemoryDivisor, minBodies*body),
		hostBytes:     max(memory/hostMemoryDivisor, minHostBytes),
		clientConns:   conns.LimitFor(descriptors, memory),
		platformConns: min(platformConns, small),
		hostConns:     min(hostConns, small),
	}
}

// Kinds of budgets and names of listeners in metrics and log lines.
const (
	clientKind, hostKind                                           = "Client", "Host"
	frontListener, readyListener, metricsListener, controlListener = "Front", "Ready", "Metrics", "Control"
)

// openBudgets creates the budgets for the bytes of clients and of other hosts.
func (h *Host) openBudgets() {
	l := h.overloadLimits()
	open := func(kind string, limit int64) *budget.Pool {
		p := budget.New(budget.Config{Limit: limit, OnEvict: func(reason string) {
			h.countRefusal(kind + "Evicted" + reason)
		}})
		h.meter.RegisterBytes(kind, p.Used, p.Limit)
		return p
	}
	h.bodies, h.calls = open(clientKind, l.clientBytes), open(hostKind, l.hostBytes)
}

// overloadLimits returns the limits under the settings and the configuration in force.
func (h *Host) overloadLimits() overloadLimits {
	s := h.current()
	var l work.Limits
	if r := h.gate.Rules(); r != nil {
		l = r.Limits
	}
	return limitsFor(s.Limits.MemoryMB<<20, s.Limits.Descriptors, platform.BodyLimit(l))
}

// updateBudgets applies changed settings or a changed configuration to the budgets.
func (h *Host) updateBudgets() {
	l := h.overloadLimits()
	h.bodies.SetLimit(l.clientBytes)
	h.calls.SetLimit(l.hostBytes)
	if h.front != nil {
		h.front.SetLimit(l.clientConns)
	}
}

// listen returns a listener with a limit of connections.
func (h *Host) listen(name, address string, limit int) (*conns.Listener, error) {
	n, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := conns.Config{Limit: limit, OnClose: func(reason string) {
		h.meter.ConnsClosed.WithLabelValues(name, reason).Inc()
		if n, ok := h.samples.Sample("close " + name + reason); ok {
			h.log.Warn().Str("listener", name).Str("reason", reason).Int64("count", n).Msg("connections closed, as a limit is reached")
		}
	}}
	if name != controlListener {
		c.WriteTimeout, c.ReadBuffer, c.MaxHeaderLines = conns.ResponseTimeout, readBuffer, conns.DefaultHeaderLines
		c.HeaderLinesFrom = limit / headerLinesDivisor
	}
	l := conns.Listen(n, c)
	h.meter.RegisterConnections(name, l.Open, l.Limit)
	return l, nil
}

// countRefusal counts a request that is refused under load, and logs it.
func (h *Host) countRefusal(reason string) {
	h.meter.Refused.WithLabelValues(reason).Inc()
	if n, ok := h.samples.Sample("refuse " + reason); ok {
		h.log.Warn().Str("reason", reason).Int64("count", n).Int64("clientBytes", h.bodies.Used()).Int64("hostBytes", h.calls.Used()).Msg("requests refused, as a limit is reached")
	}
}

// server returns a server for clients whose connections are limited.
func (h *Host) server(handler http.Handler, l *conns.Listener) *http.Server {
	return &http.Server{
		Handler: conns.Handler(handler, maxBodyTime), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: l.ConnState, ConnContext: l.ConnContext,
	}
}

// boundResponses returns a handler for h whose responses are built in memory, a few at a time, and
// count towards a budget while they are sent.
func boundResponses(h http.Handler, p *budget.Pool) http.Handler {
	slots := semaphore.NewWeighted(metricsSlots)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		address, _, _ := net.SplitHostPort(r.RemoteAddr)
		c := conns.FromContext(r.Context())
		l := p.Open(budget.Holder{Address: address, Evict: func() {
			if c != nil {
				c.Close()
			}
		}})
		defer l.Close()
		b := &response{header: w.Header()}
		build := func() error {
			if err := slots.Acquire(r.Context(), 1); err != nil {
				return err
			}
			defer slots.Release(1)
			h.ServeHTTP(b, r)
			return l.Grow(int64(b.body.Cap()))
		}
		if err := build(); err != nil {
			clear(w.Header())
			reply.Unavailable(w, "memory for responses is exhausted")
			return
		}
		if b.status != 0 {
			w.WriteHeader(b.status)
		}
		w.Write(b.body.Bytes())
	})
}

// response is a response that is kept in memory.
type response struct {
	header http.Header
	status int
	body   bytes.Buffer
}

var _ http.ResponseWriter = (*response)(nil)

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *response) Write(b []byte) (int, error) { return r.body.Write(b) }
