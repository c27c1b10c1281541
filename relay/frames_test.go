package relay

import (
	"bufio"
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"citronbridge/budget"
	"citronbridge/fakes/rows"
	"citronbridge/wire"
)

// frame returns a frame of a stream.
func frame(kind byte, flags uint16, id uint32, payload int) []byte {
	b := binary.BigEndian.AppendUint16([]byte{0, kind}, flags)
	b = binary.BigEndian.AppendUint32(b, id)
	b = binary.BigEndian.AppendUint32(b, uint32(payload))
	if kind == dataFrame {
		b = append(b, make([]byte, payload)...)
	}
	return b
}

// TestFrames guards against streams and payload that aren't charged, or stay charged.
func TestFrames(t *testing.T) { synctest.Test(t, testFrames) }

func testFrames(t *testing.T) {
	p := budget.New(budget.Config{Limit: 1 << 20})
	f := newFrames(nil, p.Open(budget.Holder{}))
	for _, c := range []struct {
		frame   []byte
		charged int64
	}{
		{frame(1, synFlag, 1, 5000), streamBytes},
		{frame(dataFrame, 0, 1, 100), streamBytes + 100},
		{frame(2, 0, 0, 1<<20), streamBytes + 100},
		{frame(dataFrame, synFlag, 3, 10), 2*streamBytes + 110},
		{frame(dataFrame, 0, 1, 2*streamWindow), 2*streamBytes + streamWindow + 10},
	} {
		if err := f.count(c.frame); err != nil || p.Used() != c.charged {
			t.Errorf("%d bytes charged, want %d: %v", p.Used(), c.charged, err)
		}
	}
	// A stream keeps its bytes until both sides have closed it, or for callTimeout.
	f.count(frame(1, finFlag, 3, 0))
	f.release(1)
	if want := int64(2*streamBytes + streamWindow + 10); p.Used() != want {
		t.Errorf("%d bytes charged for streams that are half closed, want %d", p.Used(), want)
	}
	f.release(3)
	f.count(frame(1, rstFlag, 1, 0))
	if p.Used() != 0 {
		t.Errorf("%d bytes stay charged", p.Used())
	}
	f.count(frame(1, synFlag, 7, 0))
	f.release(7)
	time.Sleep(callTimeout + time.Second)
	if p.Used() != 0 {
		t.Errorf("%d bytes stay charged for a stream that the caller leaves open", p.Used())
	}
	if err := f.count(frame(dataFrame, 0, 1, streamWindow)); err != nil {
		t.Error(err)
	}
	p.SetLimit(0)
	if err := f.count(frame(1, synFlag, 5, 0)); !errors.Is(err, budget.ErrExhausted) {
		t.Errorf("a stream above the limit: %v", err)
	}
}

// FuzzFrames compares the charge for bytes that arrive at once with that for single bytes.
func FuzzFrames(f *testing.F) {
	f.Add(append(frame(1, synFlag, 1, 5000), frame(dataFrame, 0, 1, 100)...))
	f.Add(frame(dataFrame, synFlag, 3, 300_000))
	f.Fuzz(func(t *testing.T, b []byte) {
		once, single := budget.New(budget.Config{Limit: 1 << 40}), budget.New(budget.Config{Limit: 1 << 40})
		newFrames(nil, once.Open(budget.Holder{})).count(b)
		s := newFrames(nil, single.Open(budget.Holder{}))
		for i := range b {
			s.count(b[i : i+1])
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
