package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"citronbridge/budget"
	"citronbridge/conns"
	"citronbridge/fault"
	"citronbridge/jobs"
	"citronbridge/reply"
)

// Limits of what requests hold in memory.
const (
	// DefaultBudget is the default of Config.Budget in bytes: an eighth of the default memory.
	DefaultBudget = 64 << 20
	// bodyTime is how long a body may take to arrive. The largest one, of 4 MiB, needs a link of
	// 2.2 Mbit/s for it.
	bodyTime = 15 * time.Second
	// decodersAtOnce is how many bodies are decoded at the same time, which may take several
	// times their bytes.
	decodersAtOnce = 2
	// freeRecord is how much of a job's record isn't charged, in bytes. Most records are smaller,
	// so status and cancellation don't depend on the budget.
	freeRecord = 4 << 10
	// overloadRetryAfter is the Retry-After of requests that were refused as the host holds too
	// much for others. It evicts those within a second.
	overloadRetryAfter = time.Second
)

// Reasons of refusals in the metrics.
const (
	overloaded  = "Overloaded"
	bodyTimeout = "BodyTimeout"
	longPolls   = "LongPolls"
)

// response is the http.ResponseWriter of every handler of a Server. It charges what the request
// holds to the budget.
type response struct {
	http.ResponseWriter
	request *http.Request
	lease   *budget.Lease
}

var _ reply.Charger = (*response)(nil)

// guarded returns a handler that serves each request of h with a *response.
func guarded(h http.Handler) http.Handler {
	return conns.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v := &response{ResponseWriter: w, request: r}
		defer v.end()
		h.ServeHTTP(v, r)
	}), bodyTime)
}

// openLease gives w a lease whose key is the client account, or empty if there is none.
func (s *Server) openLease(w http.ResponseWriter, account string) {
	v := w.(*response)
	if v.lease != nil {
		return
	}
	c := conns.FromContext(v.request.Context())
	v.lease = s.config.Budget.Open(budget.Holder{Address: hostOf(v.request.RemoteAddr), Key: account, Evict: func() {
		if c != nil {
			c.Close()
		}
	}})
}

// hostOf returns the address without its port.
func hostOf(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}

// Charge implements reply.Charger.
func (v *response) Charge(n int64) error {
	if v.lease == nil {
		return nil
	}
	return v.lease.Grow(n)
}

// Unwrap is for http.ResponseController.
func (v *response) Unwrap() http.ResponseWriter { return v.ResponseWriter }

// end releases what the request holds.
func (v *response) end() {
	if v.lease != nil {
		v.lease.Close()
	}
}

// readJSON reads the body of a request, of at most limit bytes, and decodes it into v. The bytes
// are charged as they arrive.
func (s *Server) readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	if r.ContentLength > limit {
		return &http.MaxBytesError{Limit: limit}
	}
	l := w.(*response).lease
	n := limit
	if r.ContentLength >= 0 {
		n = r.ContentLength
	}
	b, err := l.ReadAll(http.MaxBytesReader(w, r.Body, limit), n)
	if err != nil {
		return err
	}
	select {
	case s.decoding <- struct{}{}:
		defer func() { <-s.decoding }()
	case <-r.Context().Done():
		return r.Context().Err()
	}
	if err := fault.UnmarshalJSON(b, v); err != nil {
		return err
	}
	// From here on the request changes something, so its caller is to get the response.
	return l.Hold()
}

// refuseBody answers a request whose body can't be read or is invalid. Nothing was recorded.
func (s *Server) refuseBody(w http.ResponseWriter, account string, err error) {
	switch {
	case errors.Is(err, budget.ErrExhausted), errors.Is(err, budget.ErrEvicted):
		s.refuseOverloaded(w, account)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.Canceled):
		s.countRefusal(account, bodyTimeout)
		(&reply.Problem{Status: http.StatusServiceUnavailable, Detail: "the body did not arrive in time: nothing was recorded", RetryAfter: overloadRetryAfter}).Write(w)
	default:
		s.countRefusal(account, "Invalid")
		reply.BadInput(w, err)
	}
}

// refuseOverloaded answers a request for which there is no memory.
func (s *Server) refuseOverloaded(w http.ResponseWriter, account string) {
	s.countRefusal(account, overloaded)
	reply.Overloaded(w)
}

// recordBytes returns about how many bytes a record has in memory.
func recordBytes(rec *jobs.Record) int64 {
	n := int64(len(rec.Spec.Input))
	for _, a := range rec.Spec.Arguments {
		n += int64(len(a))
	}
	for i := range rec.Answer {
		n += int64(len(rec.Answer[i].Data))
	}
	return n
}

// chargeRecord charges a job's record to the request that has read it. If it doesn't fit it answers
// the request and returns false.
func (s *Server) chargeRecord(w http.ResponseWriter, rec *jobs.Record) bool {
	n := recordBytes(rec)
	if n <= freeRecord {
		return true
	}
	if err := w.(*response).Charge(n); err != nil {
		s.refuseOverloaded(w, rec.Spec.Account)
		return false
	}
	return true
}

// polls counts the long polls under way, each of which holds a goroutine and a connection.
type polls struct {
	mu       sync.Mutex
	total    int
	accounts map[string]int
}

// begin counts a long poll of an account, unless there are maxTotal or, of the account,
// maxPerAccount. It returns the status to refuse the poll with, or 0.
func (p *polls) begin(account string, maxTotal, maxPerAccount int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.total >= maxTotal:
		return http.StatusServiceUnavailable
	case p.accounts[account] >= maxPerAccount:
		return http.StatusTooManyRequests
	}
	p.total++
	p.accounts[account]++
	return 0
}

// end ends a long poll that begin has counted.
func (p *polls) end(account string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total--
	if p.accounts[account]--; p.accounts[account] == 0 {
		delete(p.accounts, account)
	}
}
