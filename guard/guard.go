// Package guard contains panics: one in a call, a feed or an order ends that unit of work
// alone, and is logged with its stack and counted.
package guard

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/reply"
)

// restartPause is how long Repeat waits before it starts a unit again.
const restartPause = time.Second

// Guard contains panics. A nil Guard lets them pass.
type Guard struct {
	log   zerolog.Logger
	count func(unit string)
}

// New returns a Guard that logs to log, and calls count for each panic with the name of the
// unit of work that it ended.
func New(log zerolog.Logger, count func(unit string)) *Guard { return &Guard{log, count} }

// Do calls f and reports whether it panicked.
func (g *Guard) Do(unit string, f func()) (panicked bool) {
	if g == nil {
		f()
		return false
	}
	defer func() {
		if v := recover(); v != nil {
			panicked = true
			g.report(unit, v)
		}
	}()
	f()
	return false
}

// Repeat calls f until it returns without a panic or ctx ends.
func (g *Guard) Repeat(ctx context.Context, unit string, f func()) {
	for g.Do(unit, f) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartPause):
		}
	}
}

// Handler returns a handler that answers 504 to a call in which h panics: what the call has
// done by then isn't known, so its caller must ask again.
func (g *Guard) Handler(unit string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(v)
			}
			if v != nil {
				g.report(unit, v)
				reply.Error(w, http.StatusGatewayTimeout, "the call failed; ask again")
			}
		}()
		h.ServeHTTP(w, r)
	})
}

func (g *Guard) report(unit string, v any) {
	g.count(unit)
	g.log.Error().Str("unit", unit).Str("panic", fmt.Sprint(v)).Str("stack", string(debug.Stack())).Msg("unit of work ended by a panic")
}
