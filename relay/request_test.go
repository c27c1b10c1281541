package relay

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"citronbridge/budget"
	"citronbridge/wire"
)

// request returns an encoded request for an apply with n rows.
func request(t testing.TB, n int) []byte {
	c := &wire.StoreChange{}
	for range n {
		c.Puts = append(c.Puts, &wire.StoreRow{})
	}
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, &wire.StoreCall{Body: &wire.StoreCall_Apply{Apply: c}}); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// TestReadRequest guards against memory that is taken for an announced length or for rows of two
// bytes before the budget allows it.
func TestReadRequest(t *testing.T) {
	whole := request(t, 3)
	for _, c := range []struct {
		name  string
		in    []byte
		limit int64
		err   error
	}{
		{"whole", whole, 4 << 10, nil},
		{"incomplete", whole[:len(whole)-1], 4 << 10, io.ErrUnexpectedEOF},
		{"announced only", binary.AppendUvarint(nil, maxRequestBytes), 4 << 10, io.ErrUnexpectedEOF},
		{"no room for its bytes", whole, 4, budget.ErrExhausted},
		{"no room for its rows", request(t, 100_000), 1 << 20, budget.ErrExhausted},
	} {
		p := budget.New(budget.Config{Limit: c.limit})
		l := p.Open(budget.Holder{Address: "a"})
		q, err := readRequest(context.Background(), iotest.OneByteReader(bytes.NewReader(c.in)), l)
		if !errors.Is(err, c.err) || err == nil && len(q.GetApply().Puts) != 3 {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	l := budget.New(budget.Config{Limit: 1 << 30}).Open(budget.Holder{})
	if _, err := readRequest(context.Background(), bytes.NewReader(binary.AppendUvarint(nil, maxRequestBytes+1)), l); err == nil {
		t.Error("a request above the limit was read")
	}
}

// FuzzRequest decodes requests. Every row that is decoded must have been charged.
func FuzzRequest(f *testing.F) {
	f.Add(request(f, 3)[1:])
	f.Add(request(f, 0)[1:])
	f.Add([]byte{0x0b, 0x0c, 0x0a, 0x02, 0x12, 0x00})
	f.Fuzz(func(t *testing.T, b []byte) {
		q := &wire.StoreCall{}
		if proto.Unmarshal(b, q) != nil {
			return
		}
		c := q.GetApply()
		if n := len(c.GetConditions()) + len(c.GetPuts()) + len(c.GetDeletes()); n > countRows(b) {
			t.Errorf("%d rows, but %d counted", n, countRows(b))
		}
	})
}
