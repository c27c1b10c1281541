package native

import (
	"strings"
	"testing"
	"time"

	"citronbridge/fakes/model"
)

// TestHandOver starts a host that can carry the pool beside one that decides and
// can't: it takes the pool over, in the middle of work, and nothing of that is lost,
// run twice or run in part.
func TestHandOver(t *testing.T) {
	t.Parallel()
	d := deploy(t, 0, 4)
	add := func(name string, cores float64) *hostProcess {
		d.addHost(name)
		h := d.hosts[len(d.hosts)-1]
		h.cores = cores
		d.write(h, 5000)
		d.start(h)
		d.awaitReady(h)
		return h
	}
	small := add("small", 0.2)
	w := d.watch()
	alone := 0
	d.p.Lock(func(c *model.Cluster) {
		stopped := c.OnEnd
		c.OnEnd = func(x *model.Worker, e model.End) {
			stopped(x, e)
			if e.How == "alone" {
				alone++
			}
		}
	})
	d.submit(id(1), "/batch/", job(tasks(4, 8*time.Second)))
	d.awaitStarts(w, 4)
	if d.decider() != small {
		t.Fatal("the small host doesn't decide")
	}
	large := add("large", 1)
	gangs := 0
	d.await("the handover", func() bool {
		// Gangs are started all the while, one after the other, as there is room
		// for no more beside the batch work.
		gangs++
		gang := step{shape: model.TaskProfile{Work: 100 * time.Millisecond, Gang: 4, CPU: 1000, Memory: 1000, Accelerators: 1}, count: 4}
		d.submit(id(100+gangs), "/urgent/", job(gang))
		d.awaitState("/urgent/", id(100+gangs), "succeeded")
		return d.decider() == large
	})
	d.awaitState("/batch/", id(1), "succeeded")
	d.check(w)
	d.p.Lock(func(*model.Cluster) {
		if alone > 0 {
			t.Errorf("%d members waited for a gang that never was whole", alone)
		}
		for task, n := range w.started {
			if n > 1 && strings.HasPrefix(task, id(1)) {
				t.Errorf("%s was started %d times", task, n)
			}
		}
	})
	// Nobody takes it back.
	time.Sleep(2 * handover)
	if d.decider() != large || small.logged(`"epoch":3`) {
		t.Error("the pool changed hands again")
	}
}

// handover is how long the pool stays where it is before it is handed over.
const handover = 3 * time.Second
