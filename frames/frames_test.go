package frames

import (
	"errors"
	"net"
	"slices"
	"testing"
)

// record follows b in pieces and returns the headers and the payload of each stream.
func record(b []byte, piece int) (headers []Header, payload map[uint32]int) {
	payload = map[uint32]int{}
	c := New(Config{
		OnHeader:  func(h Header) error { headers = append(headers, h); return nil },
		OnPayload: func(s uint32, n int) error { payload[s] += n; return nil },
	})
	for p := range slices.Chunk(b, piece) {
		c.Follow(p)
	}
	return headers, payload
}

// TestFollow guards against payload that is taken for a header, and the reverse.
func TestFollow(t *testing.T) {
	hs := []Header{{WindowUpdate, SYN, 1, 5000}, {Data, FIN, 1, 30}, {Ping, SYN, 0, 1 << 20}, {Data, RST, 3, 0}, {Data, 0, 5, 1 << 30}}
	var b []byte
	for _, h := range hs[:2] {
		b = h.Append(b)
	}
	b = append(b, make([]byte, 30)...)
	for _, h := range hs[2:] {
		b = h.Append(b)
	}
	b = append(b, 1, 2, 3)
	for _, piece := range []int{1, 7, HeaderSize, len(b)} {
		got, payload := record(b, piece)
		if !slices.Equal(got, hs) || len(payload) != 2 || payload[1] != 30 || payload[5] != 3 {
			t.Errorf("pieces of %d: headers %v, payload %v", piece, got, payload)
		}
	}
}

// TestRead guards against bytes that reach yamux although a limit refuses them.
func TestRead(t *testing.T) {
	refused := errors.New("refused")
	refuse := func(uint32, int) error { return refused }
	for name, x := range map[string]Config{
		"header":  {OnHeader: func(Header) error { return refused }},
		"payload": {OnPayload: refuse},
	} {
		here, there := net.Pipe()
		defer here.Close()
		defer there.Close()
		var reported error
		x.Conn, x.OnError = here, func(err error) { reported = err }
		go there.Write(append(Header{Data, SYN, 1, 1}.Append(nil), 0))
		if n, err := New(x).Read(make([]byte, 100)); n != 0 || err != refused || reported != refused {
			t.Errorf("%s: %d bytes, error %v, reported %v", name, n, err, reported)
		}
	}
}

// FuzzFollow compares bytes that arrive at once with the same ones in pieces.
func FuzzFollow(f *testing.F) {
	f.Add(append(Header{Data, SYN, 1, 3}.Append(nil), 1, 2, 3), 1)
	f.Add(Header{WindowUpdate, SYN, 3, 300_000}.Append(nil), 5)
	f.Fuzz(func(t *testing.T, b []byte, piece int) {
		if len(b) == 0 || piece < 1 {
			return
		}
		once, all := record(b, len(b))
		pieces, parts := record(b, piece)
		sum := 0
		for s, n := range all {
			sum += n
			if parts[s] != n {
				t.Errorf("stream %d: payload of %d bytes at once, %d in pieces", s, n, parts[s])
			}
		}
		if !slices.Equal(once, pieces) || len(all) != len(parts) || sum+len(once)*HeaderSize > len(b) {
			t.Errorf("headers %v at once, %v in pieces, payload %d of %d bytes", once, pieces, sum, len(b))
		}
	})
}
