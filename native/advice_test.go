package native

import (
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
