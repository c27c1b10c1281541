//go:build flood

package flood

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

// The connections between hosts.
const (
	// silentHostConns is the number of connections that send nothing, hostConns of those that
	// send streams.
	silentHostConns = 1500
	hostConns       = 16
	// streamsPerConn is the number of streams of a connection that send only their beginning.
	streamsPerConn = 2000
	// messagesPerConn is the number of streams of a connection that send a message of
	// messageBytes without its last byte.
	messagesPerConn = 16
	messageBytes    = 1 << 20
)

// openStreams returns a sender that opens streams on a connection between hosts and sends b on
// each. The streams stay open.
func openStreams(n int, b []byte) func(int, net.Conn) {
	return func(_ int, x net.Conn) {
		c := yamux.DefaultConfig()
		c.EnableKeepAlive, c.LogOutput, c.ConnectionWriteTimeout = false, io.Discard, sendTime
		x.SetWriteDeadline(time.Time{})
		s, err := yamux.Client(x, c)
		if err != nil {
			return
		}
		for range n {
			t, err := s.Open()
			if err != nil {
				return
			}
			t.SetWriteDeadline(time.Now().Add(sendTime))
			if _, err := t.Write(b); err != nil {
				return
			}
		}
	}
}

// unfinishedMessage returns start and a message of size bytes behind its length, without the last
// byte. What it holds doesn't matter, as it is decoded only when it is complete.
func unfinishedMessage(start string, size int) []byte {
	return append(binary.AppendUvarint([]byte(start), uint64(size)), make([]byte, size-1)...)
}
