package relay

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"citronbridge/budget"
	"citronbridge/fakes/rows"
	"citronbridge/frames"
	"citronbridge/wire"
)

// frame returns a frame of a stream.
func frame(kind byte, flags uint16, id uint32, payload int) []byte {
	b := frames.Header{Type: kind, Flags: flags, Stream: id, Length: uint32(payload)}.Append(nil)
	if kind == frames.Data {
		b = append(b, make([]byte, payload)...)
	}
	return b
}

// TestFrames guards against streams and payload that aren't charged, or stay charged.
func TestFrames(t *testing.T) { synctest.Test(t, testFrames) }

func testFrames(t *testing.T) {
	p := budget.New(budget.Config{Limit: 1 << 20})
	f := newCharges(nil, p.Open(budget.Holder{}))
	for _, c := range []struct {
		frame   []byte
		charged int64
	}{
		{frame(1, frames.SYN, 1, 5000), streamBytes},
		{frame(frames.Data, 0, 1, 100), streamBytes + 100},
		{frame(2, 0, 0, 1<<20), streamBytes + 100},
		{frame(frames.Data, frames.SYN, 3, 10), 2*streamBytes + 110},
		{frame(frames.Data, 0, 1, 2*streamWindow), 2*streamBytes + streamWindow + 10},
	} {
		if err := f.Follow(c.frame); err != nil || p.Used() != c.charged {
			t.Errorf("%d bytes charged, want %d: %v", p.Used(), c.charged, err)
		}
	}
	// A stream keeps its bytes until both sides have closed it, or for callTimeout.
	f.Follow(frame(1, frames.FIN, 3, 0))
	f.release(1)
	if want := int64(2*streamBytes + streamWindow + 10); p.Used() != want {
		t.Errorf("%d bytes charged for streams that are half closed, want %d", p.Used(), want)
	}
	f.release(3)
	f.Follow(frame(1, frames.RST, 1, 0))
	if p.Used() != 0 {
		t.Errorf("%d bytes stay charged", p.Used())
	}
	f.Follow(frame(1, frames.SYN, 7, 0))
	f.release(7)
	time.Sleep(callTimeout + time.Second)
	if p.Used() != 0 {
		t.Errorf("%d bytes stay charged for a stream that the caller leaves open", p.Used())
	}
	if err := f.Follow(frame(frames.Data, 0, 1, streamWindow)); err != nil {
		t.Error(err)
	}
	// Each of them would stay charged, and be remembered, until the connection ends.
	f.Follow(frame(frames.Data, 0, 9, 1))
	if p.Used() != 0 || len(f.streams) != 0 {
		t.Errorf("%d bytes and %d streams stay for payload of streams that aren't open", p.Used(), len(f.streams))
	}
	p.SetLimit(0)
	if err := f.Follow(frame(1, frames.SYN, 5, 0)); !errors.Is(err, budget.ErrExhausted) {
		t.Errorf("a stream above the limit: %v", err)
	}
}

// FuzzFrames compares the charge for bytes that arrive at once with that for single bytes.
func FuzzFrames(f *testing.F) {
	f.Add(append(frame(1, frames.SYN, 1, 5000), frame(frames.Data, 0, 1, 100)...))
	f.Add(frame(frames.Data, frames.SYN, 3, 300_000))
	f.Fuzz(func(t *testing.T, b []byte) {
		once, single := budget.New(budget.Config{Limit: 1 << 40}), budget.New(budget.Config{Limit: 1 << 40})
		newCharges(nil, once.Open(budget.Holder{})).Follow(b)
		s := newCharges(nil, single.Open(budget.Holder{}))
		for i := range b {
			s.Follow(b[i : i+1])
		}
		if once.Used() != single.Used() || once.Used() > int64(len(b))*streamBytes {
			t.Errorf("%d bytes charged at once, %d one by one", once.Used(), single.Used())
		}
	})
}

// TestTooManyStreams guards against streams without a limit, and against a refusal that leaves open
// whether the call was made.
func TestTooManyStreams(t *testing.T) {
	refused := make(chan string, 10)
	r, err := New(Config{Host: "a", Direct: rows.New(), OnRefused: func(reason string) { refused <- reason }})
	if err != nil {
		t.Fatal(err)
	}
	here, there := net.Pipe()
	go r.serveConnection(t.Context(), here)
	s, err := yamux.Client(there, sessionConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for range maxStreams {
		if _, err := s.Open(); err != nil {
			t.Fatal(err)
		}
	}
	x, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	x.SetDeadline(time.Now().Add(2 * time.Second))
	a := &wire.StoreAnswer{}
	if err := protodelim.UnmarshalFrom(bufio.NewReader(x), a); err != nil || a.Outcome != wire.StoreAnswer_NOT_DONE {
		t.Errorf("answer %v, %v", a, err)
	}
	if reason := <-refused; reason != "HostStreams" {
		t.Errorf("refused for %s", reason)
	}
}
