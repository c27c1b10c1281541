package native

import (
	"strings"
	"testing"
	"time"

	"citronbridge/fakes/model"
)

// TestHandOver starts a host with enough processor for the pool while the decider
// has too little. The pool must be handed over to the new host while tasks are
// running, without a task that is lost or started twice, or a gang that is incomplete.
func TestHandOver(t *testing.T) {
	t.Parallel()
	d := deploy(t, 0, 4)
	add := func(name string, cores float64) *hostProcess {
		d.addHost(name)
		h := d.hosts[len(d.hosts)-1]
		h.cpuShare = cores
		d.writeSettings(h, 5000)
		d.startHost(h)
		d.awaitReady(h)
		return h
	}
	small := add("small", 0.2)
	w := d.monitorRuns()
	loneMembers := 0
	d.platform.Lock(func(c *model.Cluster) {
		previous := c.OnEnd
		c.OnEnd = func(x *model.Worker, e model.End) {
			previous(x, e)
			if e.How == "alone" {
				loneMembers++
			}
		}
	})
	d.submit(jobID(1), "/batch/", jobBody(singleTasks(4, 8*time.Second)))
	d.awaitStarts(w, 4)
	if d.decider() != small {
		t.Fatal("the small host is not the decider")
	}
	large := add("large", 1)
	gangs := 0
	d.await("the handover", func() bool {
		// Gangs are submitted until the handover, one at a time, as the batch work
		// leaves no room for more.
		gangs++
		gang := step{shape: model.TaskProfile{Work: 100 * time.Millisecond, Gang: 4, CPU: 1000, Memory: 1000, Accelerators: 1}, count: 4}
		d.submit(jobID(100+gangs), "/urgent/", jobBody(gang))
		d.awaitState("/urgent/", jobID(100+gangs), "succeeded")
		return d.decider() == large
	})
	d.awaitState("/batch/", jobID(1), "succeeded")
	d.checkRuns(w)
	d.platform.Lock(func(*model.Cluster) {
		if loneMembers > 0 {
			t.Errorf("%d members timed out waiting for the rest of their gang", loneMembers)
		}
		for task, n := range w.started {
			if n > 1 && strings.HasPrefix(task, jobID(1)) {
				t.Errorf("%s was started %d times, want once", task, n)
			}
		}
	})
	// No host may take the pool back from the large one.
	time.Sleep(2 * handoverDelay)
	if d.decider() != large || small.hasLogged(`"epoch":3`) {
		t.Error("the pool was handed over again")
	}
}

// handoverDelay is how long a pool stays with its decider before it is handed over.
const handoverDelay = 3 * time.Second
