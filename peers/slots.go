package peers

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/yamux"

	"citronbridge/wire"
)

// Limits of the calls to one host at the same time. They are well below maxStreams, since the other
// host may notice the end of a call late. Long polls leave some calls for other requests.
const (
	maxCalls     = 320
	maxLongPolls = 256
	// slotWait is how long a call waits for others to end. A long poll that fails is repeated
	// after a read of the job's record.
	slotWait = time.Second
)

// errBusy means that there are too many calls to the host, so the call was not sent.
var errBusy = errors.New("too many calls to the host")

// outbound is a connection that this host has dialled. It carries the calls to a peer.
type outbound struct {
	session *yamux.Session
	metered *meteredConn
	// calls and polls limit the calls and those of them that are long polls.
	calls, polls chan struct{}
}

// newOutbound returns an outbound connection without calls.
func newOutbound(s *yamux.Session, c *meteredConn) *outbound {
	return &outbound{session: s, metered: c, calls: make(chan struct{}, maxCalls), polls: make(chan struct{}, maxLongPolls)}
}

// acquire waits until q may be sent. The caller calls release once the call has ended.
func (o *outbound) acquire(ctx context.Context, q *wire.Request) (release func(), err error) {
	ctx, cancel := context.WithTimeout(ctx, slotWait)
	defer cancel()
	var held []chan struct{}
	release = func() {
		for _, c := range held {
			<-c
		}
	}
	l := []chan struct{}{o.calls}
	if q.GetWait().GetWaitMilliseconds() > 0 {
		l = []chan struct{}{o.polls, o.calls}
	}
	for _, c := range l {
		select {
		case c <- struct{}{}:
			held = append(held, c)
		case <-ctx.Done():
			release()
			return nil, errBusy
		}
	}
	return release, nil
}

// open opens a stream for a call.
func (o *outbound) open() (*meteredStream, error) {
	t, err := o.session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	o.metered.add(t.StreamID())
	return &meteredStream{t, o.metered}, nil
}
