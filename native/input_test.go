package native

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"citronbridge/fakes/model"
	"citronbridge/repo"
	"citronbridge/work"
)

// TestBadCalls sends invalid requests: each must be refused with a reason, and no job
// may be stored.
func TestBadCalls(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1, 1)
	h := d.hosts[0]
	good := jobBody(singleTasks(1, time.Millisecond))
	steps := func(s string) string { return `{"spec":"x","steps":` + s + `}` }
	for _, c := range []struct {
		name, method, path, key, body string
		want                          int
	}{
		{"broken JSON", "POST", "/batch/" + jobID(1), apiKey, `{"spec":`, 400},
		{"a list", "POST", "/batch/" + jobID(1), apiKey, `[]`, 400},
		{"no body", "POST", "/batch/" + jobID(1), apiKey, ``, 400},
		{"a string for a number", "POST", "/batch/" + jobID(1), apiKey, steps(`[{"count":"two"}]`), 400},
		{"a number for a string", "POST", "/batch/" + jobID(1), apiKey, `{"spec":7,"steps":[{"count":1}]}`, 400},
		{"a fraction for a count", "POST", "/batch/" + jobID(1), apiKey, steps(`[{"count":1.5}]`), 400},
		{"no steps", "POST", "/batch/" + jobID(1), apiKey, steps(`[]`), 400},
		{"an ID that is too short", "POST", "/batch/12345", apiKey, good, 400},
		{"an ID with other letters", "POST", "/batch/zzzzzzzzzzzzzzzz", apiKey, good, 400},
		{"an ID with a path", "POST", "/batch/" + jobID(1) + "/x", apiKey, good, 400},
		{"a long spec", "POST", "/batch/" + jobID(1), apiKey, `{"spec":"` + strings.Repeat("x", 4001) + `","steps":[{"count":1}]}`, 400},
		{"a body over the limit", "POST", "/batch/" + jobID(1), apiKey, `{"spec":"` + strings.Repeat("x", 70000) + `"}`, 413},
		{"a step after itself", "POST", "/batch/" + jobID(1), apiKey, steps(`[{"count":1,"after":[0]}]`), 400},
		{"a cycle of steps", "POST", "/batch/" + jobID(1), apiKey, steps(`[{"count":1,"after":[1]},{"count":1,"after":[0]}]`), 400},
		{"a step after one that doesn't exist", "POST", "/batch/" + jobID(1), apiKey, steps(`[{"count":1,"after":[9]}]`), 400},
		{"a step after a negative index", "POST", "/batch/" + jobID(1), apiKey, steps(`[{"count":1,"after":[-1]}]`), 400},
		{"a count of 0", "POST", "/batch/" + jobID(1), apiKey, steps(`[{"count":0}]`), 400},
		{"a negative count", "POST", "/batch/" + jobID(1), apiKey, steps(`[{"count":-3}]`), 400},
		{"a count of 1e9", "POST", "/batch/" + jobID(1), apiKey, steps(`[{"count":1000000000}]`), 400},
		{"too many tasks in all steps", "POST", "/batch/" + jobID(1), apiKey, steps(`[{"count":20000},{"count":20000}]`), 400},
		{"a negative demand", "POST", "/batch/" + jobID(1), apiKey, steps(`[{"count":1,"gpu":-1}]`), 400},
		{"a negative estimate", "POST", "/batch/" + jobID(1), apiKey, steps(`[{"count":1,"estimate-ms":-1}]`), 400},
		{"a negative number of occurrences", "POST", "/batch/" + jobID(1), apiKey, `{"spec":"x","steps":[{"count":1}],"times":-1}`, 400},
		{"too many occurrences", "POST", "/batch/" + jobID(1), apiKey, `{"spec":"x","steps":[{"count":1}],"times":1000000000}`, 400},
		{"no key", "POST", "/batch/" + jobID(1), "", good, 401},
		{"an unknown key", "POST", "/batch/" + jobID(1), "other", good, 401},
		{"an unknown queue", "POST", "/none/" + jobID(1), apiKey, good, 404},
		{"an unsupported method", "PUT", "/batch/" + jobID(1), apiKey, good, 405},
		{"a cancel of an unknown job", "DELETE", "/batch/" + jobID(1), apiKey, "", 410},
		{"the state of an unknown job", "GET", "/batch/" + jobID(1), apiKey, "", 410},
	} {
		status, b := h.call(c.method, c.path, c.key, c.body)
		if status != c.want {
			t.Errorf("%s: status %d, want %d: %s", c.name, status, c.want, b)
		}
		if !strings.Contains(b, `"detail"`) {
			t.Errorf("%s: the answer has no detail: %s", c.name, b)
		}
	}
	// The cancel of an unknown job stores that it never runs, and nothing else is stored.
	id := jobID(1)
	rec, err := work.DecodeRecord(d.platform.Store.Value(repo.TableRecords, repo.PartitionOf(repo.TableRecords, id), id))
	if err != nil || !rec.Unsubmitted {
		t.Errorf("record of the cancelled unknown job: %+v, error %v", rec, err)
	}
	for table, want := range map[string]int{repo.TableJobs: 0, repo.TableRecords: 1, repo.TableCancels: 1} {
		if n := d.platform.Store.RowCount(table); n != want {
			t.Errorf("%d rows of %s were stored for these requests, want %d", n, table, want)
		}
	}
	if status, _ := h.call(http.MethodPost, "/open/"+jobID(2), "", good); status != http.StatusOK {
		t.Errorf("submission to a public queue without a key: status %d, want 200", status)
	}
}

// invalidEntries returns registry entries that no worker would write, by their keys.
func invalidEntries(pool string) map[string]string {
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

// TestInvalidRegistryEntries guards against registry entries of another writer that
// crash a host, stop it from following the registry, or keep valid entries from being
// used: workers that register before and after them must run tasks.
func TestInvalidRegistryEntries(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 1)
	entries := invalidEntries("pool")
	for k, v := range entries {
		d.platform.Store.Put("servers", k, []byte(v))
	}
	d.addWorker("w7", 1)
	for k, v := range entries {
		d.platform.Store.Put("servers", k, []byte(v+" "))
	}
	d.submit(jobID(1), "/batch/", jobBody(step{shape: model.TaskProfile{Work: time.Millisecond, Gang: 2, CPU: 1000, Memory: 1000, Accelerators: 4}, count: 2}))
	d.awaitState("/batch/", jobID(1), "succeeded")
	for _, h := range d.hosts {
		select {
		case <-h.exited:
			t.Errorf("%s has exited", h.name)
		default:
		}
	}
}

// TestReloadWhileStarting guards against a reload signal that ends a host while it is
// starting: the platform may change settings at any time.
func TestReloadWhileStarting(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1, 1)
	h := d.hosts[0]
	h.kill()
	settings, err := os.ReadFile(h.settingsFile)
	must(t, err)
	must(t, os.Remove(h.settingsFile))
	must(t, syscall.Mkfifo(h.settingsFile, 0o600))
	d.startHost(h)
	// Opening the FIFO blocks until the host opens it. The host's read then blocks until
	// the settings are written below.
	f, err := os.OpenFile(h.settingsFile, os.O_WRONLY, 0)
	must(t, err)
	must(t, os.WriteFile(h.settingsFile+".new", settings, 0o600))
	must(t, os.Rename(h.settingsFile+".new", h.settingsFile))
	h.signal(t, syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
	_, err = f.Write(settings)
	must(t, err)
	must(t, f.Close())
	d.awaitReady(h)
}
