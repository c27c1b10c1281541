// Package frames follows the frames of yamux on a connection below its session, so that limits can
// be applied to what another host sends before yamux allocates memory for it.
package frames

import (
	"encoding/binary"
	"net"
)

// HeaderSize is the length of a frame's header: a byte each for the version and the type, two for
// flags, four for the stream and four for a length, all in network byte order. See spec.md of
// github.com/hashicorp/yamux.
const HeaderSize = 12

// Types of frames. Only those of type Data are followed by as many bytes as their length says.
const (
	Data         = 0
	WindowUpdate = 1
	Ping         = 2
)

// Flags of the first frame of a stream (SYN) and of its last one (FIN, RST).
const (
	SYN = 1
	FIN = 4
	RST = 8
)

// Header is the header of a frame, without its version.
type Header struct {
	Type           byte
	Flags          uint16
	Stream, Length uint32
}

// Opens returns whether the frame may be the first one of its stream.
func (h Header) Opens() bool { return h.Flags&SYN != 0 }

// Closes returns whether the frame is the sender's last one of its stream.
func (h Header) Closes() bool { return h.Flags&(FIN|RST) != 0 }

// Append appends the encoded header to b.
func (h Header) Append(b []byte) []byte {
	b = append(b, 0, h.Type)
	b = binary.BigEndian.AppendUint16(b, h.Flags)
	b = binary.BigEndian.AppendUint32(b, h.Stream)
	return binary.BigEndian.AppendUint32(b, h.Length)
}

// Config holds a connection and what is called for its frames. A function that is nil isn't called.
type Config struct {
	Conn net.Conn
	// OnHeader is called with each header. Package peers charges the announced length here, as
	// yamux allocates its receive buffer then.
	OnHeader func(Header) error
	// OnPayload is called with the number of bytes of a data frame as they arrive. Package relay
	// charges them here, as its budget counts what was received and not what was announced.
	OnPayload func(stream uint32, n int) error
	// OnError is called with the error of the other two that ends a Read. Package peers counts
	// closed connections by its reason; package relay counts only refused calls.
	OnError func(error)
}

// Conn is a connection whose frames are followed as they are read.
type Conn struct {
	net.Conn
	config Config

	// header collects a header, filled up to have. left is how much of the payload of the
	// stream is still to come. Only Follow uses them.
	header [HeaderSize]byte
	have   int
	left   uint32
	stream uint32
}

var _ net.Conn = (*Conn)(nil)

// New returns the connection of x with its frames followed.
func New(x Config) *Conn {
	if x.OnHeader == nil {
		x.OnHeader = func(Header) error { return nil }
	}
	if x.OnPayload == nil {
		x.OnPayload = func(uint32, int) error { return nil }
	}
	if x.OnError == nil {
		x.OnError = func(error) {}
	}
	return &Conn{Conn: x.Conn, config: x}
}

// Read implements net.Conn. It returns no bytes and the error of OnHeader or OnPayload if one of
// them fails, which ends the session.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if e := c.Follow(b[:n]); e != nil {
		c.config.OnError(e)
		return 0, e
	}
	return n, err
}

// Follow follows the frames in b, which may begin and end anywhere in a frame.
func (c *Conn) Follow(b []byte) error {
	for len(b) > 0 {
		if c.left > 0 {
			n := min(uint32(len(b)), c.left)
			if err := c.config.OnPayload(c.stream, int(n)); err != nil {
				return err
			}
			c.left -= n
			b = b[n:]
			continue
		}
		n := copy(c.header[c.have:], b)
		c.have += n
		b = b[n:]
		if c.have < HeaderSize {
			return nil
		}
		c.have = 0
		h := Header{
			Type:   c.header[1],
			Flags:  binary.BigEndian.Uint16(c.header[2:]),
			Stream: binary.BigEndian.Uint32(c.header[4:]),
			Length: binary.BigEndian.Uint32(c.header[8:]),
		}
		c.stream = h.Stream
		if h.Type == Data {
			c.left = h.Length
		}
		if err := c.config.OnHeader(h); err != nil {
			return err
		}
	}
	return nil
}
