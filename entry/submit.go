package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"citronbridge/fault"
	"citronbridge/jobs"
	"citronbridge/reply"
	"citronbridge/rules"
	"citronbridge/setup"
	"citronbridge/table"
)

// Limits of a submission.
const (
	maxBodyBytes  = 512 << 10
	insertTimeout = 5 * time.Second
	// notifyTimeout bounds all tries to notify the decider of a new job, and notifyRetryWait is
	// the time between two of them.
	notifyTimeout   = 5 * time.Second
	notifyRetryWait = 100 * time.Millisecond
	// storeRetryAfter is the Retry-After of answers to requests that failed because the table
	// service or the object store failed.
	storeRetryAfter = time.Second
)

// Status is the state of a job as callers see it.
type Status struct {
	ID       string
	Account  string
	Cell     string
	State    jobs.State
	Outcome  jobs.Outcome `json:",omitempty"`
	Detail   string       `json:",omitempty"`
	Accepted time.Time
	Started  time.Time `json:",omitzero"`
	Finished time.Time `json:",omitzero"`
}

// statusOf returns the status that callers get of a record.
func statusOf(r *jobs.Record) Status {
	return Status{r.Spec.ID, r.Spec.Account, r.Cell, r.State, r.Outcome, r.Detail, r.Accepted, r.Started, r.Finished}
}

// submit accepts a job: it validates the request, enforces the account's limits, chooses a cell
// and records the job.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, id identity) {
	if id.account == "" {
		reply.Error(w, http.StatusForbidden, "a client account's token is needed")
		return
	}
	spec, err := s.readSpec(w, r, id)
	if err != nil {
		s.refuseBody(w, id.account, err)
		return
	}
	if s.config.View.LastRead().IsZero() {
		// Before the first read of the list no cell is known, and every job would be refused as
		// one that never fits.
		s.countRefusal(id.account, "NotReady")
		reply.Unavailable(w, "the list of hosts was not read yet")
		return
	}
	rev := s.config.Revisions.Current()
	if rev == nil {
		s.countRefusal(id.account, "NotReady")
		reply.Unavailable(w, "no manifest yet")
		return
	}
	if err := checkKind(spec, &rev.Manifest); err != nil {
		s.countRefusal(id.account, "Invalid")
		reply.BadInput(w, err)
		return
	}
	if p := s.admit(spec, rev); p != nil {
		s.answerOverLimit(w, r, spec, p)
		return
	}
	cell := s.chooseCell(spec, &rev.Manifest)
	if cell == "" {
		s.countRefusal(id.account, "NeverFits")
		l := fault.List{{Field: "Shape", Value: spec.Shape.String(), Allowed: "a shape that a data centre's targets could hold"}}
		(&reply.Problem{Status: http.StatusUnprocessableEntity, Title: "Shape never fits", Faults: l}).Write(w)
		return
	}
	s.insert(w, r, spec, cell, rev.Number)
}

// readSpec decodes and validates the body of a submission. The job's ID may be in the header
// Idempotency-Key instead of the body.
func (s *Server) readSpec(w http.ResponseWriter, r *http.Request, id identity) (*jobs.Spec, error) {
	v := &jobs.Spec{}
	if err := s.readJSON(w, r, maxBodyBytes, v); err != nil {
		return nil, err
	}
	h := strings.Trim(r.Header.Get("Idempotency-Key"), `"`)
	var l fault.List
	l.Check(h == "" || v.ID == "" || v.ID == h, "ID", v.ID, "the same as the header Idempotency-Key, or left out")
	l.Check(v.Account == "" || v.Account == id.account, "Account", v.Account, "the token's account, or left out")
	if v.ID == "" {
		v.ID = h
	}
	v.Account = id.account
	l = append(l, v.Check()...)
	return v, l.Err()
}

// checkKind returns an error if the manifest doesn't define the job's kind.
func checkKind(s *jobs.Spec, m *rules.Manifest) error {
	if m.Urgency(s.Kind) >= 0 {
		return nil
	}
	names := make([]string, 0, len(m.Kinds))
	for _, k := range m.Kinds {
		names = append(names, k.Name)
	}
	return fault.List{{Field: "Kind", Value: s.Kind, Allowed: "one of " + strings.Join(names, ", ")}}
}

// admit enforces the limits on open jobs and request rates of the account and its caller. It
// returns nil if the request may proceed, else the answer that refuses it.
func (s *Server) admit(spec *jobs.Spec, rev *rules.Revision) *reply.Problem {
	l := rev.Manifest.Account(spec.Account).Limits
	if s.openJobs.AtLimit(spec.Account, l.WithDefaults().OpenJobs) {
		s.countRefusal(spec.Account, "OpenJobs")
		return &reply.Problem{Status: http.StatusTooManyRequests, Title: "Too many open jobs", RetryAfter: openJobsRefreshInterval}
	}
	if f := s.limiter.TakeTokens(spec, l, 1+len(s.config.Live()), s.config.Now()); f != nil {
		s.countRefusal(spec.Account, f.Reason)
		return &reply.Problem{Status: http.StatusTooManyRequests, Title: "Too many requests", Detail: f.Reason, RetryAfter: f.RetryAfter}
	}
	return nil
}

// answerOverLimit answers a submission that exceeds a limit. A repeated request for a recorded job
// gets the usual answer, since it adds no job. Others get p, with the outcome NotRun if it is
// certain that the job isn't recorded.
func (s *Server) answerOverLimit(w http.ResponseWriter, r *http.Request, spec *jobs.Spec, p *reply.Problem) {
	e, err := s.load(r.Context(), spec.Key())
	if err == nil && e.Record != nil {
		s.answerDuplicate(w, spec, e.Record)
		return
	}
	if err == nil {
		p.Outcome = jobs.NotRun
	}
	p.Write(w)
}

// chooseCell returns the cell that a new job goes to, of those whose targets could hold it when
// empty: the first one in which the account has a guarantee of sufficient size, or else the one
// with the most free accelerators. It returns "" if the job fits in no cell.
func (s *Server) chooseCell(spec *jobs.Spec, m *rules.Manifest) string {
	free := map[string]int64{}
	for _, b := range append(s.config.Live(), s.config.Self()) {
		for _, h := range b.GetHolds() {
			free[h.Cell] = h.Free
		}
	}
	best := ""
	for _, cell := range s.config.View.Cells() {
		if !setup.FitsEmptyCell(s.config.View, cell, spec) {
			continue
		}
		if hasGuarantee(m, spec, cell) {
			return cell
		}
		if best == "" || free[cell] > free[best] {
			best = cell
		}
	}
	return best
}

// hasGuarantee reports whether the account has a guarantee in the cell with enough accelerators for
// the job, in total and per member.
func hasGuarantee(m *rules.Manifest, spec *jobs.Spec, cell string) bool {
	for _, g := range m.Account(spec.Account).Guarantees {
		if g.DataCentre == cell && spec.Shape.Accelerators() <= g.Shape.Accelerators() && spec.Shape.Each.Accelerators <= g.Shape.Each.Accelerators {
			return true
		}
	}
	return false
}

// insert records a new job, answers the request and notifies the job's decider. The insert isn't
// cancelled if the caller disconnects.
func (s *Server) insert(w http.ResponseWriter, r *http.Request, spec *jobs.Spec, cell string, revision int64) {
	digest, err := spec.Digest()
	if err != nil {
		reply.Error(w, http.StatusInternalServerError, err.Error())
		return
	}
	rec := &jobs.Record{Spec: *spec, Digest: digest, Cell: cell, State: jobs.Waiting, Accepted: s.config.Now().UTC(), Revision: revision}
	rec.AddEvent(jobs.Event{Time: rec.Accepted, What: "Accepted", Host: s.config.Host, Revision: revision})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), insertTimeout)
	defer cancel()
	e, inserted, err := s.config.Records.Insert(ctx, rec)
	switch {
	case errors.Is(err, table.ErrUncertain):
		s.countRefusal(spec.Account, "Uncertain")
		(&reply.Problem{Status: http.StatusServiceUnavailable, Outcome: jobs.Unknown, RetryAfter: storeRetryAfter,
			Detail: "it is not known whether the request was recorded: send it again under the same ID"}).Write(w)
	case err != nil:
		s.countRefusal(spec.Account, "Store")
		reply.Unavailable(w, "nothing was recorded: the table service is not available")
	case !inserted:
		s.answerDuplicate(w, spec, e.Record)
	default:
		s.openJobs.Add(spec.Account)
		s.notifyDecider(cell, spec.Key())
		w.Header().Set("Location", "/v1/jobs/"+spec.ID)
		reply.JSON(w, http.StatusAccepted, statusOf(rec))
	}
}

// answerDuplicate answers a request whose ID is in use: with the status of the recorded job if the
// request is the same, else with status 409.
func (s *Server) answerDuplicate(w http.ResponseWriter, spec *jobs.Spec, rec *jobs.Record) {
	digest, err := spec.Digest()
	if err != nil || rec == nil || digest != rec.Digest {
		s.countRefusal(spec.Account, "Conflict")
		reply.Error(w, http.StatusConflict, "another request has the ID "+spec.ID)
		return
	}
	reply.JSON(w, http.StatusOK, statusOf(rec))
}

// notifyDecider reports a new job to the decider of its cell, in the background. It retries for
// notifyTimeout; after that the decider finds the job when it next scans the rows of open jobs.
func (s *Server) notifyDecider(cell string, k jobs.Key) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		ctx, cancel := context.WithTimeout(s.ctx, notifyTimeout)
		defer cancel()
		for s.config.Deciders.Submit(ctx, cell, k) != nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(notifyRetryWait):
			}
		}
	}()
}

// openJobsRefreshInterval is the Retry-After of requests that exceed the limit on open jobs. It
// equals the interval at which a host calls RefreshOpenJobs.
const openJobsRefreshInterval = time.Second

// RefreshOpenJobs updates the number of open jobs of each account from the deciders of all cells.
// It keeps the old numbers if a decider can't be reached.
func (s *Server) RefreshOpenJobs(ctx context.Context) {
	l, err := s.config.Admin.AllAccounts(ctx)
	if err != nil {
		return
	}
	m := map[string]int{}
	for _, v := range l {
		m[v.Account] += v.Waiting + v.Placed
	}
	s.openJobs.Set(m)
}
