package native

import (
	"bytes"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"citronbridge/fakes/plat"
)

// TestStoreRejectsDecider makes the store refuse, throttle or not answer the calls of the
// decider alone. The host must relay its calls through its peers: it must keep its pool,
// serve clients, run jobs and apply the operator's changes of the configuration.
func TestStoreRejectsDecider(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		trouble plat.StoreFaults
	}{
		{"refused", plat.StoreFaults{Status: http.StatusServiceUnavailable}},
		{"too many", plat.StoreFaults{Status: http.StatusTooManyRequests}},
		{"silent", plat.StoreFaults{Unresponsive: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 3, 3)
			w := d.monitorRuns()
			h := d.decider()
			h.endpoint.SetFaults(c.trouble)
			d.await("the decider accepts a submission", func() bool {
				status, _ := h.call(http.MethodPost, "/batch/"+jobID(1), apiKey, jobBody(singleTasks(4, 50*time.Millisecond)))
				return status == http.StatusOK
			})
			d.await("the decider reports the job's success", func() bool { return h.state("/batch/", jobID(1)) == "succeeded" })
			d.configure(map[string]any{"name": "tenant-a", "api-keys": []string{"another-key"}, "guaranteed": map[string]int{"gpu": 4}})
			d.await("the decider refuses the revoked key", func() bool {
				status, _ := h.call(http.MethodGet, "/batch/"+jobID(1), apiKey, "")
				return status == http.StatusUnauthorized
			})
			d.await("the decider accepts the new key", func() bool {
				status, _ := h.call(http.MethodDelete, "/batch/"+jobID(1), "another-key", "")
				return status == http.StatusOK
			})
			d.awaitReady(h)
			h.endpoint.SetFaults(plat.StoreFaults{})
			if n := d.checkRuns(w); n != 4 {
				t.Errorf("%d tasks are done, want 4", n)
			}
		})
	}
}

// hasLogged reports whether the host's log contains a text.
func (h *hostProcess) hasLogged(text string) bool {
	b, err := os.ReadFile(h.settingsFile + ".log")
	return err == nil && bytes.Contains(b, []byte(text))
}

// TestSettingsChange changes a host's settings file with and without a signal: valid
// settings must come into force while the host runs, and invalid ones must change nothing.
func TestSettingsChange(t *testing.T) {
	t.Parallel()
	for _, signal := range []bool{true, false} {
		d := deploy(t, 1, 1)
		h := d.hosts[0]
		_, store, err := d.platform.OpenStoreEndpoint(9)
		must(t, err)
		notify := func() {
			if signal {
				h.signal(t, syscall.SIGHUP)
			}
		}
		must(t, os.WriteFile(h.settingsFile, []byte("node: ''\n"), 0o600))
		notify()
		d.await("the host rejects invalid settings", func() bool { return h.hasLogged("changed settings have faults") })
		// The new settings move the host to another endpoint of the store.
		h.storeAddress = store
		d.writeSettings(h, 5000)
		notify()
		d.await("the host applies the settings", func() bool { return h.hasLogged("settings are in force") })
		h.endpoint.SetFaults(plat.StoreFaults{Status: http.StatusServiceUnavailable})
		d.submit(jobID(1), "/batch/", jobBody(singleTasks(1, 20*time.Millisecond)))
		d.awaitState("/batch/", jobID(1), "succeeded")
		// The configuration's last confirmation is always older than this bound for
		// revoked keys, so the host must refuse all calls.
		d.writeSettings(h, 401)
		notify()
		d.await("the host refuses calls with 503", func() bool {
			status, _ := h.call(http.MethodGet, "/batch/"+jobID(1), apiKey, "")
			return status == http.StatusServiceUnavailable
		})
	}
}
