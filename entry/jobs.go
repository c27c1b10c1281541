package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"citronbridge/fault"
	"citronbridge/jobs"
	"citronbridge/reply"
	"citronbridge/views"
)

// Limits of requests that read jobs.
const (
	defaultPageSize = 100
	maxPageSize     = 1000
	// pollInterval is the time between two reads of a job's record during a long poll.
	pollInterval = 300 * time.Millisecond
	// maxInlineAnswer is the largest total size of the outputs, in bytes, that an answer in JSON
	// includes. Larger outputs are fetched member by member.
	maxInlineAnswer = 16 << 20
)

// loadJob reads the record of a job. If there is none, or the table service fails, it answers with
// the error and returns nil.
func (s *Server) loadJob(w http.ResponseWriter, r *http.Request, k jobs.Key) *jobs.Record {
	e, err := s.config.Records.Load(r.Context(), k)
	switch {
	case err != nil:
		reply.Unavailable(w, "the table service is not available")
	case e.Record == nil:
		reply.Error(w, http.StatusNotFound, "no such job: "+k.ID)
	default:
		return e.Record
	}
	return nil
}

// current returns the decider's copy of the record of an unfinished job, which can be newer than
// the stored one. It returns rec if the job has finished or the decider can't be reached.
func (s *Server) current(ctx context.Context, rec *jobs.Record) *jobs.Record {
	if rec.Final() {
		return rec
	}
	n, err := s.config.Deciders.Wait(ctx, rec.Cell, rec.Spec.Key(), 0)
	if err != nil {
		return rec
	}
	return n
}

// status answers with the Status of a job.
func (s *Server) status(w http.ResponseWriter, r *http.Request, id identity) {
	k, ok := s.jobKey(w, r, id)
	if !ok {
		return
	}
	if rec := s.loadJob(w, r, k); rec != nil {
		reply.JSON(w, http.StatusOK, statusOf(s.current(r.Context(), rec)))
	}
}

// Page is one page of the list of an account's jobs.
type Page struct {
	Jobs []Status
	// After is the query parameter After of the request for the next page. It is empty on the
	// last page.
	After string `json:",omitempty"`
}

// list answers with a page of an account's jobs in the order of their IDs.
func (s *Server) list(w http.ResponseWriter, r *http.Request, id identity) {
	q := r.URL.Query()
	account := id.account
	if id.operator {
		account = q.Get("Account")
	}
	n, l := defaultPageSize, fault.List{}
	if v := q.Get("Limit"); v != "" {
		i, err := strconv.Atoi(v)
		l.Check(err == nil && i >= 1 && i <= maxPageSize, "Limit", v, fmt.Sprintf("a whole number from 1 to %d", maxPageSize))
		n = i
	}
	after := q.Get("After")
	l.Check(after == "" || jobs.ValidID(after), "After", after, jobs.IDRule)
	l.Check(jobs.ValidName(account), "Account", account, "the name of a client account")
	if len(l) > 0 {
		reply.BadInput(w, l)
		return
	}
	recs, more, err := s.config.Records.List(r.Context(), account, after, n)
	if err != nil {
		reply.Unavailable(w, "the table service is not available")
		return
	}
	p := Page{Jobs: []Status{}}
	for _, rec := range recs {
		p.Jobs = append(p.Jobs, statusOf(rec))
		if more {
			p.After = rec.Spec.ID
		}
	}
	reply.JSON(w, http.StatusOK, p)
}

// cancelJob asks the decider of a job to stop it, and answers with the job's Status. The HTTP
// status is 202 while the job is stopping, and 200 if it has ended already.
func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request, id identity) {
	k, ok := s.jobKey(w, r, id)
	if !ok {
		return
	}
	rec := s.loadJob(w, r, k)
	if rec == nil {
		return
	}
	if rec.Final() {
		reply.JSON(w, http.StatusOK, statusOf(rec))
		return
	}
	if err := s.config.Deciders.Cancel(r.Context(), rec.Cell, k); err != nil {
		// The decider drops jobs that have ended, so the job may have ended since it was read.
		if e, loadErr := s.config.Records.Load(r.Context(), k); loadErr == nil && e.Record != nil && e.Record.Final() {
			reply.JSON(w, http.StatusOK, statusOf(e.Record))
			return
		}
		reply.Unavailable(w, "the job's decider doesn't answer: "+err.Error())
		return
	}
	reply.JSON(w, http.StatusAccepted, statusOf(s.current(r.Context(), rec)))
}

// explain answers with the reason why a job waits, or with its outcome. If the decider can't be
// reached, the explanation holds only what the stored record says.
func (s *Server) explain(w http.ResponseWriter, r *http.Request, id identity) {
	k, ok := s.jobKey(w, r, id)
	if !ok {
		return
	}
	rec := s.loadJob(w, r, k)
	if rec == nil {
		return
	}
	if !rec.Final() {
		e, err := s.config.Deciders.Explain(r.Context(), rec.Cell, k)
		if err == nil {
			reply.JSON(w, http.StatusOK, e)
			return
		}
	}
	reply.JSON(w, http.StatusOK, views.ExplainRecord(rec))
}

// Answer is the status of a job, with a part for each member's output if the outcome is Done. If
// the outputs have more than maxInlineAnswer bytes in total, data in the object store is left out.
type Answer struct {
	Status
	Parts []jobs.Part `json:",omitempty"`
}

// answer answers with the outcome and output of a job. It waits up to the query parameter Wait for
// the job to end, and answers with HTTP status 202 if it hasn't by then. The query parameter Member
// selects the raw output of one member.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, id identity) {
	k, ok := s.jobKey(w, r, id)
	if !ok {
		return
	}
	wait, member, err := s.parseAnswerQuery(r)
	if err != nil {
		reply.BadInput(w, err)
		return
	}
	rec := s.loadJob(w, r, k)
	if rec == nil {
		return
	}
	rec = s.waitForEnd(r.Context(), rec, wait)
	switch {
	case !rec.Final():
		reply.JSON(w, http.StatusAccepted, Answer{Status: statusOf(rec)})
	case member >= 0:
		s.answerPart(w, r, rec, member)
	default:
		s.answerAllParts(w, r, rec)
	}
}

// parseAnswerQuery returns the query parameters Wait and Member of r. They default to 0 and -1.
func (s *Server) parseAnswerQuery(r *http.Request) (wait time.Duration, member int, err error) {
	q, l := r.URL.Query(), fault.List{}
	if v := q.Get("Wait"); v != "" {
		wait, err = time.ParseDuration(v)
		l.Check(err == nil && wait >= 0 && wait <= s.config.MaxWait, "Wait", v, "a duration from 0s to "+s.config.MaxWait.String())
	}
	member = -1
	if v := q.Get("Member"); v != "" {
		member, err = strconv.Atoi(v)
		l.Check(err == nil && member >= 0 && member < jobs.MaxMembers, "Member", v, "a member's number")
	}
	return wait, member, l.Err()
}

// waitForEnd returns the job's record once the job has ended, or after wait. The decider reports
// the end; the stored record is polled as well, for the time that no decider is reachable.
func (s *Server) waitForEnd(ctx context.Context, rec *jobs.Record, wait time.Duration) *jobs.Record {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	go func() {
		select {
		case <-s.pollsEnded:
			cancel()
		case <-ctx.Done():
		}
	}()
	end := time.Now().Add(wait)
	for !rec.Final() && ctx.Err() == nil {
		n, err := s.config.Deciders.Wait(ctx, rec.Cell, rec.Spec.Key(), time.Until(end))
		if err == nil && n.Final() {
			return n
		}
		e, err := s.config.Records.Load(ctx, rec.Spec.Key())
		if err == nil && e.Record != nil {
			rec = e.Record
		}
		if rec.Final() {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
	return rec
}

// answerAllParts answers with the parts of all members. Each part's length and checksum are those
// that the target computed. If the outputs have at most maxInlineAnswer bytes in total, their data
// is read and verified, and none is sent if a part doesn't match its length and checksum. Beyond
// that size, only data in the record is sent, without verification.
func (s *Server) answerAllParts(w http.ResponseWriter, r *http.Request, rec *jobs.Record) {
	a := Answer{Status: statusOf(rec)}
	total := int64(0)
	for i := range rec.Answer {
		total += rec.Answer[i].Length
	}
	for _, p := range rec.Answer {
		if total <= maxInlineAnswer {
			b, err := s.verifiedOutput(r.Context(), &p)
			if err != nil {
				answerUnavailable(w, rec, err)
				return
			}
			p.Data = b
		}
		a.Parts = append(a.Parts, p)
	}
	reply.JSON(w, http.StatusOK, a)
}

// answerPart answers with the raw bytes of one member's output.
func (s *Server) answerPart(w http.ResponseWriter, r *http.Request, rec *jobs.Record, member int) {
	if member >= len(rec.Answer) {
		reply.Error(w, http.StatusNotFound, "the answer has no such part")
		return
	}
	p := &rec.Answer[member]
	b, err := s.verifiedOutput(r.Context(), p)
	if err != nil {
		answerUnavailable(w, rec, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Header().Set("Repr-Digest", "sha-256=:"+p.Checksum+":")
	w.Write(b)
}

// verifiedOutput returns a member's output, from the record or the object store. It returns an
// error if the data doesn't match the recorded length and checksum.
func (s *Server) verifiedOutput(ctx context.Context, p *jobs.Part) ([]byte, error) {
	b := p.Data
	if p.Object != "" {
		var err error
		if b, err = s.config.Objects.Get(ctx, p.Object); err != nil {
			return nil, err
		}
	}
	if !p.Verify(b) {
		return nil, fmt.Errorf("output of member %d is not whole", p.Member)
	}
	return b, nil
}

// answerUnavailable answers with status 502: the job has ended, but its output can't be read or
// fails verification. The caller may try again.
func answerUnavailable(w http.ResponseWriter, rec *jobs.Record, err error) {
	(&reply.Problem{Status: http.StatusBadGateway, Title: "Answer not available", Detail: err.Error(), Outcome: rec.Outcome, RetryAfter: storeRetryAfter}).Write(w)
}
