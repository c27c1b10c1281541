// Package reply writes HTTP answers in JSON. Errors are problem details as in RFC 9457.
package reply

import (
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

// defaultRetryAfter is the Retry-After of answers by Unavailable.
const defaultRetryAfter = time.Second

// Unavailable answers with status 503: a service or state that the request depends on isn't
// available at the moment.
func Unavailable(w http.ResponseWriter, detail string) {
	(&Problem{Status: http.StatusServiceUnavailable, Detail: detail, RetryAfter: defaultRetryAfter}).Write(w)
}
