package peers

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"citronbridge/jobs"
	"citronbridge/wire"
)

// reader is a reader from which protodelim can decode messages.
type reader = *bufio.Reader

func newReader(r io.Reader) reader { return bufio.NewReader(r) }

// readMessage decodes the next message from r into m. It returns an error if the message is
// malformed or larger than maxMessage.
func readMessage(r reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(r, m)
}

// accept accepts and serves the connections of other hosts until the Mesh closes.
func (m *Mesh) accept() {
	defer m.wg.Done()
	for {
		c, err := m.config.Listener.Accept()
		if err != nil {
			if m.ctx.Err() != nil {
				return
			}
			time.Sleep(redialWait)
			continue
		}
		m.wg.Add(1)
		go m.serveConn(c)
	}
}

// serveConn serves the streams of one connection until it breaks.
func (m *Mesh) serveConn(c net.Conn) {
	defer m.wg.Done()
	defer m.closeConn(c)
	if !m.trackConn(c) {
		return
	}
	s, err := yamux.Server(c, m.yamuxConfig())
	if err != nil {
		return
	}
	defer s.Close()
	for {
		t, err := s.AcceptStream()
		if err != nil {
			m.dropHeartbeats(s)
			return
		}
		m.wg.Add(1)
		go m.serveStream(s, t)
	}
}

// serveStream serves one stream according to its kind.
func (m *Mesh) serveStream(s *yamux.Session, t *yamux.Stream) {
	defer m.wg.Done()
	defer t.Close()
	r := newReader(t)
	k, err := r.ReadByte()
	if err != nil {
		return
	}
	switch k {
	case heartbeatStream:
		m.receiveHeartbeats(s, r)
	case callStream:
		m.serveCall(s, t, r)
	default:
		m.reportMalformed()
	}
}

// reportMalformed calls OnMalformed if that is set.
func (m *Mesh) reportMalformed() {
	if m.config.OnMalformed != nil {
		m.config.OnMalformed()
	}
}

// receiveHeartbeats records the heartbeats that arrive on a stream until it ends. It skips
// heartbeats with an invalid host or data centre, or with the name of this host.
func (m *Mesh) receiveHeartbeats(s *yamux.Session, r reader) {
	for {
		var b wire.Heartbeat
		if err := readMessage(r, &b); err != nil {
			return
		}
		if !jobs.ValidName(b.Host) || !jobs.ValidName(b.DataCentre) || b.Host == m.config.Host {
			m.reportMalformed()
			continue
		}
		m.recordHeartbeat(s, &b)
	}
}

// recordHeartbeat records a heartbeat that arrived on connection s. It calls OnChange if the host
// was not live or the contents differ from those of the last heartbeat.
func (m *Mesh) recordHeartbeat(s *yamux.Session, b *wire.Heartbeat) {
	now := time.Now()
	m.mu.Lock()
	p := m.peers[b.Host]
	if p == nil || p.lastListed.IsZero() {
		// The list of hosts lags behind, so the address in the heartbeat is used until the host
		// is listed.
		m.setPeerAddress(b.Host, b.PeerAddress, now)
		p = m.peers[b.Host]
	}
	if p == nil {
		m.mu.Unlock()
		return
	}
	changed := p.heartbeat == nil || now.Sub(p.receivedAt) > m.config.Timeout || !proto.Equal(p.heartbeat, b)
	p.heartbeat, p.receivedAt, p.inbound = b, now, s
	m.mu.Unlock()
	if changed {
		m.reportChange()
	}
}

// reportChange calls OnChange if that is set. The caller must not hold m.mu, because OnChange may
// call methods of the Mesh.
func (m *Mesh) reportChange() {
	if m.config.OnChange != nil {
		m.config.OnChange()
	}
}

// dropHeartbeats removes the heartbeats that arrived on a broken connection, so that their hosts
// are no longer live.
func (m *Mesh) dropHeartbeats(s *yamux.Session) {
	m.mu.Lock()
	dropped := false
	for _, p := range m.peers {
		if p.inbound == s {
			p.inbound, p.heartbeat = nil, nil
			dropped = true
		}
	}
	m.mu.Unlock()
	if dropped {
		m.reportChange()
	}
}

// serveCall serves one call. The handler's context ends when the connection breaks or the Mesh
// closes.
func (m *Mesh) serveCall(s *yamux.Session, t *yamux.Stream, r reader) {
	var q wire.Request
	if err := readMessage(r, &q); err != nil {
		m.reportMalformed()
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	go func() {
		select {
		case <-s.CloseChan():
			cancel()
		case <-ctx.Done():
		}
	}()
	_, err := protodelim.MarshalTo(t, m.config.Handler(ctx, &q))
	if err != nil {
		return
	}
}
