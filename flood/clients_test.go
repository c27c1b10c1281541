//go:build flood

package flood

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// sendTime bounds how long each connection of the clients is dialled and written to.
	sendTime = 20 * time.Second
	// receiveBuffer is the receive buffer of connections whose responses aren't read. A small
	// one makes the server wait sooner.
	receiveBuffer = 4 << 10
	// pieceBytes and piecePause are the size of the pieces of a body that is sent piece by
	// piece, and the time between two.
	pieceBytes = 8 << 10
	piecePause = 20 * time.Millisecond
	// largeChunk and smallChunk are the sizes of the chunks of chunked bodies.
	largeChunk = 64 << 10
	smallChunk = 16
	// completeEvery: one in so many bodies is sent to its end.
	completeEvery = 10
)

// clients is a set of connections to a process under test. They stay open until the test ends,
// unless the process closes them.
type clients struct {
	t     *testing.T
	mu    sync.Mutex
	conns []net.Conn
	wg    sync.WaitGroup
}

func newClients(t *testing.T) *clients {
	c := &clients{t: t}
	t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, x := range c.conns {
			x.Close()
		}
	})
	return c
}

// add opens n connections at once and passes each to send with its number. Errors are expected,
// as the process may refuse or close connections.
func (c *clients) add(n int, dial dialer, send func(i int, x net.Conn)) {
	for i := range n {
		c.wg.Go(func() {
			x, err := dial()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, x)
			c.mu.Unlock()
			x.SetWriteDeadline(time.Now().Add(sendTime))
			send(i, x)
		})
	}
}

// sent waits until all connections have sent what they send.
func (c *clients) sent() { c.wg.Wait() }

type dialer func() (net.Conn, error)

// dialTCP returns a dialer of an address, whose connections receive little before they are read.
func dialTCP(address string) dialer {
	d := &net.Dialer{Timeout: sendTime, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer) })
	}}
	return func() (net.Conn, error) { return d.Dial("tcp", address) }
}

// sendBody sends a request with a body, in one of several ways. head is the request line and the
// header so far. Unless whole is set the body is left without its end.
type sendBody func(x net.Conn, head string, body []byte, whole bool)

// sendAtOnce announces the length and sends the body in one write, without its last byte.
func sendAtOnce(x net.Conn, head string, body []byte, whole bool) {
	fmt.Fprintf(x, "%sContent-Length: %d\r\n\r\n", head, len(body))
	x.Write(untilEnd(body, whole))
}

// sendInPieces announces the length and sends the body piece by piece, without its last byte.
func sendInPieces(x net.Conn, head string, body []byte, whole bool) {
	fmt.Fprintf(x, "%sContent-Length: %d\r\n\r\n", head, len(body))
	for b := untilEnd(body, whole); len(b) > 0; time.Sleep(piecePause) {
		n := min(pieceBytes, len(b))
		if _, err := x.Write(b[:n]); err != nil {
			return
		}
		b = b[n:]
	}
}

func untilEnd(body []byte, whole bool) []byte {
	if whole {
		return body
	}
	return body[:len(body)-1]
}

func sendLargeChunks(x net.Conn, head string, body []byte, whole bool) {
	sendChunks(x, head, body, whole, largeChunk)
}

func sendSmallChunks(x net.Conn, head string, body []byte, whole bool) {
	sendChunks(x, head, body, whole, smallChunk)
}

// sendChunks sends the body in chunks, without the empty last one.
func sendChunks(x net.Conn, head string, body []byte, whole bool, size int) {
	w := bufio.NewWriterSize(x, largeChunk)
	fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n", head)
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(w, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	if whole {
		w.WriteString("0\r\n\r\n")
	}
	w.Flush()
}

// pipelined is the number of requests that one connection sends without reading a response. Their
// responses exceed the buffers of the connection.
const pipelined = 400

// sendWithoutReading sends a request many times and reads no response.
func sendWithoutReading(request string) func(int, net.Conn) {
	return func(_ int, x net.Conn) { x.Write([]byte(strings.Repeat(request, pipelined))) }
}

// sendEndlessHeader sends a request line and header lines with so many bytes in total, without
// the empty line that ends the header.
func sendEndlessHeader(line string, size int) func(int, net.Conn) {
	var b strings.Builder
	b.WriteString(line)
	for i := 0; b.Len() < size-64; i++ {
		fmt.Fprintf(&b, "X-Field-%05d: %s\r\n", i, "abcdefghijklmnopqrstuvwxyz")
	}
	return func(_ int, x net.Conn) { x.Write([]byte(b.String())) }
}

// repeatTo returns start, followed by as many copies of unit as fit, spaces and end, with size
// bytes in total.
func repeatTo(size int, start, unit, end string) []byte {
	room := size - len(start) - len(end)
	n := room / len(unit)
	return []byte(start + strings.Repeat(unit, n) + strings.Repeat(" ", room-n*len(unit)) + end)
}
