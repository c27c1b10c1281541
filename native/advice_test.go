package native

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestAdvice runs a job on a queue with advice: its tasks start only with
// tickets, also after a takeover by a decider that has none of its predecessor's.
func TestAdvice(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 6)
	w := d.monitorRuns()
	s := singleTasks(6, 300*time.Millisecond)
	s.shape.Advised = true
	d.submit(jobID(1), "/advised/", jobBody(s))
	d.awaitState("/advised/", jobID(1), "succeeded")
	d.decider().kill()
	for _, h := range d.hosts {
		select {
		case <-h.exited:
			d.startHost(h)
		default:
		}
	}
	d.submit(jobID(2), "/advised/", jobBody(s))
	d.awaitState("/advised/", jobID(2), "succeeded")
	if n := d.checkRuns(w); n != 12 {
		t.Errorf("%d tasks are done, want 12", n)
	}
}

// TestAdviceServiceMoves guards against jobs with advice that never start, as the running
// decider still calls an address of the advice service that the settings no longer name.
func TestAdviceServiceMoves(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 3)
	s := singleTasks(2, 100*time.Millisecond)
	s.shape.Advised = true
	d.submit(jobID(1), "/advised/", jobBody(s))
	d.awaitState("/advised/", jobID(1), "succeeded")
	decider := d.decider()
	var calls atomic.Int64
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: d.adviceAddress})
	moved := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		proxy.ServeHTTP(w, r)
	}))
	defer moved.Close()
	d.adviceAddress = strings.TrimPrefix(moved.URL, "http://")
	for _, h := range d.hosts {
		d.writeSettings(h, 5000)
		h.signal(t, syscall.SIGHUP)
		d.await("the host applies the settings", func() bool { return h.hasLogged("settings are in force") })
	}
	d.submit(jobID(2), "/advised/", jobBody(s))
	d.awaitState("/advised/", jobID(2), "succeeded")
	if calls.Load() == 0 || d.decider() != decider {
		t.Errorf("%d calls to the address in the settings; the same host decides: %v", calls.Load(), d.decider() == decider)
	}
}
