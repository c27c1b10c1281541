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

// acceptRetryPause is kept after a connection couldn't be taken.
const acceptRetryPause = 100 * time.Millisecond

// maxFeedWait bounds how long one call of another host may wait for a change.
const maxFeedWait = 30 * time.Second

// accept serves connections of other hosts until ctx ends.
func (r *Relay) accept(ctx context.Context) {
	for {
		c, err := r.c.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			r.c.Log.Warn().Err(err).Msg("another host's connection couldn't be taken")
			time.Sleep(acceptRetryPause)
			continue
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			defer c.Close()
			r.serveConnection(ctx, c)
		}()
	}
}

// serveConnection takes the calls that come over one connection.
func (r *Relay) serveConnection(ctx context.Context, c net.Conn) {
	s, err := yamux.Server(c, sessionConfig())
	if err != nil {
		r.c.Log.Warn().Err(err).Msg("another host's connection couldn't be taken")
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
			r.serveCall(ctx, t)
		}()
	}
}

// serveCall makes one call for another host.
func (r *Relay) serveCall(ctx context.Context, t *yamux.Stream) {
	q := &wire.StoreCall{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}).UnmarshalFrom(bufio.NewReader(t), q); err != nil {
		r.c.Log.Warn().Err(err).Msg("another host's call can't be read")
		return
	}
	if _, err := protodelim.MarshalTo(t, r.callDirect(ctx, q)); err != nil {
		r.c.Log.Info().Err(err).Msg("another host didn't wait for its answer")
	}
}

// callDirect makes a call directly. A host that can't reach it itself says so at
// once: calls are never passed on twice.
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

// answerOrError returns a, or how the call failed.
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
