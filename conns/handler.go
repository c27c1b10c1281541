package conns

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// Handler returns a handler for h that tracks which connections are in a request's body; others
// that have sent their header aren't closed for the limit. A body has to be complete within
// bodyTime, unless h sets another read deadline. If a response begins before the body's end, the
// rest of the body isn't read, and the connection is closed after the response. Handler needs
// ConnContext.
func Handler(h http.Handler, bodyTime time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		t := &tracker{ResponseWriter: w, body: r.Body}
		if r.ProtoMajor == 1 {
			t.conn = FromContext(r.Context())
		}
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTime))
		t.enter(body)
		r.Body = trackedBody{t}
		h.ServeHTTP(t, r)
		t.begin()
	})
}

// tracker watches a request's body and the begin of its response.
type tracker struct {
	http.ResponseWriter
	body io.ReadCloser
	// conn is nil for requests that share their connection with others.
	conn         *Conn
	ended, begun bool
}

// enter changes the state of the request's connection.
func (t *tracker) enter(s state) {
	if t.conn != nil {
		t.conn.enter(s)
	}
}

// Unwrap is for http.ResponseController.
func (t *tracker) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// begin gives up a body that is unread when the response begins.
func (t *tracker) begin() {
	if t.begun {
		return
	}
	t.begun = true
	if t.ended {
		return
	}
	// net/http marks the response so that it closes the connection without reading on, and
	// lets the client read the response first, if MaxBytesReader finds a body too large.
	http.MaxBytesReader(t.ResponseWriter, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
	t.Header().Set("Connection", "close")
	// When the response is sent, net/http tries to read the rest, which then fails at once.
	http.NewResponseController(t.ResponseWriter).SetReadDeadline(time.Unix(1, 0))
	t.enter(body)
}

// WriteHeader implements http.ResponseWriter.
func (t *tracker) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		t.begin()
	}
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *tracker) Write(b []byte) (int, error) {
	t.begin()
	return t.ResponseWriter.Write(b)
}

// trackedBody is the body that a tracker watches.
type trackedBody struct{ t *tracker }

// Read implements io.Reader.
func (b trackedBody) Read(p []byte) (int, error) {
	n, err := b.t.body.Read(p)
	if err == io.EOF && !b.t.ended {
		b.t.ended = true
		b.t.enter(busy)
		// The deadline was for the body. net/http goes on reading, to notice that the
		// client has closed the connection.
		http.NewResponseController(b.t.ResponseWriter).SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close implements io.Closer.
func (b trackedBody) Close() error { return b.t.body.Close() }
