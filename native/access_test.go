package native

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"citronbridge/fakes/model"
	"citronbridge/fakes/plat"
	"citronbridge/platform"
	"citronbridge/repo"
	"citronbridge/work"
)

// Keys of the second account, tenant-b, and of a key that tenant-a gets later.
const (
	otherKey   = "key-of-b"
	renewedKey = "renewed-key-of-a"
)

// configureTwoAccounts publishes a configuration with tenant-a, under the given key, and tenant-b,
// and waits until all hosts have it.
func (d *deployment) configureTwoAccounts(keyOfA string) {
	d.t.Helper()
	d.configure(map[string]any{"name": "tenant-a", "api-keys": []string{keyOfA}}, map[string]any{"name": "tenant-b", "api-keys": []string{otherKey}})
	for _, h := range d.hosts {
		for _, k := range []string{keyOfA, otherKey} {
			d.await(h.name+" knows the accounts", func() bool {
				status, _ := h.call(http.MethodGet, "/batch/", k, "")
				return status == http.StatusOK
			})
		}
	}
}

// TestAccessByAccount guards against jobs that other accounts see, cancel or are told of: each
// call under a foreign ID must get the answer of one under an unknown ID, before and after the
// job's end, and leave the job alone.
func TestAccessByAccount(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 2)
	d.configureTwoAccounts(apiKey)
	w := d.monitorRuns()
	body := jobBody(singleTasks(1, time.Hour))
	d.submit(jobID(1), "/batch/", body)
	d.submitAs("", jobID(2), "/open/", body)
	d.submit(jobID(3), "/open/", body)
	d.awaitStarts(w, 3)
	unknown := map[string]string{}
	for _, m := range []string{http.MethodGet, http.MethodDelete} {
		status, b := d.hosts[0].call(m, "/batch/"+jobID(99), otherKey, "")
		unknown[m] = fmt.Sprint(status, b)
	}
	type call struct{ name, path, key string }
	foreign := []call{
		{"another account", "/batch/" + jobID(1), otherKey}, {"another account through another queue", "/urgent/" + jobID(1), otherKey},
		{"another account through a public queue", "/open/" + jobID(1), otherKey}, {"nobody's key on a public queue", "/open/" + jobID(1), ""},
		{"a job without an account through another queue", "/batch/" + jobID(2), apiKey}, {"a job of an account without its key", "/open/" + jobID(3), ""},
		{"another account's job on a public queue", "/open/" + jobID(3), otherKey},
	}
	check := func(when string) {
		t.Helper()
		for _, h := range d.hosts {
			for _, c := range foreign {
				for m, want := range unknown {
					status, b := h.call(m, c.path, c.key, "")
					if got := fmt.Sprint(status, b); got != want {
						t.Errorf("%s, %s, %s: answer %s, want %s", when, c.name, m, got, want)
					}
				}
				if status, b := h.call(http.MethodPost, c.path, c.key, body); status != http.StatusServiceUnavailable {
					t.Errorf("%s, %s, POST: status %d, want 503: %s", when, c.name, status, b)
				}
			}
		}
	}
	own := func(state string) {
		t.Helper()
		for _, c := range []call{
			{"the account", "/batch/" + jobID(1), apiKey}, {"the account through another queue", "/urgent/" + jobID(1), apiKey},
			{"a public queue's caller", "/open/" + jobID(2), ""}, {"an account on the public queue", "/open/" + jobID(2), otherKey},
			{"the account on the public queue", "/open/" + jobID(3), apiKey},
		} {
			for _, h := range d.hosts {
				if status, b := h.call(http.MethodGet, c.path, c.key, ""); status != http.StatusOK || !strings.Contains(b, `"`+state+`"`) {
					t.Errorf("state for %s: %d %s, want %s", c.name, status, b, state)
				}
				if status, b := h.call(http.MethodPost, c.path, c.key, body); status != http.StatusOK {
					t.Errorf("repeated submission of %s: status %d, want 200: %s", c.name, status, b)
				}
			}
		}
	}
	check("while the jobs run")
	own("running")
	if n := d.startedTasks(w); n != 3 {
		t.Errorf("%d tasks have started, want 3", n)
	}
	d.platform.Lock(func(c *model.Cluster) {
		for i := 1; i <= 3; i++ {
			c.CompleteJob(jobID(i))
		}
	})
	for path, n := range map[string]int{"/batch/": 1, "/open/": 3} {
		d.awaitState(path, jobID(n), "succeeded")
	}
	d.await("the end of the job without an account", func() bool {
		_, b := d.hosts[0].call(http.MethodGet, "/open/"+jobID(2), "", "")
		return strings.Contains(b, `"succeeded"`)
	})
	check("after their end")
	own("succeeded")
	d.checkRuns(w)
}

// TestAccessWithRenewedKey guards against an account that loses its jobs with its former key.
func TestAccessWithRenewedKey(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 1)
	d.submit(jobID(1), "/batch/", jobBody(singleTasks(1, time.Hour)))
	d.configureTwoAccounts(renewedKey)
	for _, h := range d.hosts {
		d.await("the former key is refused", func() bool { return h.state("/batch/", jobID(1)) == "401" })
		if status, b := h.call(http.MethodGet, "/batch/"+jobID(1), renewedKey, ""); status != http.StatusOK {
			t.Errorf("state by the renewed key: status %d, want 200: %s", status, b)
		}
		if status, b := h.call(http.MethodPost, "/batch/"+jobID(1), renewedKey, jobBody(singleTasks(1, time.Hour))); status != http.StatusOK {
			t.Errorf("repeated submission by the renewed key: status %d, want 200: %s", status, b)
		}
	}
	if status, b := d.hosts[0].call(http.MethodDelete, "/batch/"+jobID(1), renewedKey, ""); status != http.StatusOK {
		t.Errorf("cancel by the renewed key: status %d, want 200: %s", status, b)
	}
	d.await("the job is cancelled", func() bool {
		_, b := d.hosts[0].call(http.MethodGet, "/batch/"+jobID(1), renewedKey, "")
		return strings.Contains(b, `"canceled"`)
	})
}

// TestCancelOfUnknownIDStopsOnlyItsAccount guards against an account that keeps another's job from
// running by a cancel of its ID in advance, and against a lost submission of the cancelling
// account that is stored later.
func TestCancelOfUnknownIDStopsOnlyItsAccount(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 1)
	d.configureTwoAccounts(apiKey)
	w := d.monitorRuns()
	faulty, other := d.hosts[0], d.hosts[1]
	if d.decider() == faulty {
		faulty, other = other, faulty
	}
	path, body := "/batch/"+jobID(1), jobBody(singleTasks(1, time.Millisecond))
	faulty.endpoint.SetFaults(plat.StoreFaults{LoseOneIn: 1, HoldBack: true})
	if status, b := faulty.callWithDeadline(600*time.Millisecond, http.MethodPost, path, apiKey, body); status != http.StatusGatewayTimeout {
		t.Fatalf("submission without an answer of the store: status %d, want 504: %s", status, b)
	}
	faulty.endpoint.SetFaults(plat.StoreFaults{})
	if status, b := other.call(http.MethodDelete, path, apiKey, ""); status != http.StatusGone {
		t.Fatalf("cancel of an unknown job: status %d, want 410: %s", status, b)
	}
	if status, b := other.call(http.MethodPost, path, otherKey, body); status != http.StatusOK {
		t.Fatalf("submission of the other account: status %d, want 200: %s", status, b)
	}
	if faulty.endpoint.ApplyHeldBack() == 0 {
		t.Fatal("no submission was lost")
	}
	if status, b := faulty.call(http.MethodPost, path, apiKey, body); status != http.StatusServiceUnavailable {
		t.Errorf("submission under the other account's ID: status %d, want 503: %s", status, b)
	}
	d.await("the success of the other account's job", func() bool {
		_, b := other.call(http.MethodGet, path, otherKey, "")
		return strings.Contains(b, `"succeeded"`)
	})
	if n := d.checkRuns(w); n != 1 {
		t.Errorf("%d tasks are done, want 1", n)
	}
}

// TestCancelsOfUnknownIDsAreBounded guards against an account that fills the store by cancels of
// unknown IDs: beyond its limit they are refused without a row, while cancels of known jobs and
// those of other accounts are served.
func TestCancelsOfUnknownIDsAreBounded(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1, 1)
	d.configureTwoAccounts(apiKey)
	h := d.hosts[0]
	d.submit(jobID(1), "/batch/", jobBody(singleTasks(1, time.Hour)))
	var refused, answered int
	for n := 0; n < 5000 && refused == 0; n += 100 {
		statuses := make(chan int, 100)
		for i := range 100 {
			go func() {
				status, _ := h.call(http.MethodDelete, "/batch/"+jobID(1000+n+i), apiKey, "")
				statuses <- status
			}()
		}
		for range 100 {
			switch status := <-statuses; status {
			case http.StatusTooManyRequests:
				refused++
			case http.StatusGone:
				answered++
			default:
				t.Fatalf("cancel of an unknown job: status %d, want 410 or 429", status)
			}
		}
	}
	if refused == 0 || answered < 500 {
		t.Fatalf("%d cancels were refused, %d answered before; want some, and at least 500", refused, answered)
	}
	if n := d.platform.Store.RowCount("cancels"); n != answered {
		t.Errorf("%d rows of cancels for %d answered ones", n, answered)
	}
	if m := h.metrics(t); !strings.Contains(m, fmt.Sprintf(`citronbridge_refused_total{reason="CancelRate"} %d`, refused)) {
		t.Error("the metrics don't count the refused cancels")
	}
	if status, b := h.call(http.MethodDelete, "/batch/"+jobID(9999), otherKey, ""); status != http.StatusGone {
		t.Errorf("cancel by another account: status %d, want 410: %s", status, b)
	}
	if status, b := h.call(http.MethodDelete, "/batch/"+jobID(1), apiKey, ""); status != http.StatusOK {
		t.Errorf("cancel of a known job: status %d, want 200: %s", status, b)
	}
}

// TestForeignCancelsAreSwept guards against the deletion of a running job's record in place of that
// of an earlier cancel by another account, which it has replaced: when the cancel's rows are due to
// be deleted, by the deciders of both pools, and after a takeover.
func TestForeignCancelsAreSwept(t *testing.T) {
	t.Parallel()
	const jobs = 40
	// Records are deleted 1 s after the end, and looked for each 0.25 s.
	const retention = 200 * time.Millisecond
	d := newDeployment(t, retention)
	d.poolByQueue = map[string]string{"urgent": "second"}
	d.launch(3, 3)
	d.configureTwoAccounts(apiKey)
	w := d.monitorRuns()
	body := jobBody(step{shape: model.TaskProfile{Work: time.Hour, CPU: 100, Memory: 100}, count: 1})
	for n := range jobs {
		if status, b := d.hosts[n%3].call(http.MethodDelete, "/batch/"+jobID(n), apiKey, ""); status != http.StatusGone {
			t.Fatalf("cancel of an unknown job: status %d, want 410: %s", status, b)
		}
	}
	// The submissions are spread over the time at which the cancels' rows are deleted.
	for n := range jobs {
		d.submitAs(otherKey, jobID(n), "/batch/", body)
		time.Sleep(40 * time.Millisecond)
	}
	d.awaitStarts(w, jobs)
	former := d.decider()
	former.kill()
	d.await("another decider", func() bool { return d.decider() != former })
	d.startHost(former)
	d.awaitReady(former)
	d.submitAs(otherKey, jobID(jobs), "/batch/", body)
	d.awaitStarts(w, jobs+1)
	for n := range jobs {
		if status, b := d.hosts[n%3].call(http.MethodGet, "/batch/"+jobID(n), otherKey, ""); status != http.StatusOK || !strings.Contains(b, `"running"`) {
			t.Errorf("state of job %d: %d %s, want running", n, status, b)
		}
	}
	d.platform.Lock(func(c *model.Cluster) {
		for n := range jobs + 1 {
			c.CompleteJob(jobID(n))
		}
	})
	d.await("all rows are deleted", func() bool { return d.platform.Store.RowCount("records")+d.platform.Store.RowCount("cancels") == 0 })
	if n := d.checkRuns(w); n != jobs+1 {
		t.Errorf("%d tasks are done, want %d", n, jobs+1)
	}
}

// TestRecordsOfEarlierVersion guards against jobs that were stored by an earlier version, whose
// records lack the account: while a job's row is stored it decides, and a decider of this version
// records the account at the end. A record that ended without it is shown to everyone.
func TestRecordsOfEarlierVersion(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 1)
	d.configureTwoAccounts(apiKey)
	w := d.monitorRuns()
	store := platform.NewStore(d.hosts[0].storeAddress, nil)
	strip := func(n int) {
		t.Helper()
		id := jobID(n)
		part := repo.PartitionOf(repo.TableRecords, id)
		r, err := work.DecodeRecord(d.platform.Store.Value(repo.TableRecords, part, id))
		must(t, err)
		r.HasAccount, r.Account = false, ""
		b, err := r.Encode()
		must(t, err)
		_, err = store.Apply(t.Context(), repo.Change{Put: []repo.Row{{Table: repo.TableRecords, Partition: part, Key: id, Value: b}}})
		must(t, err)
	}
	check := func(n int, own, other string) {
		t.Helper()
		for _, h := range d.hosts {
			for key, want := range map[string]string{apiKey: own, otherKey: other} {
				if status, b := h.call(http.MethodGet, "/batch/"+jobID(n), key, ""); !strings.Contains(fmt.Sprint(status, b), want) {
					t.Errorf("state of job %d with %s: %d %s, want %s", n, key, status, b, want)
				}
			}
		}
	}
	for n := 1; n <= 2; n++ {
		d.submit(jobID(n), "/batch/", jobBody(singleTasks(1, time.Hour)))
	}
	d.awaitStarts(w, 2)
	d.platform.Lock(func(c *model.Cluster) { c.CompleteJob(jobID(2)) })
	d.awaitState("/batch/", jobID(2), "succeeded")
	strip(1)
	strip(2)
	check(1, "running", "410")
	check(2, "succeeded", "succeeded")
	if status, b := d.hosts[0].call(http.MethodDelete, "/batch/"+jobID(1), otherKey, ""); status != http.StatusGone {
		t.Errorf("cancel by another account: status %d, want 410: %s", status, b)
	}
	former := d.decider()
	former.kill()
	d.await("another decider", func() bool { return d.decider() != former })
	d.startHost(former)
	d.awaitReady(former)
	d.platform.Lock(func(c *model.Cluster) { c.CompleteJob(jobID(1)) })
	d.awaitState("/batch/", jobID(1), "succeeded")
	check(1, "succeeded", "410")
	d.checkRuns(w)
}
