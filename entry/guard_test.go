package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"citronbridge/budget"
	"citronbridge/jobs"
)

// failingBody returns some bytes and then an error.
type failingBody struct {
	data string
	err  error
}

func (b *failingBody) Read(p []byte) (int, error) {
	if b.data == "" {
		return 0, b.err
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// TestBodyLimits guards against bodies that are kept without a charge, and against refusals that a
// caller can't tell from a faulty request. The connection is closed after each response that leaves
// a body unread.
func TestBodyLimits(t *testing.T) {
	for _, x := range []struct {
		name, token, path string
		body              io.Reader
		taken             int64
		status            int
		closed            bool
	}{
		{"room", "one-token", "/v1/jobs", strings.NewReader(goodJob), 0, http.StatusAccepted, false},
		{"no room", "one-token", "/v1/jobs", strings.NewReader(goodJob), DefaultBudget, http.StatusServiceUnavailable, true},
		{"no room for a manifest", "operator-token", "/v1/manifest", strings.NewReader(goodJob), DefaultBudget, http.StatusServiceUnavailable, true},
		{"timeout", "one-token", "/v1/jobs", &failingBody{goodJob[:10], os.ErrDeadlineExceeded}, 0, http.StatusServiceUnavailable, true},
		{"wrong token", "three-token", "/v1/jobs", strings.NewReader(goodJob), 0, http.StatusUnauthorized, true},
		{"no such resource", "one-token", "/v2", strings.NewReader(goodJob), 0, http.StatusNotFound, true},
		{"not an operator", "one-token", "/v1/manifest", strings.NewReader(goodJob), 0, http.StatusForbidden, true},
	} {
		s, f := newServer(t)
		l := s.config.Budget.Open(budget.Holder{Address: "other"})
		if err := l.Grow(x.taken); err != nil {
			t.Fatal(err)
		}
		r := httptest.NewRequest("POST", x.path, x.body)
		r.Header.Set("Authorization", "Bearer "+x.token)
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, r)
		if w.Code != x.status || w.Header().Get("Connection") == "close" != x.closed {
			t.Errorf("%s: status %d, Connection %q: %s", x.name, w.Code, w.Header().Get("Connection"), w.Body)
		}
		if x.status == http.StatusServiceUnavailable && (w.Header().Get("Retry-After") == "" || strings.Contains(w.Body.String(), "Outcome") || f.inserts > 0) {
			t.Errorf("%s: Retry-After %q, %d inserts: %s", x.name, w.Header().Get("Retry-After"), f.inserts, w.Body)
		}
		l.Close()
		if n := s.config.Budget.Used(); n != 0 {
			t.Errorf("%s: %d bytes stay charged", x.name, n)
		}
	}
}

// TestPollLimits guards against long polls that use up all connections, also of one account alone.
func TestPollLimits(t *testing.T) {
	p := polls{accounts: map[string]int{}}
	for i, x := range []struct {
		account string
		status  int
	}{{"a", 0}, {"a", 0}, {"a", http.StatusTooManyRequests}, {"b", 0}, {"b", http.StatusServiceUnavailable}} {
		if status := p.begin(x.account, 3, 2); status != x.status {
			t.Errorf("poll %d of %s: status %d, want %d", i, x.account, status, x.status)
		}
	}
	p.end("a")
	if status := p.begin("a", 3, 2); status != 0 {
		t.Errorf("status %d after a poll has ended", status)
	}
}

// TestRefusedPoll guards against long polls beyond the limit that are answered as if the job had
// not ended, which callers would repeat at once.
func TestRefusedPoll(t *testing.T) {
	s, f := newServer(t)
	s.config.MaxAccountPolls = 1
	send(s, "one-token", "POST", "/v1/jobs", goodJob)
	if len(f.rows) != 1 {
		t.Fatalf("%d jobs", len(f.rows))
	}
	s.polls.begin("one", 10, 10)
	w := send(s, "one-token", "GET", "/v1/jobs/a/answer?Wait=1s", "")
	if w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
	s.polls.end("one")
	if w := send(s, "one-token", "GET", "/v1/jobs/a/answer?Wait=50ms", ""); w.Code != http.StatusAccepted {
		t.Errorf("status %d of a poll within the limit", w.Code)
	}
}

// TestAnswerEncoding guards against an encoding of answers that differs from that of package json.
func TestAnswerEncoding(t *testing.T) {
	for n := range 3 {
		a := Answer{Status: Status{ID: "a", State: jobs.Finished, Detail: `"}`, Accepted: time.Unix(1, 0).UTC()}}
		for i := range n {
			a.Parts = append(a.Parts, jobs.Part{Member: i, Length: 3, Checksum: "c", Data: bytes.Repeat([]byte{byte(i), 255}, i+1), Object: fmt.Sprint("o", i)})
		}
		var w bytes.Buffer
		if err := writeAnswer(&w, &a); err != nil {
			t.Fatal(err)
		}
		var got Answer
		if err := json.Unmarshal(w.Bytes(), &got); err != nil || !reflect.DeepEqual(got, a) {
			t.Errorf("%d parts: error %v: %s", n, err, w.Bytes())
		}
	}
}

// countedObjects has an object of 3 MiB under each name, and counts the reads.
type countedObjects struct{ reads int }

var bigOutput = make([]byte, 3<<20)

func (o *countedObjects) Get(context.Context, string) ([]byte, error) {
	o.reads++
	return bigOutput, nil
}

// TestAnswerBudget guards against outputs that are read from the object store without room for
// them, and against room that is kept after the response.
func TestAnswerBudget(t *testing.T) {
	s, f := newServer(t)
	o := &countedObjects{}
	s.config.Objects = o
	s.config.Budget = budget.New(budget.Config{Limit: 4 << 20})
	r := &jobs.Record{Spec: jobs.Spec{ID: "a", Account: "one"}, State: jobs.Finished, Outcome: jobs.Done}
	for i := range 2 {
		r.Answer = append(r.Answer, jobs.Part{Member: i, Length: int64(len(bigOutput)), Checksum: jobs.Checksum(bigOutput), Object: "o"})
	}
	f.rows[r.Spec.Key()] = r
	for _, x := range []struct {
		path          string
		status, reads int
	}{
		{"/v1/jobs/a/answer", http.StatusServiceUnavailable, 0},
		{"/v1/jobs/a/answer?Member=1", http.StatusOK, 1},
		{"/v1/jobs/a/answer?Member=0", http.StatusOK, 2},
	} {
		w := send(s, "one-token", "GET", x.path, "")
		if w.Code != x.status || o.reads != x.reads || s.config.Budget.Used() != 0 {
			t.Errorf("%s: status %d, %d reads, %d bytes stay charged; want %d, %d and 0", x.path, w.Code, o.reads, s.config.Budget.Used(), x.status, x.reads)
		}
	}
}
