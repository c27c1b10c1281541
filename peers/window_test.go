package peers

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"citronbridge/budget"
	"citronbridge/frames"
	"citronbridge/wire"
)

// frameOf returns the header of a yamux frame.
func frameOf(kind byte, flags uint16, id, length uint32) []byte {
	return frames.Header{Type: kind, Flags: flags, Stream: id, Length: length}.Append(nil)
}

// TestFrames guards against streams that hold more receive buffers than the budget has, and against
// more streams and pings than a host sends. The frames arrive whole and byte by byte.
func TestFrames(t *testing.T) {
	const syn, window, limit = frames.SYN, frames.WindowUpdate, 1 << 20
	open := func(n uint32) (b []byte) {
		for i := range n {
			b = append(b, frameOf(window, syn, 2*i+1, 0)...)
		}
		return b
	}
	for _, x := range []struct {
		name    string
		bytes   []byte
		used    int64
		streams int
		err     error
	}{
		{"small call", slices.Concat(open(1), frameOf(frames.Data, 0, 1, 300), make([]byte, 300)), 0, 1, nil},
		{"announced only", append(open(1), frameOf(frames.Data, 0, 1, 256<<10)...), bufferGrowth*256<<10 - freeUnread, 1, nil},
		{"data of an unknown stream", frameOf(frames.Data, 0, 7, 256<<10), 0, 0, nil},
		{"beyond the budget", slices.Concat(open(1), frameOf(frames.Data, 0, 1, (limit+freeUnread)/bufferGrowth+1)), 0, 1, budget.ErrExhausted},
		{"beyond the connection", slices.Concat(open(1), frameOf(frames.Data, 0, 1, maxUnread+1)), 0, 1, errUnread},
		{"too many streams", open(4), 0, 3, errStreamLimit},
		{"ping", frameOf(frames.Ping, syn, 0, 1), 0, 0, errPing},
	} {
		for _, piece := range []int{1, len(x.bytes)} {
			p := budget.New(budget.Config{Limit: limit})
			streams := 0
			a, b := net.Pipe()
			defer a.Close()
			defer b.Close()
			c := newMeteredConn(a, meteredConfig{pool: p, evict: func() {}, onLimit: func(string) {}, maxStreams: 3, closeTimeout: time.Minute,
				openStream: func() bool { streams++; return true }, closeStreams: func(n int) { streams -= n }})
			var err error
			for l := range slices.Chunk(x.bytes, piece) {
				if err = c.Follow(l); err != nil {
					break
				}
			}
			if !errors.Is(err, x.err) || p.Used() != x.used || streams != x.streams {
				t.Errorf("%s in pieces of %d: error %v, %d bytes, %d streams; want %v, %d, %d", x.name, piece, err, p.Used(), streams, x.err, x.used, x.streams)
			}
			c.finish()
			if p.Used() != 0 || streams != 0 {
				t.Errorf("%s: %d bytes and %d streams left at the end", x.name, p.Used(), streams)
			}
		}
	}
}

// newPlainMesh returns a Mesh without TLS whose handler waits for the end of its context if the
// request is a long poll.
func newPlainMesh(t *testing.T, c Config) *Mesh {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.Host, c.Listener, c.Period = "a", l, 20*time.Millisecond
	c.Dial = func(ctx context.Context, a string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", a)
	}
	c.Heartbeat = func() *wire.Heartbeat { return &wire.Heartbeat{Host: "a", DataCentre: "dc"} }
	if c.Handler == nil {
		c.Handler = func(context.Context, *wire.Request) *wire.Response { return &wire.Response{} }
	}
	m, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m
}

// client opens a yamux session to m.
func client(t *testing.T, m *Mesh) *yamux.Session {
	t.Helper()
	c, err := net.Dial("tcp", m.config.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := yamux.Client(c, m.yamuxConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// beat sends a heartbeat of a host on a new stream of s.
func beat(t *testing.T, s *yamux.Session, host string) {
	t.Helper()
	b, err := s.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	b.Write([]byte{heartbeatStream})
	protodelim.MarshalTo(b, &wire.Heartbeat{Host: host, DataCentre: "dc"})
}

// TestConnectionLimit guards against connections without heartbeats that keep out other hosts. A
// known host is kept, and a connection is refused only if all are of known hosts.
func TestConnectionLimit(t *testing.T) {
	closed := make(chan string, 10)
	m := newPlainMesh(t, Config{MaxConns: 2, OnClose: func(r string) { closed <- r }, Timeout: time.Minute})
	known := func(n int) func() bool {
		return func() bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			k := 0
			for i := range m.inbound {
				if i.host != "" {
					k++
				}
			}
			return k == n
		}
	}
	b := client(t, m)
	beat(t, b, "b")
	waitFor(t, "host b is known", known(1))
	silent := client(t, m)
	c := client(t, m)
	if r := <-closed; r != Unidentified {
		t.Errorf("reason %s", r)
	}
	waitFor(t, "the silent connection is closed", silent.IsClosed)
	beat(t, c, "c")
	waitFor(t, "host c is known", known(2))
	d := client(t, m)
	if r := <-closed; r != Refused {
		t.Errorf("reason %s", r)
	}
	waitFor(t, "the last connection is refused", d.IsClosed)
	if b.IsClosed() || c.IsClosed() {
		t.Error("a known host was disconnected")
	}
}

// TestManyHosts guards against a connection that makes up hosts, each of which would be dialled.
func TestManyHosts(t *testing.T) {
	m := newPlainMesh(t, Config{Timeout: time.Minute})
	s := client(t, m)
	b, err := s.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	b.Write([]byte{heartbeatStream})
	for _, h := range []string{"b", "b", "c"} {
		protodelim.MarshalTo(b, &wire.Heartbeat{Host: h, DataCentre: "dc"})
	}
	waitFor(t, "the connection is closed", s.IsClosed)
}

// TestAnnouncedMessage guards against memory for messages that are announced and never sent.
func TestAnnouncedMessage(t *testing.T) {
	p := budget.New(budget.Config{Limit: DefaultBudget})
	m := newPlainMesh(t, Config{Budget: p, Timeout: time.Minute})
	s := client(t, m)
	for range 100 {
		c, err := s.OpenStream()
		if err != nil {
			t.Fatal(err)
		}
		c.Write(binary.AppendUvarint([]byte{callStream}, maxMessage))
	}
	waitFor(t, "all streams are served", func() bool { return p.Used() > 0 && s.NumStreams() == 100 })
	if n := p.Used(); n > 100*smallMessage {
		t.Errorf("%d bytes are charged", n)
	}
}

// TestCancelledCall guards against handlers that go on after their caller has left, which would use
// up the streams of the connection.
func TestCancelledCall(t *testing.T) {
	begun, ended := make(chan bool, 1), make(chan bool, 1)
	m := newPlainMesh(t, Config{Timeout: time.Minute, Handler: func(ctx context.Context, _ *wire.Request) *wire.Response {
		begun <- true
		<-ctx.Done()
		ended <- true
		return &wire.Response{}
	}})
	s := client(t, m)
	c, err := s.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte{callStream, 0})
	<-begun
	c.Close()
	select {
	case <-ended:
	case <-time.After(30 * time.Second):
		t.Fatal("the handler's context doesn't end within 30 s")
	}
	streams := func() int {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.streams
	}
	waitFor(t, "the stream is returned", func() bool { return streams() == 0 })
}
