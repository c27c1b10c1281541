package relay

import (
	"net"
	"sync"
	"time"

	"citronbridge/budget"
	"citronbridge/frames"
)

const (
	// streamWindow is the most payload of a stream that yamux keeps for its reader.
	streamWindow = 256 << 10
	// streamBytes is the memory of a stream without its payload, and of the goroutine and the
	// buffer that serve it.
	streamBytes = 4 << 10
)

// charges is a connection with yamux frames. It charges a lease for the streams that the other side
// opens and for their payload as it arrives, as yamux has no limit for all streams together, and
// its least window for one is 256 KiB. A read fails if the lease can't grow, which ends the session.
type charges struct {
	*frames.Conn
	lease *budget.Lease

	mu      sync.Mutex
	streams map[uint32]*streamCharge
}

// streamCharge is what the lease was charged for a stream. yamux keeps a stream until this host has
// served it and the caller has closed it too, or until StreamCloseTimeout after the former.
type streamCharge struct {
	bytes          int64
	served, closed bool
}

func newCharges(c net.Conn, l *budget.Lease) *charges {
	f := &charges{lease: l, streams: map[uint32]*streamCharge{}}
	f.Conn = frames.New(frames.Config{Conn: c, OnHeader: f.frame, OnPayload: f.charge})
	return f
}

// frame accounts for the frame with the header h. Its payload is charged as it arrives.
func (f *charges) frame(h frames.Header) error {
	if h.Opens() {
		f.open(h.Stream)
		if err := f.charge(h.Stream, streamBytes); err != nil {
			return err
		}
	}
	if h.Closes() {
		f.end(h.Stream, func(s *streamCharge) { s.closed = true })
	}
	return nil
}

// open adds a stream.
func (f *charges) open(id uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.streams[id] == nil {
		f.streams[id] = &streamCharge{}
	}
}

// charge charges bytes to a stream, up to the most that it can take. Payload of a stream that isn't
// open is not charged, as yamux discards it.
func (f *charges) charge(id uint32, size int) error {
	f.mu.Lock()
	s := f.streams[id]
	if s == nil {
		f.mu.Unlock()
		return nil
	}
	n := min(int64(size), streamWindow+streamBytes-s.bytes)
	s.bytes += n
	f.mu.Unlock()
	if n == 0 {
		return nil
	}
	return f.lease.Grow(n)
}

// end changes a stream's state, and gives its bytes back if yamux no longer keeps it.
func (f *charges) end(id uint32, change func(*streamCharge)) {
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
func (f *charges) release(id uint32) {
	f.end(id, func(s *streamCharge) { s.served = true })
	time.AfterFunc(callTimeout, func() { f.end(id, func(s *streamCharge) { s.closed = true }) })
}
