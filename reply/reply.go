// Package reply writes HTTP answers in JSON. Errors are problem details as in RFC 9457.
package reply

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"citronbridge/fault"
	"citronbridge/jobs"
)

// Problem is an error in the form of RFC 9457, with the extension members Faults and Outcome.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Faults lists the invalid fields of the request.
	Faults fault.List `json:",omitempty"`
	// Outcome says whether the request's job was recorded or ran, if that matters to the caller.
	Outcome jobs.Outcome `json:",omitempty"`
	// RetryAfter is sent as the header Retry-After, rounded up to whole seconds. 0 sends none.
	RetryAfter time.Duration `json:"-"`
}

// problemType is the type for problems without semantics beyond those of the status code.
const problemType = "about:blank"

// Error answers with a problem that has only a status and a detail.
func Error(w http.ResponseWriter, status int, detail string) {
	(&Problem{Status: status, Detail: detail}).Write(w)
}

// Write answers with the problem. It sets the type, and the title if that is empty.
func (p *Problem) Write(w http.ResponseWriter) {
	p.Type = problemType
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(p)
}

// BadInput answers a request whose body or parameters are invalid: with status 413 if the body is
// too large, else with 400. If err is a fault.List, the answer lists the invalid fields.
func BadInput(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		Error(w, http.StatusRequestEntityTooLarge, "the body has more than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
		return
	}
	p := &Problem{Status: http.StatusBadRequest, Title: "Invalid request", Detail: err.Error()}
	var l fault.List
	if errors.As(err, &l) {
		p.Faults = l
		p.Detail = "fields are wrong"
	}
	p.Write(w)
}

// JSON answers with v in JSON.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// Charger is implemented by response writers that bound the memory of responses.
type Charger interface {
	// Charge reserves n bytes until the end of the request. It returns an error if there aren't
	// that many.
	Charge(n int64) error
}

// freeBytes is the size of responses that Large and Buffered don't charge. Such a response is
// written to the connection's buffers at once.
const freeBytes = 4 << 10

// encoding limits the responses of Large and Buffered that are encoded and not yet charged.
var encoding = make(chan struct{}, 2)

// Large answers with v in JSON, as JSON does, for a v whose size isn't bounded to a few KiB. Only a
// few are encoded at the same time, and each is charged to w before the next one is encoded. It
// answers with status 503 if w has no room.
func Large(w http.ResponseWriter, status int, v any) {
	encoding <- struct{}{}
	b, err := json.Marshal(v)
	if err == nil {
		// The value and its encoding, which json grows by doubling.
		err = charge(w, 3*len(b))
	}
	<-encoding
	if err != nil {
		Overloaded(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(b, '\n'))
}

// charge charges n bytes to w, unless they are few or w isn't a Charger.
func charge(w http.ResponseWriter, n int) error {
	c, ok := w.(Charger)
	if !ok || n <= freeBytes {
		return nil
	}
	return c.Charge(int64(n))
}

// Buffered returns a handler that collects the response of h, and charges it as Large does.
func Buffered(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := &buffer{header: w.Header(), status: http.StatusOK}
		encoding <- struct{}{}
		h.ServeHTTP(b, r)
		err := charge(w, b.body.Cap())
		<-encoding
		if err != nil {
			Overloaded(w)
			return
		}
		w.WriteHeader(b.status)
		w.Write(b.body.Bytes())
	})
}

// buffer is a http.ResponseWriter that collects the response.
type buffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *buffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *buffer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *buffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// overloadedRetryAfter is the Retry-After of Overloaded. Memory that is held for requests without
// progress is freed within a second.
const overloadedRetryAfter = time.Second

// Overloaded answers with status 503: the host holds too much for other requests.
func Overloaded(w http.ResponseWriter) {
	w.Header().Del("Content-Encoding")
	(&Problem{Status: http.StatusServiceUnavailable, Title: "Overloaded", Detail: "the memory for requests is in use: nothing was changed", RetryAfter: overloadedRetryAfter}).Write(w)
}

// defaultRetryAfter is the Retry-After of answers by Unavailable.
const defaultRetryAfter = time.Second

// Unavailable answers with status 503: a service or state that the request depends on isn't
// available at the moment.
func Unavailable(w http.ResponseWriter, detail string) {
	(&Problem{Status: http.StatusServiceUnavailable, Detail: detail, RetryAfter: defaultRetryAfter}).Write(w)
}
