//go:build flood

package flood

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"citronbridge/fakes/model"
	"citronbridge/fakes/plat"
)

// The clients that citronbridge node is flooded with.
const (
	nodeBodies      = 600
	nodeBodyBytes   = 256 << 10
	nodeReaders     = 1500
	nodeHeaders     = 1500
	nodeHeaderSize  = 32 << 10
	nodeReadyBodies = 100
)

// nodeKey is the key of the only account, and nodeRequest the beginning of its requests' headers.
const (
	nodeKey    = "key-of-a"
	nodeHeader = "Host: jobs.example\r\nX-Credential: " + nodeKey + "\r\n"
)

// nodeProcess is a process of citronbridge node on a fake platform.
type nodeProcess struct {
	*process
	front, ready, control string
	client                *http.Client
	nextID                atomic.Int64
}

// nodesStarted counts the loopback IPs in use. Each process has one of its own, so no other
// listener or connection takes its ports before it listens.
var nodesStarted atomic.Int64

// startNode starts a host and waits until it is ready.
func startNode(t *testing.T) *nodeProcess {
	p := plat.New("pool", model.Bounds{MaxHold: 10 * time.Second, StopTime: 200 * time.Millisecond, GangTimeout: 3 * time.Second, MaintenanceTime: 500 * time.Millisecond})
	t.Cleanup(p.Close)
	must(t, p.AddWorker(&model.Worker{ID: "w0", Born: 1, CPU: 16000, Memory: 64000, Accelerators: 4}, "r0"))
	b, err := json.Marshal(map[string]any{
		"version":  1,
		"services": []any{map[string]any{"name": "pool", "max-conns": 64, "enforces-capacity": true}},
		"routes": []any{map[string]any{
			"name": "batch", "host": "jobs.example", "path-prefix": "/batch/", "type": "unsafe", "timeout-ms": 3000, "slo-ms": 1000,
			"priority": 1, "service": "pool", "max-attempts": 2, "stretch": 3.0,
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": nodeBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-a", "api-keys": []string{nodeKey}, "guaranteed": map[string]int{"gpu": 4}}},
	})
	must(t, err)
	p.Store.Put("op", "config", b)
	_, store, err := p.OpenStoreEndpoint(1)
	must(t, err)
	n := &nodeProcess{client: &http.Client{}}
	ip, port := fmt.Sprintf("127.78.0.%d", nodesStarted.Add(1)), 10_000+os.Getpid()%7_000*3
	for i, a := range []*string{&n.front, &n.ready, &n.control} {
		*a = fmt.Sprintf("%s:%d", ip, port+i)
	}
	file := filepath.Join(t.TempDir(), "node.yaml")
	must(t, os.WriteFile(file, fmt.Appendf(nil, `node: "host-0"
zone: "z"
listen: {front: %q, ready: %q, control: %q}
seeds: []
limits: {memory-mb: %d, max-fds: %d, cpu-share: 1}
bounds: {config-apply-ms: 2000, strict-revoke: true, revoke-ms: 5000, drain-ms: 2000, grace-s: 6, max-hold-ms: 10000, stop-ms: 200, reclaim-ms: 2700, far-factor: 3, status_s: 120, maintenance-s: 0.5, lease-ms: 1000}
platform: {address: %q, form: "table"}
`, n.front, n.ready, n.control, memoryMiB, maxDescriptors, store), 0o600))
	n.process = startProcess(t, "node", "--settings", file)
	n.await("host is ready", func() bool { s, _ := n.checkReady(); return s == http.StatusOK })
	return n
}

// submit submits a job.
func (n *nodeProcess) submit() (int, string) {
	b, err := json.Marshal(map[string]any{
		"spec":  model.Spec(model.TaskProfile{Work: 100 * time.Millisecond, CPU: 1000, Memory: 1000, Accelerators: 1}),
		"steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimate-ms": 100}},
	})
	must(n.t, err)
	h := http.Header{"X-Credential": {nodeKey}, "X-Deadline-Ms": {"3000"}}
	return call(n.client, http.MethodPost, fmt.Sprintf("http://%s/batch/%016x", n.front, n.nextID.Add(1)), "jobs.example", h, string(b))
}

// checkReady makes the platform's ready check.
func (n *nodeProcess) checkReady() (int, string) {
	return call(n.client, http.MethodGet, "http://"+n.ready+"/-/readyz", "", http.Header{}, "")
}

// nodeBody is a submission with very many empty steps, of the largest legal size.
var nodeBody = repeatTo(nodeBodyBytes, `{"spec":"s","steps":[{}`, `,{}`, `]}`)

// floodNodeBodies sends many submissions, of which most lack their end.
func floodNodeBodies(t *testing.T, send sendBody) {
	n, c := startNode(t), newClients(t)
	c.add(nodeBodies, dialTCP(n.front), func(i int, x net.Conn) {
		send(x, fmt.Sprintf("POST /batch/f%015x HTTP/1.1\r\n%s", i, nodeHeader), nodeBody, i%completeEvery == 0)
	})
	c.sent()
	n.check(n.submit)
}

// TestNodeWholeBodies guards against bodies that together exceed the memory.
func TestNodeWholeBodies(t *testing.T) { floodNodeBodies(t, sendAtOnce) }

// TestNodeBodiesInPieces guards against bodies that grow slowly until they exceed the memory.
func TestNodeBodiesInPieces(t *testing.T) { floodNodeBodies(t, sendInPieces) }

// TestNodeLargeChunks guards against bodies without an announced length that exceed the memory.
func TestNodeLargeChunks(t *testing.T) { floodNodeBodies(t, sendLargeChunks) }

// TestNodeSmallChunks guards against the same in chunks of a few bytes.
func TestNodeSmallChunks(t *testing.T) { floodNodeBodies(t, sendSmallChunks) }

// TestNodeUnreadResponses guards against connections that nobody reads from.
func TestNodeUnreadResponses(t *testing.T) {
	n, c := startNode(t), newClients(t)
	c.add(nodeReaders, dialTCP(n.front), sendWithoutReading("GET /batch/ HTTP/1.1\r\n"+nodeHeader+"\r\n"))
	c.sent()
	n.check(n.submit)
}

// TestNodeUnreadMetrics guards against the same at the ready address, whose responses are larger.
func TestNodeUnreadMetrics(t *testing.T) {
	n, c := startNode(t), newClients(t)
	c.add(nodeReaders, dialTCP(n.ready), sendWithoutReading("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"))
	c.sent()
	n.check(n.checkReady)
}

// TestNodeEndlessHeaders guards against connections whose header doesn't end.
func TestNodeEndlessHeaders(t *testing.T) {
	n, c := startNode(t), newClients(t)
	c.add(nodeHeaders, dialTCP(n.front), sendEndlessHeader("POST /batch/ HTTP/1.1\r\n", nodeHeaderSize))
	c.sent()
	n.check(n.submit)
}

// TestNodeReadyEndlessHeaders guards against the same at the ready address.
func TestNodeReadyEndlessHeaders(t *testing.T) {
	n, c := startNode(t), newClients(t)
	c.add(nodeHeaders, dialTCP(n.ready), sendEndlessHeader("GET /metrics HTTP/1.1\r\n", nodeHeaderSize))
	c.sent()
	n.check(n.checkReady)
}

// TestNodeHostConns guards against connections to the address for other hosts that send nothing.
func TestNodeHostConns(t *testing.T) {
	n, c := startNode(t), newClients(t)
	c.add(silentHostConns, dialTCP(n.control), func(int, net.Conn) {})
	c.sent()
	n.check(n.submit)
}

// TestNodeHostStreams guards against streams of other hosts that send no whole message.
func TestNodeHostStreams(t *testing.T) {
	n, c := startNode(t), newClients(t)
	c.add(hostConns, dialTCP(n.control), openStreams(streamsPerConn, unfinishedMessage("", 64)))
	c.sent()
	n.check(n.submit)
}

// TestNodeHostMessages guards against messages of other hosts that exceed the memory together.
func TestNodeHostMessages(t *testing.T) {
	n, c := startNode(t), newClients(t)
	c.add(hostConns, dialTCP(n.control), openStreams(messagesPerConn, unfinishedMessage("", messageBytes)))
	c.sent()
	n.check(n.submit)
}

// TestNodeRefusedBodies guards against bodies that are still read after their request was refused
// for its path, key or method.
func TestNodeRefusedBodies(t *testing.T) {
	n, c := startNode(t), newClients(t)
	heads := []string{
		"POST /nowhere/f000000000000000 HTTP/1.1\r\n" + nodeHeader,
		"POST /batch/f000000000000000 HTTP/1.1\r\nHost: jobs.example\r\nX-Credential: unknown\r\n",
		"PUT /batch/f000000000000000 HTTP/1.1\r\n" + nodeHeader,
	}
	c.add(nodeBodies-nodeReadyBodies, dialTCP(n.front), func(i int, x net.Conn) {
		[]sendBody{sendAtOnce, sendLargeChunks}[i%2](x, heads[i%len(heads)], nodeBody, false)
	})
	c.add(nodeReadyBodies, dialTCP(n.ready), func(i int, x net.Conn) {
		sendAtOnce(x, "POST /metrics HTTP/1.1\r\nHost: h\r\n", nodeBody, false)
	})
	c.sent()
	n.check(n.submit)
}
