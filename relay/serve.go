package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"citronbridge/budget"
	"citronbridge/conns"
	"citronbridge/repo"
	"citronbridge/wire"
)

// acceptRetryPause is the wait after a connection couldn't be accepted.
const acceptRetryPause = 100 * time.Millisecond

// maxFeedWait limits how long a relayed Feed may wait for a change.
const maxFeedWait = 30 * time.Second

// Limits of the calls of other hosts.
const (
	// maxStreams limits the calls on one connection.
	maxStreams = 32
	// maxRequestBytes limits a request. The table service takes changes of up to 1 MB.
	maxRequestBytes = 2 << 20
	// requestTime is the time in which a request has to be complete. A caller gives up after
	// callTimeout unless the call waits for a change.
	requestTime = 2 * time.Second
	// answerTime is the time in which a caller has to read its answer.
	answerTime = 10 * time.Second
)

// accept serves connections of other hosts until ctx ends.
func (r *Relay) accept(ctx context.Context) {
	for {
		c, err := r.c.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			r.c.Log.Warn().Err(err).Msg("accepting a connection of another host failed; retrying")
			time.Sleep(acceptRetryPause)
			continue
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			defer c.Close()
			r.c.Guard.Do("relay", func() { r.serveConnection(ctx, c) })
		}()
	}
}

// serveConnection serves the calls that arrive over one connection, each in a stream of
// its own.
func (r *Relay) serveConnection(ctx context.Context, c net.Conn) {
	address, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	l := r.c.Calls.Open(budget.Holder{Address: address, Evict: func() { c.Close() }})
	defer l.Close()
	f := newCharges(c, l)
	s, err := yamux.Server(f, sessionConfig())
	if err != nil {
		r.c.Log.Warn().Err(err).Msg("session with another host failed; closing its connection")
		return
	}
	defer s.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	var mu sync.Mutex
	streams := 0
	// add counts streams; a connection without any may be closed for another one.
	add := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		streams += n
		conns.SetBusy(c, streams > 0)
		return streams
	}
	end := func(t *yamux.Stream) {
		t.Close()
		f.release(t.StreamID())
		add(-1)
	}
	for {
		t, err := s.AcceptStream()
		if err != nil {
			return
		}
		if add(1) > maxStreams {
			r.refuse(t, "Streams")
			end(t)
			continue
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			defer end(t)
			r.c.Guard.Do("relay", func() { r.serveCall(ctx, t, address, func() { c.Close() }) })
		}()
	}
}

// refuse answers a call that wasn't made.
func (r *Relay) refuse(t *yamux.Stream, reason string) {
	r.c.OnRefused("Host" + reason)
	t.SetWriteDeadline(time.Now().Add(answerTime))
	// The caller learns from a failed write as much as from the answer's absence.
	protodelim.MarshalTo(t, &wire.StoreAnswer{Outcome: wire.StoreAnswer_NOT_DONE, Cause: "this host has no room for the call: " + reason})
}

// serveCall makes one call on behalf of another host.
func (r *Relay) serveCall(ctx context.Context, t *yamux.Stream, address string, evict func()) {
	l := r.c.Calls.Open(budget.Holder{Address: address, Evict: evict})
	defer l.Close()
	t.SetReadDeadline(time.Now().Add(requestTime))
	q, err := readRequest(ctx, t, l)
	if err == nil {
		err = l.Hold()
	}
	switch {
	case errors.Is(err, budget.ErrExhausted), errors.Is(err, budget.ErrEvicted):
		r.refuse(t, "BytesExhausted")
		return
	case errors.Is(err, yamux.ErrTimeout):
		r.c.OnRefused("HostIncomplete")
		return
	case err != nil:
		r.c.Log.Warn().Err(err).Msg("call of another host can't be decoded; dropping it")
		return
	}
	a := r.callDirect(ctx, q)
	if q.GetApply() == nil {
		// A read has no effect that the caller would have to learn of.
		if err := l.Grow(int64(proto.Size(a))); err != nil {
			r.refuse(t, "BytesExhausted")
			return
		}
	}
	t.SetWriteDeadline(time.Now().Add(answerTime))
	if _, err := protodelim.MarshalTo(t, a); err != nil {
		r.c.Log.Info().Err(err).Msg("answer to a relayed call couldn't be sent to its caller")
	}
}

// callDirect makes a relayed call directly. If this host has failed over itself it refuses
// at once, so that a call is never relayed twice.
func (r *Relay) callDirect(ctx context.Context, q *wire.StoreCall) *wire.StoreAnswer {
	if r.FailedOver() {
		return &wire.StoreAnswer{Outcome: wire.StoreAnswer_NOT_DONE, Cause: "the table service is unavailable to this host too"}
	}
	switch b := q.Body.(type) {
	case *wire.StoreCall_Apply:
		a, err := r.applyDirect(ctx, decodeChange(b.Apply))
		return answerOrError(&wire.StoreAnswer{Applied: a.Applied, Version: a.Version, Rows: encodeRows(a.Current), NowMilliseconds: a.Now.Milliseconds()}, err)
	case *wire.StoreCall_List:
		p, err := r.listDirect(ctx, b.List.Table, b.List.Part, b.List.From, int(b.List.Limit))
		return answerOrError(&wire.StoreAnswer{Rows: encodeRows(p.Rows), More: p.More, Version: p.Version, NowMilliseconds: p.Now.Milliseconds()}, err)
	case *wire.StoreCall_Feed:
		wait := min(time.Duration(b.Feed.WaitMilliseconds)*time.Millisecond, maxFeedWait)
		p, err := r.feedDirect(ctx, b.Feed.Table, b.Feed.After, wait)
		return answerOrError(&wire.StoreAnswer{Rows: encodeRows(p.Rows), More: p.More, Version: p.Version, NowMilliseconds: p.Now.Milliseconds()}, err)
	}
	return &wire.StoreAnswer{Outcome: wire.StoreAnswer_NOT_DONE, Cause: "no call of the table service"}
}

// answerOrError returns a, or an answer that reports the error of the call.
func answerOrError(a *wire.StoreAnswer, err error) *wire.StoreAnswer {
	switch {
	case err == nil:
		return a
	case errors.Is(err, repo.ErrHistoryGone):
		return &wire.StoreAnswer{Outcome: wire.StoreAnswer_HISTORY_GONE, Cause: err.Error()}
	case errors.Is(err, repo.ErrNotDone):
		return &wire.StoreAnswer{Outcome: wire.StoreAnswer_NOT_DONE, Cause: err.Error()}
	}
	return &wire.StoreAnswer{Outcome: wire.StoreAnswer_UNKNOWN, Cause: err.Error()}
}
