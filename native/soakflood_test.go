package native

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// The connections with unfinished bodies that a soak has in addition to its faults.
const (
	soakFlood = 40
	// soakFloodBody is the length of their bodies, the largest that the configuration allows.
	soakFloodBody = 64 << 10
	// soakFloodHold is how long a connection is held open, longer than the timeout of a queue.
	soakFloodHold = 5 * time.Second
	// soakFloodPause is the time before a connection is opened again.
	soakFloodPause = 100 * time.Millisecond
	// soakFloodPrefix is the beginning of the IDs of their jobs. No job of another client has it.
	soakFloodPrefix = "cc"
)

// startFlood opens n connections to random hosts and keeps opening them again. Each sends a
// submission without the end of its body. The returned function closes them.
func (d *deployment) startFlood(seed uint64, n int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range n {
		r := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		wg.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				holdUnfinished(ctx, r, d.hosts[r.IntN(len(d.hosts))].frontAddress, fmt.Sprintf("%s%06x%08x", soakFloodPrefix, i, k))
				time.Sleep(soakFloodPause)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// holdUnfinished sends a submission without the end of its body, whole or in chunks, and holds the
// connection until the host closes it, soakFloodHold is over or ctx ends.
func holdUnfinished(ctx context.Context, r *rand.Rand, address, id string) {
	c, err := (&net.Dialer{Timeout: soakFloodHold}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.SetDeadline(time.Now().Add(soakFloodHold))
	head := fmt.Sprintf("POST /batch/%s HTTP/1.1\r\nHost: jobs.example\r\nX-Credential: %s\r\n", id, apiKey)
	body := jobBody(singleTasks(1, time.Second))
	body += strings.Repeat(" ", soakFloodBody-len(body))
	if r.IntN(2) == 0 {
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body[:len(body)-1])
	} else {
		fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(body), body)
	}
	// A host that refuses the request may keep the connection open.
	b := make([]byte, 1024)
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}
