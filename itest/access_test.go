package itest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"citronbridge/jobs"
)

// send sends a request with a bearer token and returns the status and the body of the answer.
func (h *hostProcess) send(t testing.TB, token, method, path string, body any) (int, string) {
	t.Helper()
	b, err := json.Marshal(body)
	must(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+h.httpAddress()+path, bytes.NewReader(b))
	must(t, err)
	q.Header.Set("Authorization", "Bearer "+token)
	r, err := http.DefaultClient.Do(q)
	must(t, err)
	defer r.Body.Close()
	b, err = io.ReadAll(r.Body)
	must(t, err)
	return r.StatusCode, string(b)
}

// TestAccessByAccount guards against calls that reach the job of another account, on every host,
// while the job runs and after its end: they must get the answer of an unknown ID. The same ID is
// free for another account's job, and an operator reaches the jobs of the account it names.
func TestAccessByAccount(t *testing.T) {
	t.Parallel()
	c := newCluster(t, oneRackLayout)
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	const id, unknown = "shared", "unseen"
	own, other := kelani+"-token", agency+"-token"
	s := newSpec(id, time.Hour, gangOf(1, 1))
	c.submit(c.client(own), s)
	eventually(t, "the job is running", func() bool { return c.runningTasks(kelani) == 1 })
	type call struct{ method, path string }
	calls := []call{
		{http.MethodGet, "/v1/jobs/" + id}, {http.MethodGet, "/v1/jobs/" + id + "/answer"}, {http.MethodGet, "/v1/jobs/" + id + "/answer?Member=0"},
		{http.MethodGet, "/v1/jobs/" + id + "/answer?Wait=100ms"}, {http.MethodGet, "/v1/jobs/" + id + "/explanation"}, {http.MethodDelete, "/v1/jobs/" + id},
	}
	withAccount := func(path, account string) string {
		if strings.Contains(path, "?") {
			return path + "&Account=" + account
		}
		return path + "?Account=" + account
	}
	check := func(when string) {
		t.Helper()
		for _, h := range c.hosts {
			for _, x := range calls {
				for _, f := range []struct{ token, path string }{{other, x.path}, {other, withAccount(x.path, kelani)}, {operatorToken, withAccount(x.path, agency)}} {
					wantStatus, want := h.send(t, f.token, x.method, strings.Replace(f.path, id, unknown, 1), nil)
					status, b := h.send(t, f.token, x.method, f.path, nil)
					if status != http.StatusNotFound || status != wantStatus || strings.ReplaceAll(b, id, unknown) != want {
						t.Errorf("%s: %s %s with %s: %d %s, want %d %s", when, x.method, f.path, f.token, status, b, wantStatus, want)
					}
				}
				if status, _ := h.send(t, operatorToken, x.method, x.path, nil); status != http.StatusBadRequest {
					t.Errorf("%s: %s %s by an operator without an account: status %d, want 400", when, x.method, x.path, status)
				}
				if status, _ := h.send(t, "no-token", x.method, x.path, nil); status != http.StatusUnauthorized {
					t.Errorf("%s: %s %s with an unknown token: status %d, want 401", when, x.method, x.path, status)
				}
				if x.method == http.MethodDelete {
					continue
				}
				for _, f := range []struct{ token, path string }{{own, x.path}, {operatorToken, withAccount(x.path, kelani)}} {
					if status, b := h.send(t, f.token, x.method, f.path, nil); status/100 != 2 {
						t.Errorf("%s: %s %s with %s: %d %s, want 2xx", when, x.method, f.path, f.token, status, b)
					}
				}
			}
			if status, _ := h.send(t, operatorToken, http.MethodGet, "/v1/jobs", nil); status != http.StatusBadRequest {
				t.Errorf("%s: list by an operator without an account: status %d, want 400", when, status)
			}
			for _, f := range []struct {
				token, path string
				listed      bool
			}{
				{own, "/v1/jobs", true}, {own, "/v1/jobs?Account=" + agency, true}, {operatorToken, "/v1/jobs?Account=" + kelani, true},
				{other, "/v1/jobs", false}, {other, "/v1/jobs?Account=" + kelani, false}, {operatorToken, "/v1/jobs?Account=" + agency, false},
			} {
				status, b := h.send(t, f.token, http.MethodGet, f.path, nil)
				if status != http.StatusOK || strings.Contains(b, fmt.Sprintf(`"Account":%q`, kelani)) != f.listed {
					t.Errorf("%s: GET %s with %s: %d %s, job listed: want %v", when, f.path, f.token, status, b, f.listed)
				}
			}
		}
	}
	check("while the job runs")
	if n := c.runningTasks(kelani); n != 1 {
		t.Errorf("%d tasks run after the calls of others, want 1", n)
	}
	h := c.hosts[0]
	impostor := newSpec(id, time.Hour, gangOf(1, 1))
	impostor.Account = kelani
	if status, b := h.send(t, other, http.MethodPost, "/v1/jobs", impostor); status != http.StatusBadRequest {
		t.Errorf("submission in another account's name: %d %s, want 400", status, b)
	}
	if status, b := h.send(t, operatorToken, http.MethodPost, "/v1/jobs?Account="+kelani, s); status != http.StatusForbidden {
		t.Errorf("submission by an operator: %d %s, want 403", status, b)
	}
	if status, b := h.send(t, own, http.MethodPost, "/v1/jobs", s); status != http.StatusOK {
		t.Errorf("repeated submission: %d %s, want 200", status, b)
	}

	// The other account's job under the same ID is its own.
	o := c.client(other)
	c.submit(o, newSpec(id, time.Hour, gangOf(1, 1)))
	if status, b := h.send(t, own, http.MethodPost, "/v1/jobs", s); status != http.StatusOK || !strings.Contains(b, kelani) {
		t.Errorf("repeated submission beside the other account's job: %d %s, want 200", status, b)
	}
	_, err := o.Cancel(context.Background(), id)
	must(t, err)
	v, err := o.Answer(context.Background(), id, awaitTimeout)
	must(t, err)
	if v.Account != agency || v.State != jobs.Finished {
		t.Errorf("the other account's cancelled job is %+v", v.Status)
	}
	if n := c.runningTasks(kelani); n != 1 {
		t.Errorf("%d tasks run after the cancel of the other account's job, want 1", n)
	}

	// An operator cancels a job of the account it names.
	const second = "second"
	c.submit(c.client(own), newSpec(second, time.Hour, gangOf(1, 1)))
	op := c.client(operatorToken)
	op.Account = agency
	if _, err := op.Cancel(context.Background(), second); err == nil {
		t.Error("an operator has cancelled a job under another account's name")
	}
	op.Account = kelani
	_, err = op.Cancel(context.Background(), second)
	must(t, err)
	v, err = op.Answer(context.Background(), second, awaitTimeout)
	must(t, err)
	if v.Account != kelani || v.State != jobs.Finished {
		t.Errorf("the job that an operator cancelled is %+v", v.Status)
	}
}

// TestAccessAfterEnd is TestAccessByAccount for a job that is done, whose answer has its output.
func TestAccessAfterEnd(t *testing.T) {
	t.Parallel()
	c := newCluster(t, oneRackLayout)
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	const id = "output-of-kelani"
	s := newSpec(id, 10*time.Millisecond, gangOf(1, 1))
	c.submit(c.client(kelani+"-token"), s)
	c.awaitDone(c.client(kelani+"-token"), s)
	for _, h := range c.hosts {
		for _, p := range []string{"", "/answer", "/answer?Member=0", "/explanation"} {
			path := "/v1/jobs/" + id + p
			if status, b := h.send(t, kelani+"-token", http.MethodGet, path, nil); status != http.StatusOK {
				t.Errorf("GET %s: %d %s, want 200", path, status, b)
			}
			want, unknown := h.send(t, agency+"-token", http.MethodGet, strings.Replace(path, id, "unseen", 1), nil)
			status, b := h.send(t, agency+"-token", http.MethodGet, path, nil)
			if status != http.StatusNotFound || status != want || strings.ReplaceAll(b, id, "unseen") != unknown {
				t.Errorf("GET %s by another account: %d %s, want %d %s", path, status, b, want, unknown)
			}
		}
		if status, b := h.send(t, agency+"-token", http.MethodDelete, "/v1/jobs/"+id, nil); status != http.StatusNotFound {
			t.Errorf("cancel by another account: %d %s, want 404", status, b)
		}
	}
}
