package guard

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

func newGuard() (*Guard, *bytes.Buffer, map[string]int) {
	var b bytes.Buffer
	n := map[string]int{}
	return New(zerolog.New(&b), func(unit string) { n[unit]++ }), &b, n
}

// TestPanicEndsOnlyItsUnit checks that a panic is logged with its stack and counted, and that
// the units beside it go on.
func TestPanicEndsOnlyItsUnit(t *testing.T) {
	g, b, n := newGuard()
	if !g.Do("order", func() { panic("unexpected error") }) {
		t.Error("a panic isn't reported to the caller")
	}
	if g.Do("order", func() {}) {
		t.Error("a panic is reported where there was none")
	}
	if n["order"] != 1 || !strings.Contains(b.String(), "unexpected error") || !strings.Contains(b.String(), "guard_test.go") {
		t.Errorf("%d panics counted, log %s", n["order"], b)
	}
}

// TestRepeatStartsAgain checks that a feed goes on after a panic, and ends with its context.
func TestRepeatStartsAgain(t *testing.T) {
	g, _, n := newGuard()
	calls := 0
	g.Repeat(t.Context(), "feed", func() {
		if calls++; calls == 1 {
			panic("malformed row")
		}
	})
	if calls != 2 || n["feed"] != 1 {
		t.Errorf("%d calls, %d panics; want 2 and 1", calls, n["feed"])
	}
	ctx, cancel := context.WithCancel(t.Context())
	g.Repeat(ctx, "feed", func() {
		cancel()
		panic("malformed row")
	})
}

// TestHandlerAnswers checks that a call that panics is answered and the next one served.
func TestHandlerAnswers(t *testing.T) {
	g, _, n := newGuard()
	s := httptest.NewServer(g.Handler("call", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bad" {
			panic("malformed call")
		}
	})))
	defer s.Close()
	for path, want := range map[string]int{"/bad": http.StatusGatewayTimeout, "/good": http.StatusOK} {
		r, err := http.Get(s.URL + path)
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		if r.StatusCode != want {
			t.Errorf("%s: status %d, want %d", path, r.StatusCode, want)
		}
	}
	if n["call"] != 1 {
		t.Errorf("%d panics counted, want 1", n["call"])
	}
}
