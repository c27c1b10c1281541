package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"citronbridge/repo"
	"citronbridge/wire"
)

// acceptRetryPause is the wait after a connection couldn't be accepted.
const acceptRetryPause = 100 * time.Millisecond

// maxFeedWait limits how long a relayed Feed may wait for a change.
const maxFeedWait = 30 * time.Second

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
	s, err := yamux.Server(c, sessionConfig())
	if err != nil {
		r.c.Log.Warn().Err(err).Msg("session with another host failed; closing its connection")
		return
	}
	defer s.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	for {
		t, err := s.AcceptStream()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			defer t.Close()
			r.c.Guard.Do("relay", func() { r.serveCall(ctx, t) })
		}()
	}
}

// serveCall makes one call on behalf of another host.
func (r *Relay) serveCall(ctx context.Context, t *yamux.Stream) {
	q := &wire.StoreCall{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}).UnmarshalFrom(bufio.NewReader(t), q); err != nil {
		r.c.Log.Warn().Err(err).Msg("call of another host can't be decoded; dropping it")
		return
	}
	if _, err := protodelim.MarshalTo(t, r.callDirect(ctx, q)); err != nil {
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
