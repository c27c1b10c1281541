package peers

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"citronbridge/budget"
	"citronbridge/jobs"
	"citronbridge/wire"
)

// reader is a reader from which messages can be decoded.
type reader = *bufio.Reader

// readerSize is the size of a reader's buffer. Longer reads bypass it.
const readerSize = 1 << 10

func newReader(r io.Reader) reader { return bufio.NewReaderSize(r, readerSize) }

// smallMessage is the size of messages that aren't charged to the budget, in bytes, so that
// ordinary calls are served while it is exhausted. The number of streams bounds what they hold.
const smallMessage = 4 << 10

// readMessage decodes the next message from r into m, and charges l with its bytes as they arrive
// and with those of the decoded message. It returns an error if the message is malformed or has
// more than limit bytes.
func readMessage(r reader, l *budget.Lease, limit int64, m proto.Message) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return fmt.Errorf("read length of message: %w", err)
	}
	if n > uint64(limit) {
		return fmt.Errorf("message of %d bytes: %w", n, errMessageSize)
	}
	var b []byte
	if n <= smallMessage {
		b = make([]byte, n)
		_, err = io.ReadFull(r, b)
	} else {
		b, err = l.ReadAll(&exactReader{r, int64(n)}, int64(n))
		if err == nil {
			err = l.Grow(int64(n))
		}
	}
	if err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	if n > smallMessage {
		decoding <- struct{}{}
		defer func() { <-decoding }()
	}
	return proto.Unmarshal(b, m)
}

// decoding limits the messages that the process decodes at the same time, since a decoded heartbeat
// may take 40 times the bytes of the message, one for each empty message in it.
var decoding = make(chan struct{}, 2)

// errMessageSize means that a message exceeds the limit.
var errMessageSize = errors.New("message too large")

// exactReader reads left bytes from r. An earlier end of r is io.ErrUnexpectedEOF.
type exactReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (e *exactReader) Read(b []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	n, err := e.r.Read(b[:min(int64(len(b)), e.left)])
	e.left -= int64(n)
	if err == io.EOF && e.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
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
		i := m.admit(c)
		if i == nil {
			abort(c)
			continue
		}
		m.wg.Add(1)
		go m.serveConn(i)
	}
}

// serveConn serves the streams of one connection until it breaks or exceeds a limit.
func (m *Mesh) serveConn(i *inbound) {
	c := i.conn
	defer m.wg.Done()
	defer m.remove(i)
	defer m.closeConn(c)
	if !m.trackConn(c) {
		return
	}
	if err := m.handshake(c); err != nil {
		return
	}
	i.metered = m.meter(c, i)
	defer i.metered.finish()
	s, err := yamux.Server(i.metered, m.yamuxConfig())
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
		go m.serveStream(i, s, &meteredStream{t, i.metered})
	}
}

// handshake completes the handshake of a TLS connection, which verifies the certificate of the
// other host, within identifyTimeout.
func (m *Mesh) handshake(c net.Conn) error {
	t, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(m.ctx, identifyTimeout)
	defer cancel()
	return t.HandshakeContext(ctx)
}

// serveStream serves one stream according to its kind. A request has to arrive within
// streamTimeout.
func (m *Mesh) serveStream(i *inbound, s *yamux.Session, t *meteredStream) {
	defer m.wg.Done()
	defer t.close()
	t.SetReadDeadline(time.Now().Add(streamTimeout))
	r := newReader(t)
	k, err := r.ReadByte()
	if err != nil {
		return
	}
	switch k {
	case heartbeatStream:
		m.receiveHeartbeats(i, s, t, r)
	case callStream:
		m.serveCall(i, s, t, r)
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
// heartbeats with an invalid host or data centre, with the name of this host, or with more than
// maxPeers entries. It closes the connection if they are from more than one host, and ignores a
// second stream of heartbeats.
func (m *Mesh) receiveHeartbeats(i *inbound, s *yamux.Session, t *meteredStream, r reader) {
	if !m.beginHeartbeats(i) {
		m.reportMalformed()
		return
	}
	for {
		t.SetReadDeadline(time.Now().Add(m.silence()))
		var b wire.Heartbeat
		if err := m.readHeartbeat(i, r, &b); err != nil {
			return
		}
		i.metered.shrink(t.Stream)
		if !jobs.ValidName(b.Host) || !jobs.ValidName(b.DataCentre) || b.Host == m.config.Host || len(b.Sees) > maxPeers || len(b.Holds) > maxPeers {
			m.reportMalformed()
			continue
		}
		if !m.identify(i, b.Host) {
			m.reportMalformed()
			abort(i.conn)
			return
		}
		m.recordHeartbeat(s, &b)
	}
}

// readHeartbeat reads the next heartbeat into b.
func (m *Mesh) readHeartbeat(i *inbound, r reader, b *wire.Heartbeat) error {
	l := i.metered.openLease()
	defer l.Close()
	return readMessage(r, l, maxHeartbeat, b)
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

// serveCall serves one call. The handler's context ends when the other host closes the stream, the
// connection breaks or the Mesh closes. The response has to be read within streamTimeout.
func (m *Mesh) serveCall(i *inbound, s *yamux.Session, t *meteredStream, r reader) {
	l := i.metered.openLease()
	defer l.Close()
	var q wire.Request
	if err := readMessage(r, l, maxMessage, &q); err != nil {
		m.reportMalformed()
		return
	}
	i.metered.shrink(t.Stream)
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	i.metered.notifyClose(t.StreamID(), cancel)
	go func() {
		select {
		case <-s.CloseChan():
			cancel()
		case <-ctx.Done():
		}
	}()
	b, err := m.handle(ctx, l, &q)
	if err != nil {
		return
	}
	t.SetWriteDeadline(time.Now().Add(streamTimeout))
	for len(b) > 0 {
		// yamux copies each write into a buffer that the connection keeps.
		n, err := t.Write(b[:min(len(b), writeSize)])
		if err != nil {
			return
		}
		b = b[n:]
	}
}

// handle serves a request and returns the encoded response, which is charged to l. Only a few
// requests that may be large, or whose responses may be, are handled at the same time, until the
// responses are charged.
func (m *Mesh) handle(ctx context.Context, l *budget.Lease, q *wire.Request) ([]byte, error) {
	switch q.Body.(type) {
	case *wire.Request_Rules, *wire.Request_Targets, *wire.Request_Accounts:
		select {
		case m.large <- struct{}{}:
			defer func() { <-m.large }()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	p := m.config.Handler(ctx, q)
	n := proto.Size(p)
	if n > smallMessage {
		// The response itself, and its encoding.
		if err := l.Grow(2 * int64(n)); err != nil {
			return nil, err
		}
	}
	b := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+n), uint64(n))
	return proto.MarshalOptions{}.MarshalAppend(b, p)
}
