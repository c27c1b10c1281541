//go:build flood

package flood

import (
	"context"
	"fmt"
	"net"
	"testing"

	"citronbridge/jobs"
)

// The clients that citronbridge serve is flooded with.
const (
	serveBodies        = 400
	serveBodyBytes     = 512 << 10
	serveManifests     = 20
	serveManifestBytes = 4 << 20
	serveRefused       = 600
	// Readers of the answer of a job with answerMembers outputs of answerPartBytes each, and of
	// the metrics.
	serveAnswerReaders  = 40
	serveMetricsReaders = 1400
	answerMembers       = 4
	answerPartBytes     = 1 << 20
	serveHeaders        = 1500
	serveHeaderSize     = 16 << 10
	serveHandshakes     = 1500
)

// Beginnings of the headers of requests.
const (
	accountHeader  = "Host: h\r\nAuthorization: Bearer " + accountToken + "\r\n"
	operatorHeader = "Host: h\r\nAuthorization: Bearer " + operatorToken + "\r\n"
)

// serveBody is a submission with very many arguments, and serveManifest a proposal, each of the
// largest legal size.
var (
	serveBody     = repeatTo(serveBodyBytes, `{"ID":"flood","Arguments":["a"`, `,""`, `]}`)
	serveManifest = repeatTo(serveManifestBytes, `{"ID":"`, "a", `"}`)
)

// floodServeBodies sends many submissions, of which most lack their end, and some proposals that
// all lack it.
func floodServeBodies(t *testing.T, encrypted bool, send sendBody) {
	p, c := startServe(t, encrypted), newClients(t)
	c.add(serveBodies, p.dialHTTP(), func(i int, x net.Conn) {
		send(x, "POST /v1/jobs HTTP/1.1\r\n"+accountHeader, serveBody, i%completeEvery == 0)
	})
	c.add(serveManifests, p.dialHTTP(), func(_ int, x net.Conn) {
		send(x, "POST /v1/manifest HTTP/1.1\r\n"+operatorHeader, serveManifest, false)
	})
	c.sent()
	p.check(p.submit)
}

// TestServeWholeBodies guards against bodies that together exceed the memory.
func TestServeWholeBodies(t *testing.T) { floodServeBodies(t, false, sendAtOnce) }

// TestServeWholeBodiesTLS is TestServeWholeBodies over TLS.
func TestServeWholeBodiesTLS(t *testing.T) { floodServeBodies(t, true, sendAtOnce) }

// TestServeBodiesInPieces guards against bodies that grow slowly until they exceed the memory.
func TestServeBodiesInPieces(t *testing.T) { floodServeBodies(t, false, sendInPieces) }

// TestServeBodiesInPiecesTLS is TestServeBodiesInPieces over TLS.
func TestServeBodiesInPiecesTLS(t *testing.T) { floodServeBodies(t, true, sendInPieces) }

// TestServeLargeChunks guards against bodies without an announced length that exceed the memory.
func TestServeLargeChunks(t *testing.T) { floodServeBodies(t, false, sendLargeChunks) }

// TestServeLargeChunksTLS is TestServeLargeChunks over TLS.
func TestServeLargeChunksTLS(t *testing.T) { floodServeBodies(t, true, sendLargeChunks) }

// TestServeSmallChunks guards against the same in chunks of a few bytes.
func TestServeSmallChunks(t *testing.T) { floodServeBodies(t, false, sendSmallChunks) }

// TestServeSmallChunksTLS is TestServeSmallChunks over TLS.
func TestServeSmallChunksTLS(t *testing.T) { floodServeBodies(t, true, sendSmallChunks) }

func floodServeReaders(t *testing.T, encrypted bool) {
	p, c := startServe(t, encrypted), newClients(t)
	s := p.newSpec(answerMembers, fmt.Sprintf("OutputBytes=%d", answerPartBytes))
	_, err := p.account.Submit(context.Background(), s)
	must(t, err)
	p.await("job is done", func() bool {
		v, err := p.account.Status(context.Background(), s.ID)
		return err == nil && v.Outcome == jobs.Done
	})
	c.add(serveAnswerReaders, p.dialHTTP(), sendWithoutReading("GET /v1/jobs/"+s.ID+"/answer HTTP/1.1\r\n"+accountHeader+"\r\n"))
	c.add(serveMetricsReaders, p.dialHTTP(), sendWithoutReading("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"))
	c.sent()
	p.check(p.submit)
}

// TestServeUnreadResponses guards against large responses, and many connections, that nobody
// reads from.
func TestServeUnreadResponses(t *testing.T) { floodServeReaders(t, false) }

// TestServeUnreadResponsesTLS is TestServeUnreadResponses over TLS.
func TestServeUnreadResponsesTLS(t *testing.T) { floodServeReaders(t, true) }

func floodServeHeaders(t *testing.T, encrypted bool) {
	p, c := startServe(t, encrypted), newClients(t)
	c.add(serveHeaders, p.dialHTTP(), sendEndlessHeader("POST /v1/jobs HTTP/1.1\r\n", serveHeaderSize))
	c.sent()
	p.check(p.submit)
}

// TestServeEndlessHeaders guards against connections whose header doesn't end.
func TestServeEndlessHeaders(t *testing.T) { floodServeHeaders(t, false) }

// TestServeEndlessHeadersTLS is TestServeEndlessHeaders over TLS.
func TestServeEndlessHeadersTLS(t *testing.T) { floodServeHeaders(t, true) }

// TestServeStalledHandshakes guards against callers whose TLS handshake doesn't end.
func TestServeStalledHandshakes(t *testing.T) {
	p, c := startServe(t, true), newClients(t)
	c.add(serveHandshakes, dialTCP(p.http), sendStalledHello)
	c.sent()
	p.check(p.submit)
}

// TestServePeerStalledHandshakes guards against the same at the address for other hosts.
func TestServePeerStalledHandshakes(t *testing.T) {
	p, c := startServe(t, true), newClients(t)
	c.add(serveHandshakes, dialTCP(p.peer), sendStalledHello)
	c.sent()
	p.check(p.submit)
}

// floodServePeer opens n connections to the address for other hosts.
func floodServePeer(t *testing.T, encrypted bool, n int, send func(int, net.Conn)) {
	p, c := startServe(t, encrypted), newClients(t)
	c.add(n, p.dialPeer(), send)
	c.sent()
	p.check(p.submit)
}

// The first bytes of streams for heartbeats and for calls.
const (
	heartbeatStream = "B"
	callStream      = "C"
)

// TestServePeerConns guards against connections to the address for other hosts that send nothing.
func TestServePeerConns(t *testing.T) {
	floodServePeer(t, false, silentHostConns, func(int, net.Conn) {})
}

// TestServePeerConnsTLS is TestServePeerConns with complete TLS handshakes.
func TestServePeerConnsTLS(t *testing.T) {
	floodServePeer(t, true, silentHostConns, func(int, net.Conn) {})
}

// TestServePeerStreams guards against streams of other hosts that send no whole message.
func TestServePeerStreams(t *testing.T) {
	floodServePeer(t, false, hostConns, openStreams(streamsPerConn, unfinishedMessage(heartbeatStream, 64)))
}

// TestServePeerStreamsTLS is TestServePeerStreams over TLS.
func TestServePeerStreamsTLS(t *testing.T) {
	floodServePeer(t, true, hostConns, openStreams(streamsPerConn, unfinishedMessage(heartbeatStream, 64)))
}

// TestServePeerMessages guards against messages of other hosts that exceed the memory together.
func TestServePeerMessages(t *testing.T) {
	floodServePeer(t, false, hostConns, openStreams(messagesPerConn, unfinishedMessage(callStream, messageBytes)))
}

// TestServePeerMessagesTLS is TestServePeerMessages over TLS.
func TestServePeerMessagesTLS(t *testing.T) {
	floodServePeer(t, true, hostConns, openStreams(messagesPerConn, unfinishedMessage(callStream, messageBytes)))
}

func floodServeRefused(t *testing.T, encrypted bool) {
	p, c := startServe(t, encrypted), newClients(t)
	heads := []string{
		"POST /v1/nowhere HTTP/1.1\r\n" + accountHeader,
		"POST /v1/jobs HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer unknown\r\n",
		"POST /v1/manifest HTTP/1.1\r\n" + accountHeader,
		"PUT /v1/jobs HTTP/1.1\r\n" + accountHeader,
	}
	c.add(serveRefused, p.dialHTTP(), func(i int, x net.Conn) {
		[]sendBody{sendAtOnce, sendLargeChunks}[i%2](x, heads[i/2%len(heads)], serveBody, false)
	})
	c.sent()
	p.check(p.submit)
}

// TestServeRefusedBodies guards against bodies that are still read after their request was refused
// for its path, token or method.
func TestServeRefusedBodies(t *testing.T) { floodServeRefused(t, false) }

// TestServeRefusedBodiesTLS is TestServeRefusedBodies over TLS.
func TestServeRefusedBodiesTLS(t *testing.T) { floodServeRefused(t, true) }
