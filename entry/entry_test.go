package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"citronbridge/admin"
	"citronbridge/budget"
	"citronbridge/fleet"
	"citronbridge/golden"
	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/meter"
	"citronbridge/rules"
	"citronbridge/views"
	"citronbridge/wire"
)

// fakeRecords stores jobs in memory and counts the inserts.
type fakeRecords struct {
	rows    map[jobs.Key]*jobs.Record
	inserts int
}

func (f *fakeRecords) Insert(_ context.Context, r *jobs.Record) (ledger.Entry, bool, error) {
	f.inserts++
	if o := f.rows[r.Spec.Key()]; o != nil {
		return ledger.Entry{Record: o, Version: 1}, false, nil
	}
	f.rows[r.Spec.Key()] = r
	return ledger.Entry{Record: r, Version: 1}, true, nil
}

func (f *fakeRecords) Load(_ context.Context, k jobs.Key) (ledger.Entry, error) {
	return ledger.Entry{Record: f.rows[k], Version: 1}, nil
}

func (f *fakeRecords) List(context.Context, string, string, int) ([]*jobs.Record, bool, error) {
	return nil, false, nil
}

// fakeDeciders accepts submissions and fails all other requests about jobs.
type fakeDeciders struct{}

var errNoDecider = errors.New("no decider")

func (fakeDeciders) Submit(context.Context, string, jobs.Key) error { return nil }
func (fakeDeciders) Cancel(context.Context, string, jobs.Key) error { return errNoDecider }
func (fakeDeciders) Wait(context.Context, string, jobs.Key, time.Duration) (*jobs.Record, error) {
	return nil, errNoDecider
}
func (fakeDeciders) Explain(context.Context, string, jobs.Key) (views.Explanation, error) {
	return views.Explanation{}, errNoDecider
}
func (fakeDeciders) Targets(context.Context, string) ([]views.Target, error) { return nil, nil }
func (fakeDeciders) Accounts(context.Context, string) ([]views.Account, error) {
	return nil, nil
}

// fakeRevisionStore accepts every proposal and has no history.
type fakeRevisionStore struct{}

func (fakeRevisionStore) Propose(_ context.Context, id string, base int64, m *rules.Manifest) (*rules.Revision, error) {
	return &rules.Revision{Number: base + 1, Manifest: *m, Proposal: id}, nil
}
func (fakeRevisionStore) History(context.Context, int64, int) ([]rules.Revision, error) {
	return nil, nil
}

// fakeList is a fixed list of hosts.
type fakeList []fleet.Host

func (f fakeList) List(context.Context) ([]fleet.Host, int, error) { return f, 0, nil }

// newServer returns a server with one target of 8 accelerators and two accounts. The account two
// has a burst of 2 tokens, which one submission of goodJob uses up.
func newServer(t *testing.T) (*Server, *fakeRecords) {
	t.Helper()
	now := time.Unix(1800000000, 0)
	b := rules.NewRevisionCache()
	b.Adopt(&rules.Revision{Number: 1, Manifest: rules.Manifest{
		Kinds: []rules.Kind{{Name: "urgent"}, {Name: "routine"}}, CastingVote: "one",
		Accounts: []rules.Account{
			{Name: "one", TokenHash: HashToken("one-token")},
			{Name: "two", TokenHash: HashToken("two-token"), Limits: rules.Limits{RequestsPerSecond: 1, Burst: 2}},
		},
	}}, now)
	v := fleet.NewView(fakeList{{ID: "t", Role: fleet.Target, DataCentre: "dc", Rack: "r", Address: "127.0.0.1:1", Room: jobs.Room{Accelerators: 8, Processors: 64, Memory: 1 << 38, Slots: 8}}})
	if err := v.Refresh(t.Context(), now); err != nil {
		t.Fatal(err)
	}
	f := &fakeRecords{rows: map[jobs.Key]*jobs.Record{}}
	self := func() *wire.Heartbeat { return &wire.Heartbeat{} }
	a, err := admin.New(admin.Config{Deciders: fakeDeciders{}, RevisionStore: fakeRevisionStore{}, Revisions: b, View: v, Live: func() []*wire.Heartbeat { return nil }, Self: self, OnAccepted: func(*rules.Revision) {}, Drain: func() {}})
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(Config{
		Host: "h", Records: f, Deciders: fakeDeciders{}, Admin: a, Revisions: b, View: v, Meter: meter.New(),
		Now: func() time.Time { return now }, Live: func() []*wire.Heartbeat { return nil }, Self: self,
		OperatorHash: HashToken("operator-token"), NotReadyReason: func() string { return "" },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, f
}

const goodJob = `{"ID":"a","Caller":"c","Kind":"routine","Shape":{"Members":1,"Each":{"Accelerators":8,"Processors":1,"Memory":"1 GiB"},"Adjacency":"Host"},"RunTime":"1m"}`

// goodJobWith returns goodJob with the first from replaced by to.
func goodJobWith(from, to string) string { return strings.Replace(goodJob, from, to, 1) }

// TestBadInput sends invalid requests. Each answer has a status of 4xx and names the invalid field,
// and no job is recorded.
func TestBadInput(t *testing.T) {
	s, f := newServer(t)
	var got bytes.Buffer
	for _, x := range []struct {
		name, token, method, path, body string
	}{
		{"no token", "", "POST", "/v1/jobs", goodJob},
		{"wrong token", "three-token", "POST", "/v1/jobs", goodJob},
		{"operator submits", "operator-token", "POST", "/v1/jobs", goodJob},
		{"no JSON", "one-token", "POST", "/v1/jobs", "{"},
		{"two values", "one-token", "POST", "/v1/jobs", goodJob + goodJob},
		{"unknown field", "one-token", "POST", "/v1/jobs", goodJobWith(`"ID"`, `"Colour":"red","ID"`)},
		{"wrong type", "one-token", "POST", "/v1/jobs", goodJobWith(`"Members":1`, `"Members":"many"`)},
		{"number too large", "one-token", "POST", "/v1/jobs", goodJobWith(`"Members":1`, `"Members":99999999999999999999`)},
		{"fraction", "one-token", "POST", "/v1/jobs", goodJobWith(`"Members":1`, `"Members":1.5`)},
		{"out of range", "one-token", "POST", "/v1/jobs", goodJobWith(`"Members":1`, `"Members":257`)},
		{"bad duration", "one-token", "POST", "/v1/jobs", goodJobWith(`"1m"`, `"soon"`)},
		{"too long", "one-token", "POST", "/v1/jobs", goodJobWith(`"1m"`, `"9000h"`)},
		{"bad memory", "one-token", "POST", "/v1/jobs", goodJobWith(`"1 GiB"`, `"lots"`)},
		{"bad time", "one-token", "POST", "/v1/jobs", goodJobWith(`"1m"`, `"1m","StartBy":"tomorrow"`)},
		{"several faults", "one-token", "POST", "/v1/jobs", `{"ID":"a b","Caller":"","Kind":"routine","Shape":{"Members":0,"Adjacency":"Street"},"RunTime":"0s"}`},
		{"retries of a non-idempotent job", "one-token", "POST", "/v1/jobs", goodJobWith(`"1m"`, `"1m","NonIdempotent":true,"Retries":1`)},
		{"unknown kind", "one-token", "POST", "/v1/jobs", goodJobWith(`"routine"`, `"leisure"`)},
		{"another account", "one-token", "POST", "/v1/jobs", goodJobWith(`"ID"`, `"Account":"two","ID"`)},
		{"never fits", "one-token", "POST", "/v1/jobs", goodJobWith(`"Accelerators":8`, `"Accelerators":9`)},
		{"deep nesting", "one-token", "POST", "/v1/jobs", strings.Repeat(`{"Shape":`, 20000)},
		{"large body", "one-token", "POST", "/v1/jobs", `{"ID":"` + strings.Repeat("a", maxBodyBytes) + `"}`},
		{"bad ID", "one-token", "GET", "/v1/jobs/a%20b", ""},
		{"no such job", "one-token", "GET", "/v1/jobs/none", ""},
		{"bad wait", "one-token", "GET", "/v1/jobs/a/answer?Wait=1h", ""},
		{"bad member", "one-token", "GET", "/v1/jobs/a/answer?Member=-1", ""},
		{"bad limit", "one-token", "GET", "/v1/jobs?Limit=0", ""},
		{"operator without account", "operator-token", "GET", "/v1/jobs/a", ""},
		{"account as operator", "one-token", "GET", "/v1/targets", ""},
		{"no such resource", "one-token", "GET", "/v2", ""},
		{"wrong method", "one-token", "PUT", "/v1/jobs", ""},
		{"bad manifest", "operator-token", "POST", "/v1/manifest", `{"ID":"p","Base":-1,"Manifest":{}}`},
		{"guarantee that can't be honoured", "operator-token", "POST", "/v1/manifest", `{"ID":"p","Base":1,"Manifest":{"Kinds":[{"Name":"k"}],"CastingVote":"a","Accounts":[{"Name":"a","TokenHash":"` + HashToken("a") + `","Guarantees":[{"DataCentre":"dc","Shape":{"Members":2,"Each":{"Accelerators":8,"Processors":1,"Memory":"1 GiB"},"Adjacency":"Rack"}}]}]}}`},
	} {
		w := send(s, x.token, x.method, x.path, x.body)
		fmt.Fprintf(&got, "%s: %d %s", x.name, w.Code, w.Body)
		if w.Code/100 != 4 {
			t.Errorf("%s: status %d", x.name, w.Code)
		}
	}
	if f.inserts != 0 {
		t.Errorf("%d inserts", f.inserts)
	}
	golden.Check(t, "testdata/bad.golden", got.String())
}

// send serves a request with a bearer token, or without one if token is empty.
func send(s *Server, token, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

// TestRepeat sends a request twice, a different request with the same ID, and the same request for
// another account. Job IDs are unique per account only.
func TestRepeat(t *testing.T) {
	s, _ := newServer(t)
	for _, x := range []struct {
		name, token, body string
		status            int
	}{
		{"first", "one-token", goodJob, http.StatusAccepted},
		{"again", "one-token", goodJob, http.StatusOK},
		{"conflict", "one-token", goodJobWith("1m", "2m"), http.StatusConflict},
		{"another account", "two-token", goodJob, http.StatusAccepted},
	} {
		if w := send(s, x.token, "POST", "/v1/jobs", x.body); w.Code != x.status {
			t.Errorf("%s: status %d, want %d: %s", x.name, w.Code, x.status, w.Body)
		}
	}
	if w := send(s, "two-token", "GET", "/v1/jobs/a", ""); !strings.Contains(w.Body.String(), `"Account":"two"`) {
		t.Errorf("account two got the job of another account: %s", w.Body)
	}
}

// TestNotReady submits a job to a host that hasn't read the list of hosts yet. The host can't know
// which jobs fit, so it answers with status 503 instead of refusing the job for good.
func TestNotReady(t *testing.T) {
	s, f := newServer(t)
	s.config.View = fleet.NewView(fakeList{})
	if w := send(s, "one-token", "POST", "/v1/jobs", goodJob); w.Code != http.StatusServiceUnavailable || f.inserts != 0 {
		t.Errorf("status %d, %d inserts: %s", w.Code, f.inserts, w.Body)
	}
}

// TestLimit exceeds an account's request rate. A refused request isn't recorded, and a repeated
// request for a job that was accepted before still gets its status.
func TestLimit(t *testing.T) {
	s, f := newServer(t)
	for i, status := range []int{http.StatusAccepted, http.StatusTooManyRequests} {
		w := send(s, "two-token", "POST", "/v1/jobs", goodJobWith(`"ID":"a"`, fmt.Sprintf(`"ID":"a%d"`, i)))
		if w.Code != status {
			t.Fatalf("request %d: status %d, want %d", i, w.Code, status)
		}
		if w.Code == http.StatusTooManyRequests && (w.Header().Get("Retry-After") != "2" || !strings.Contains(w.Body.String(), `"Outcome":"NotRun"`)) {
			t.Errorf("Retry-After %q: %s", w.Header().Get("Retry-After"), w.Body)
		}
	}
	if w := send(s, "two-token", "POST", "/v1/jobs", goodJobWith(`"ID":"a"`, `"ID":"a0"`)); w.Code != http.StatusOK {
		t.Errorf("repeated request beyond the limit: status %d", w.Code)
	}
	if f.inserts != 1 {
		t.Errorf("%d inserts", f.inserts)
	}
}

// FuzzSubmission decodes arbitrary request bodies. A body that is accepted must be valid.
func FuzzSubmission(f *testing.F) {
	f.Add(goodJob)
	f.Add(goodJobWith(`"1m"`, `"1m","StartBy":"2030-01-01T00:00:00Z","Input":"AA=="`))
	v := &Server{config: Config{Budget: budget.New(budget.Config{Limit: DefaultBudget})}, decoding: make(chan struct{}, 1)}
	f.Fuzz(func(t *testing.T, body string) {
		r := httptest.NewRequest("POST", "/v1/jobs", strings.NewReader(body))
		w := &response{ResponseWriter: httptest.NewRecorder(), request: r}
		v.openLease(w, "one")
		defer w.end()
		s, err := v.readSpec(w, r, identity{account: "one"})
		if err == nil && (len(s.Check()) > 0 || s.Account != "one") {
			t.Errorf("accepted a request with faults: %+v", s)
		}
	})
}
