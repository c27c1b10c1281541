package relay

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"

	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"citronbridge/budget"
	"citronbridge/wire"
)

// decodeSlots limits the requests that a process decodes at the same time.
var decodeSlots = semaphore.NewWeighted(2)

// rowBytes is the memory that a decoded row takes apart from its texts: the message, the row that
// it is converted to, and the pointers to both.
const rowBytes = 256

// readRequest reads a request. The lease is charged for its bytes as they arrive, and for the rows
// before they are decoded: two bytes in the request can make a row.
func readRequest(ctx context.Context, r io.Reader, l *budget.Lease) (*wire.StoreCall, error) {
	in := bufio.NewReaderSize(r, 512)
	n, err := binary.ReadUvarint(in)
	if err != nil {
		return nil, fmt.Errorf("read length of call: %w", err)
	}
	if n > maxRequestBytes {
		return nil, fmt.Errorf("call has %d bytes, more than %d", n, maxRequestBytes)
	}
	b, err := l.ReadAll(io.LimitReader(in, int64(n)), int64(n))
	if err != nil {
		return nil, fmt.Errorf("read call: %w", err)
	}
	if uint64(len(b)) < n {
		return nil, fmt.Errorf("read call: %w", io.ErrUnexpectedEOF)
	}
	// Decoding copies the texts.
	if err := l.Grow(int64(countRows(b))*rowBytes + int64(n)); err != nil {
		return nil, err
	}
	if err := decodeSlots.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	defer decodeSlots.Release(1)
	q := &wire.StoreCall{}
	if err := proto.Unmarshal(b, q); err != nil {
		return nil, fmt.Errorf("decode call: %w", err)
	}
	return q, nil
}

// countRows returns the number of messages in the fields of the messages of an encoded call. Those
// of an apply are its rows.
func countRows(b []byte) int {
	n := 0
	forEachMessage(b, func(m []byte) {
		forEachMessage(m, func([]byte) { n++ })
	})
	return n
}

// forEachMessage calls do with each field of a message that can hold a message, up to the first
// byte that can't be decoded.
func forEachMessage(b []byte, do func([]byte)) {
	for len(b) > 0 {
		f, t, n := protowire.ConsumeTag(b)
		if n < 0 {
			return
		}
		b = b[n:]
		if t == protowire.BytesType {
			m, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return
			}
			do(m)
			b = b[n:]
			continue
		}
		if n = protowire.ConsumeFieldValue(f, t, b); n < 0 {
			return
		}
		b = b[n:]
	}
}
