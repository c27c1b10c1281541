package native

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestBadCalls sends what can't be taken: each gets a clear answer, and no job
// is stored.
func TestBadCalls(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1, 1)
	h := d.hosts[0]
	good := job(tasks(1, time.Millisecond))
	steps := func(s string) string { return `{"spec":"x","steps":` + s + `}` }
	for _, c := range []struct {
		name, method, path, key, body string
		want                          int
	}{
		{"broken JSON", "POST", "/batch/" + id(1), key, `{"spec":`, 400},
		{"a list", "POST", "/batch/" + id(1), key, `[]`, 400},
		{"no body", "POST", "/batch/" + id(1), key, ``, 400},
		{"a text for a number", "POST", "/batch/" + id(1), key, steps(`[{"count":"two"}]`), 400},
		{"a number for a text", "POST", "/batch/" + id(1), key, `{"spec":7,"steps":[{"count":1}]}`, 400},
		{"a fraction for a count", "POST", "/batch/" + id(1), key, steps(`[{"count":1.5}]`), 400},
		{"no steps", "POST", "/batch/" + id(1), key, steps(`[]`), 400},
		{"an ID that is too short", "POST", "/batch/12345", key, good, 400},
		{"an ID with other letters", "POST", "/batch/zzzzzzzzzzzzzzzz", key, good, 400},
		{"an ID with a path", "POST", "/batch/" + id(1) + "/x", key, good, 400},
		{"a long spec", "POST", "/batch/" + id(1), key, `{"spec":"` + strings.Repeat("x", 4001) + `","steps":[{"count":1}]}`, 400},
		{"a body over the limit", "POST", "/batch/" + id(1), key, `{"spec":"` + strings.Repeat("x", 70000) + `"}`, 413},
		{"after that points to itself", "POST", "/batch/" + id(1), key, steps(`[{"count":1,"after":[0]}]`), 400},
		{"after that loops", "POST", "/batch/" + id(1), key, steps(`[{"count":1,"after":[1]},{"count":1,"after":[0]}]`), 400},
		{"after that points nowhere", "POST", "/batch/" + id(1), key, steps(`[{"count":1,"after":[9]}]`), 400},
		{"after that is negative", "POST", "/batch/" + id(1), key, steps(`[{"count":1,"after":[-1]}]`), 400},
		{"a count of 0", "POST", "/batch/" + id(1), key, steps(`[{"count":0}]`), 400},
		{"a negative count", "POST", "/batch/" + id(1), key, steps(`[{"count":-3}]`), 400},
		{"a count of 1e9", "POST", "/batch/" + id(1), key, steps(`[{"count":1000000000}]`), 400},
		{"many large steps", "POST", "/batch/" + id(1), key, steps(`[{"count":20000},{"count":20000}]`), 400},
		{"a negative demand", "POST", "/batch/" + id(1), key, steps(`[{"count":1,"gpu":-1}]`), 400},
		{"a negative estimate", "POST", "/batch/" + id(1), key, steps(`[{"count":1,"estimate-ms":-1}]`), 400},
		{"negative times", "POST", "/batch/" + id(1), key, `{"spec":"x","steps":[{"count":1}],"times":-1}`, 400},
		{"many times", "POST", "/batch/" + id(1), key, `{"spec":"x","steps":[{"count":1}],"times":1000000000}`, 400},
		{"no key", "POST", "/batch/" + id(1), "", good, 401},
		{"an unknown key", "POST", "/batch/" + id(1), "other", good, 401},
		{"no queue", "POST", "/none/" + id(1), key, good, 404},
		{"another method", "PUT", "/batch/" + id(1), key, good, 405},
		{"a cancel of nothing", "DELETE", "/batch/" + id(1), key, "", 410},
		{"a state of nothing", "GET", "/batch/" + id(1), key, "", 410},
	} {
		status, b := h.call(c.method, c.path, c.key, c.body)
		if status != c.want {
			t.Errorf("%s: %d, not %d: %s", c.name, status, c.want, b)
		}
		if !strings.Contains(b, `"detail"`) {
			t.Errorf("%s: the answer doesn't say why: %s", c.name, b)
		}
	}
	if n := d.p.Store.Rows("jobs") + d.p.Store.Rows("records"); n != 0 {
		t.Errorf("%d rows were stored", n)
	}
	if status, _ := h.call(http.MethodPost, "/open/"+id(2), "", good); status != http.StatusOK {
		t.Errorf("a public queue answers a call without a key with %d", status)
	}
}
