// Package reply writes answers: JSON, and errors as problem details.
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

// Problem is an error as RFC 9457 describes it, with two members of our own.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Faults name the fields that are wrong.
	Faults fault.List `json:",omitempty"`
	// Outcome is that of the request, if it is known.
	Outcome jobs.Outcome `json:",omitempty"`
	// RetryAfter becomes the header of that name, in whole seconds.
	RetryAfter time.Duration `json:"-"`
}

// problemType is the type of problems that the status alone describes.
const problemType = "about:blank"

// Error answers with a problem.
func Error(w http.ResponseWriter, status int, detail string) {
	(&Problem{Status: status, Detail: detail}).Write(w)
}

// Write answers with the problem.
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

// BadInput answers a body that can't be taken.
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

// JSON answers v as JSON.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// defaultRetryAfter is how long a caller is told to wait for a service of the platform.
const defaultRetryAfter = time.Second

// Unavailable answers that something the call needs is away for now.
func Unavailable(w http.ResponseWriter, detail string) {
	(&Problem{Status: http.StatusServiceUnavailable, Detail: detail, RetryAfter: defaultRetryAfter}).Write(w)
}
