package native

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"citronbridge/fakes/model"
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
	if n := d.p.Store.RowCount("jobs") + d.p.Store.RowCount("records"); n != 0 {
		t.Errorf("%d rows were stored", n)
	}
	if status, _ := h.call(http.MethodPost, "/open/"+id(2), "", good); status != http.StatusOK {
		t.Errorf("a public queue answers a call without a key with %d", status)
	}
}

// oddEntries are entries of another writer among those of the workers.
func oddEntries(pool string) map[string]string {
	entry := func(address, state string, cpu string) string {
		return `{"service":"` + pool + `","address":"` + address + `","state":"` + state + `","capacity":{"cpu":` + cpu + `,"mem-mb":64000,"gpu":4},"labels":["k","r0"],"born":1}`
	}
	return map[string]string{
		"deep":                   strings.Repeat("[", 40000) + strings.Repeat("]", 40000),
		"deep-object":            strings.Repeat(`{"capacity":`, 4000) + "1" + strings.Repeat("}", 4000),
		"large-number":           entry("127.0.0.1:1", "ready", "1"+strings.Repeat("0", 400)),
		"large-capacity":         entry("127.0.0.1:1", "ready", "9223372036854775807"),
		"negative-capacity":      entry("127.0.0.1:1", "ready", "-5"),
		"port":                   entry("127.0.0.1:99999", "ready", "16000"),
		"port-zero":              entry("127.0.0.1:0", "ready", "16000"),
		"no-port":                entry("127.0.0.1", "ready", "16000"),
		"name":                   entry("worker.example:80", "ready", "16000"),
		"path":                   entry("127.0.0.1:80/x?y=", "ready", "16000"),
		"state":                  entry("127.0.0.1:1", "asleep", "16000"),
		"types":                  `{"service":7,"address":["a"],"state":{},"capacity":"much","labels":9,"born":"yesterday"}`,
		"bytes":                  "\xff\xfe\x00",
		"nothing":                "",
		"null":                   "null",
		strings.Repeat("k", 200): entry("127.0.0.1:1", "ready", "16000"),
		"a/b/c":                  entry("127.0.0.1:1", "ready", "16000"),
	}
}

// TestOddEntries guards against entries of another writer that end a host, stop
// its following of the registry, or keep others from being used: workers that
// come before and after them do their work.
func TestOddEntries(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 1)
	odd := oddEntries("pool")
	for k, v := range odd {
		d.p.Store.Put("servers", k, []byte(v))
	}
	d.addWorker("w7", 1)
	for k, v := range odd {
		d.p.Store.Put("servers", k, []byte(v+" "))
	}
	d.submit(id(1), "/batch/", job(step{shape: model.TaskProfile{Work: time.Millisecond, Gang: 2, CPU: 1000, Memory: 1000, Accelerators: 4}, count: 2}))
	d.awaitState("/batch/", id(1), "succeeded")
	for _, h := range d.hosts {
		select {
		case <-h.ended:
			t.Errorf("%s has ended", h.name)
		default:
		}
	}
}

// TestReloadWhileStarting guards against a host that a reload ends while it
// starts: the platform may change settings at any time.
func TestReloadWhileStarting(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1, 1)
	h := d.hosts[0]
	h.kill()
	settings, err := os.ReadFile(h.file)
	must(t, err)
	must(t, os.Remove(h.file))
	must(t, syscall.Mkfifo(h.file, 0o600))
	d.start(h)
	// Opening waits for the host, which then waits for its settings.
	f, err := os.OpenFile(h.file, os.O_WRONLY, 0)
	must(t, err)
	must(t, os.WriteFile(h.file+".new", settings, 0o600))
	must(t, os.Rename(h.file+".new", h.file))
	h.signal(t, syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
	_, err = f.Write(settings)
	must(t, err)
	must(t, f.Close())
	d.awaitReady(h)
}
