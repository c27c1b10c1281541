package entry

import (
	"bufio"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"citronbridge/fault"
	"citronbridge/jobs"
	"citronbridge/ledger"
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
	e, err := s.load(r.Context(), k)
	switch {
	case err != nil:
		reply.Unavailable(w, "the table service is not available")
	case e.Record == nil:
		reply.Error(w, http.StatusNotFound, "no such job: "+k.ID)
	case s.chargeRecord(w, e.Record):
		return e.Record
	}
	return nil
}

// load reads the record of a job. A record may have hundreds of KiB, and isn't charged while it is
// read and decoded, so only some are read at the same time.
func (s *Server) load(ctx context.Context, k jobs.Key) (ledger.Entry, error) {
	select {
	case s.loading <- struct{}{}:
		defer func() { <-s.loading }()
	case <-ctx.Done():
		return ledger.Entry{}, ctx.Err()
	}
	return s.config.Records.Load(ctx, k)
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
	p, err := s.readPage(r.Context(), account, after, n)
	if err != nil {
		reply.Unavailable(w, "the table service is not available")
		return
	}
	reply.Large(w, http.StatusOK, p)
}

// Limits of what lists of jobs hold in memory. A list consists of whole records, which may have
// hundreds of KiB each, and of which only the Status is kept.
const (
	// listsAtOnce is how many lists read records at the same time.
	listsAtOnce = 2
	// firstRead is how many records a list reads first, if it is to have more.
	firstRead = 16
	// readBytes is the size of the records that a list aims to read at a time later on, by the
	// average size of those that it has read.
	readBytes = 4 << 20
)

// readPage reads a page of at most n jobs of an account after the given ID.
func (s *Server) readPage(ctx context.Context, account, after string, n int) (Page, error) {
	p := Page{Jobs: []Status{}}
	select {
	case s.listing <- struct{}{}:
		defer func() { <-s.listing }()
	case <-ctx.Done():
		return p, ctx.Err()
	}
	size, more := firstRead, true
	for more && len(p.Jobs) < n {
		size = min(size, n-len(p.Jobs))
		recs, m, err := s.config.Records.List(ctx, account, after, size)
		if err != nil {
			return p, err
		}
		total := int64(0)
		for _, rec := range recs {
			p.Jobs = append(p.Jobs, statusOf(rec))
			after = rec.Spec.ID
			total += recordBytes(rec)
		}
		more = m
		if len(recs) == 0 {
			break
		}
		size = max(firstRead, int(readBytes*int64(len(recs))/(total+1)))
	}
	if more && len(p.Jobs) > 0 {
		p.After = after
	}
	return p, nil
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
		if e, loadErr := s.load(r.Context(), k); loadErr == nil && e.Record != nil && e.Record.Final() {
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
			reply.Large(w, http.StatusOK, e)
			return
		}
	}
	reply.Large(w, http.StatusOK, views.ExplainRecord(rec))
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
	if wait > 0 && !rec.Final() {
		if status := s.polls.begin(rec.Spec.Account, s.config.MaxPolls, s.config.MaxAccountPolls); status != 0 {
			s.countRefusal(rec.Spec.Account, longPolls)
			(&reply.Problem{Status: status, Title: "Too many long polls", RetryAfter: overloadRetryAfter}).Write(w)
			return
		}
		rec = s.waitForEnd(r.Context(), rec, wait)
		s.polls.end(rec.Spec.Account)
		if rec.Final() && !s.chargeRecord(w, rec) {
			return
		}
	}
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
		e, err := s.load(ctx, rec.Spec.Key())
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
	inline := total <= maxInlineAnswer
	if inline && !s.chargeObjects(w, rec, rec.Answer) {
		return
	}
	for _, p := range rec.Answer {
		if inline {
			b, err := s.verifiedOutput(r.Context(), &p)
			if err != nil {
				answerUnavailable(w, rec, err)
				return
			}
			p.Data = b
		}
		a.Parts = append(a.Parts, p)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	// An error means that the caller has gone.
	writeAnswer(w, &a)
}

// chargeObjects charges the data of those parts that are in the object store, before it is read. If
// it doesn't fit it answers the request and returns false.
func (s *Server) chargeObjects(w http.ResponseWriter, rec *jobs.Record, parts []jobs.Part) bool {
	n := int64(0)
	for i := range parts {
		if parts[i].Object != "" {
			n += parts[i].Length
		}
	}
	if n == 0 {
		return true
	}
	if err := w.(*response).Charge(n); err != nil {
		s.refuseOverloaded(w, rec.Spec.Account)
		return false
	}
	return true
}

// answerBuffer is the size of the pieces in which an answer is written.
const answerBuffer = 16 << 10

// writeAnswer writes a in JSON. It encodes the data of the parts piece by piece, where the package
// json would hold several times the size of the data.
func writeAnswer(w io.Writer, a *Answer) error {
	b := bufio.NewWriterSize(w, answerBuffer)
	head, err := json.Marshal(Answer{Status: a.Status})
	if err != nil {
		return err
	}
	b.Write(head[:len(head)-1])
	for i, p := range a.Parts {
		data := p.Data
		p.Data = nil
		part, err := json.Marshal(p)
		if err != nil {
			return err
		}
		b.WriteString([]string{`,"Parts":[`, ","}[min(i, 1)])
		b.Write(part[:len(part)-1])
		if len(data) > 0 {
			b.WriteString(`,"Data":"`)
			e := base64.NewEncoder(base64.StdEncoding, b)
			e.Write(data)
			e.Close()
			b.WriteString(`"`)
		}
		b.WriteString("}")
	}
	if len(a.Parts) > 0 {
		b.WriteString("]")
	}
	b.WriteString("}\n")
	return b.Flush()
}

// answerPart answers with the raw bytes of one member's output.
func (s *Server) answerPart(w http.ResponseWriter, r *http.Request, rec *jobs.Record, member int) {
	if member >= len(rec.Answer) {
		reply.Error(w, http.StatusNotFound, "the answer has no such part")
		return
	}
	if !s.chargeObjects(w, rec, rec.Answer[member:member+1]) {
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
