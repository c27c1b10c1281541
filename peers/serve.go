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

// reader is what protodelim reads from.
type reader = *bufio.Reader

func newReader(r io.Reader) reader { return bufio.NewReader(r) }

func unmarshal(r reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(r, m)
}

// accept serves connections of other hosts.
func (m *Mesh) accept() {
	defer m.wg.Done()
	for {
		c, err := m.c.Listener.Accept()
		if err != nil {
			if m.ctx.Err() != nil {
				return
			}
			time.Sleep(redialWait)
			continue
		}
		m.wg.Add(1)
		go m.serve(c)
	}
}

func (m *Mesh) serve(c net.Conn) {
	defer m.wg.Done()
	defer m.release(c)
	if !m.hold(c) {
		return
	}
	s, err := yamux.Server(c, m.yamux())
	if err != nil {
		return
	}
	defer s.Close()
	for {
		t, err := s.AcceptStream()
		if err != nil {
			m.lost(s)
			return
		}
		m.wg.Add(1)
		go m.stream(s, t)
	}
}

// stream serves one stream by its kind.
func (m *Mesh) stream(s *yamux.Session, t *yamux.Stream) {
	defer m.wg.Done()
	defer t.Close()
	r := newReader(t)
	k, err := r.ReadByte()
	if err != nil {
		return
	}
	switch k {
	case beatStream:
		m.beats(s, r)
	case callStream:
		m.answer(s, t, r)
	default:
		m.malformed()
	}
}

func (m *Mesh) malformed() {
	if m.c.Malformed != nil {
		m.c.Malformed()
	}
}

// beats takes the heartbeats of a host.
func (m *Mesh) beats(s *yamux.Session, r reader) {
	for {
		var b wire.Heartbeat
		if err := unmarshal(r, &b); err != nil {
			return
		}
		if !jobs.ValidName(b.Host) || !jobs.ValidName(b.DataCentre) || b.Host == m.c.Host {
			m.malformed()
			continue
		}
		m.heard(s, &b)
	}
}

// heard notes a heartbeat.
func (m *Mesh) heard(s *yamux.Session, b *wire.Heartbeat) {
	now := time.Now()
	m.mu.Lock()
	p := m.peers[b.Host]
	if p == nil || p.listed.IsZero() {
		// The list of hosts lags, so a new host's own word for its address
		// serves until it is listed.
		m.meet(b.Host, b.PeerAddress, now)
		p = m.peers[b.Host]
	}
	if p == nil {
		m.mu.Unlock()
		return
	}
	news := p.beat == nil || now.Sub(p.heard) > m.c.Timeout || !proto.Equal(p.beat, b)
	p.beat, p.heard, p.inbound = b, now, s
	m.mu.Unlock()
	if news {
		m.changed()
	}
}

func (m *Mesh) changed() {
	if m.c.Changed != nil {
		m.c.Changed()
	}
}

// lost forgets the heartbeats that came by a connection that broke.
func (m *Mesh) lost(s *yamux.Session) {
	m.mu.Lock()
	gone := false
	for _, p := range m.peers {
		if p.inbound == s {
			p.inbound, p.beat = nil, nil
			gone = true
		}
	}
	m.mu.Unlock()
	if gone {
		m.changed()
	}
}

// answer serves one call.
func (m *Mesh) answer(s *yamux.Session, t *yamux.Stream, r reader) {
	var q wire.Request
	if err := unmarshal(r, &q); err != nil {
		m.malformed()
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
	_, err := protodelim.MarshalTo(t, m.c.Handler(ctx, &q))
	if err != nil {
		return
	}
}
