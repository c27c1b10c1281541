package relay

import (
	"encoding/binary"
	"net"
	"sync"

	"citronbridge/budget"
)

const (
	// frameHeader is the length of a yamux frame's header: a byte each for the version and the
	// type, two for flags, four for the stream and four for the length of a data frame's
	// payload, as yamux's specification has it.
	frameHeader = 12
	// dataFrame is the type of frames with a payload, synFlag the flag of a stream's first.
	dataFrame = 0
	synFlag   = 1
	// streamWindow is the most payload of a stream that yamux keeps for its reader.
	streamWindow = 256 << 10
	// streamBytes is the memory of a stream without its payload, and of the goroutine and the
	// buffer that serve it.
	streamBytes = 4 << 10
)

// frames is a connection with yamux frames. It charges a lease for the streams that the other side
// opens and for their payload as it arrives, as yamux has no limit for all streams together, and
// its least window for one is 256 KiB. A read fails if the lease can't grow, which ends the session.
type frames struct {
	net.Conn
	lease *budget.Lease

	// header holds the first have bytes of a header. left is the length of the payload that is
	// still to come, which belongs to the stream id.
	header [frameHeader]byte
	have   int
	left   uint32
	id     uint32

	mu sync.Mutex
	// charged holds the bytes that the lease was charged for each stream.
	charged map[uint32]int64
}

func newFrames(c net.Conn, l *budget.Lease) *frames {
	return &frames{Conn: c, lease: l, charged: map[uint32]int64{}}
}

// Read implements net.Conn.
func (f *frames) Read(b []byte) (int, error) {
	n, err := f.Conn.Read(b)
	if e := f.count(b[:n]); e != nil {
		return 0, e
	}
	return n, err
}

// count follows the frames in b.
func (f *frames) count(b []byte) error {
	for len(b) > 0 {
		if f.left > 0 {
			n := min(f.left, uint32(len(b)))
			if err := f.charge(f.id, int64(n)); err != nil {
				return err
			}
			f.left -= n
			b = b[n:]
			continue
		}
		n := copy(f.header[f.have:], b)
		f.have += n
		b = b[n:]
		if f.have < frameHeader {
			return nil
		}
		f.have = 0
		f.id = binary.BigEndian.Uint32(f.header[4:])
		if f.header[1] == dataFrame {
			f.left = binary.BigEndian.Uint32(f.header[8:])
		}
		if binary.BigEndian.Uint16(f.header[2:])&synFlag != 0 {
			if err := f.charge(f.id, streamBytes); err != nil {
				return err
			}
		}
	}
	return nil
}

// charge charges n bytes to a stream, up to the most that it can take.
func (f *frames) charge(id uint32, n int64) error {
	f.mu.Lock()
	old := f.charged[id]
	n = min(n, streamWindow+streamBytes-old)
	if n > 0 {
		f.charged[id] = old + n
	}
	f.mu.Unlock()
	if n <= 0 {
		return nil
	}
	return f.lease.Grow(n)
}

// release gives back the bytes of a stream that is served.
func (f *frames) release(id uint32) {
	f.mu.Lock()
	n := f.charged[id]
	delete(f.charged, id)
	f.mu.Unlock()
	if n > 0 {
		f.lease.Grow(-n)
	}
}
