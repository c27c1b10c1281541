package relay

import (
	"encoding/binary"
	"net"
	"sync"
	"time"

	"citronbridge/budget"
)

const (
	// frameHeader is the length of a yamux frame's header: a byte each for the version and the
	// type, two for flags, four for the stream and four for the length of a data frame's
	// payload, as yamux's specification has it.
	frameHeader = 12
	// dataFrame is the type of frames with a payload. synFlag is the flag of a stream's first
	// frame, finFlag and rstFlag are those of its last.
	dataFrame = 0
	synFlag   = 1
	finFlag   = 4
	rstFlag   = 8
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

	mu      sync.Mutex
	streams map[uint32]*streamCharge
}

// streamCharge is what the lease was charged for a stream. yamux keeps a stream until this host has
// served it and the caller has closed it too, or until StreamCloseTimeout after the former.
type streamCharge struct {
	bytes          int64
	served, closed bool
}

func newFrames(c net.Conn, l *budget.Lease) *frames {
	return &frames{Conn: c, lease: l, streams: map[uint32]*streamCharge{}}
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
		flags := binary.BigEndian.Uint16(f.header[2:])
		if flags&synFlag != 0 {
			if err := f.charge(f.id, streamBytes); err != nil {
				return err
			}
		}
		if flags&(finFlag|rstFlag) != 0 {
			f.end(f.id, func(s *streamCharge) { s.closed = true })
		}
	}
	return nil
}

// charge charges n bytes to a stream, up to the most that it can take.
func (f *frames) charge(id uint32, n int64) error {
	f.mu.Lock()
	s := f.streams[id]
	if s == nil {
		s = &streamCharge{}
		f.streams[id] = s
	}
	n = min(n, streamWindow+streamBytes-s.bytes)
	s.bytes += n
	f.mu.Unlock()
	if n == 0 {
		return nil
	}
	return f.lease.Grow(n)
}

// end changes a stream's state, and gives its bytes back if yamux no longer keeps it.
func (f *frames) end(id uint32, change func(*streamCharge)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.streams[id]
	if s == nil {
		return
	}
	if change(s); s.served && s.closed {
		delete(f.streams, id)
		f.lease.Grow(-s.bytes)
	}
}

// release gives back the bytes of a stream that is served, once the caller has closed it too.
func (f *frames) release(id uint32) {
	f.end(id, func(s *streamCharge) { s.served = true })
	time.AfterFunc(callTimeout, func() { f.end(id, func(s *streamCharge) { s.closed = true }) })
}
