package native

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"citronbridge/fakes/model"
	"citronbridge/fakes/plat"
)

// waveState returns what the operator is told of a wave, "" before that.
func (d *deployment) waveState(n int64) string {
	b := d.p.Store.Value("status", "", fmt.Sprint("wave/", n))
	if b == nil {
		return ""
	}
	var s struct{ State string }
	must(d.t, json.Unmarshal(b, &s))
	return s.State
}

// askForWave asks for the maintenance of all machines, and notes what orders do
// wrong: more machines down than the cap, two holders with one token, and
// machines taken from under long-running tasks.
func (d *deployment) askForWave(n int64, limit int, w *watch, lasting string, count int) {
	v := model.Wave{N: n, Cap: limit}
	d.p.Lock(func(c *model.Cluster) {
		for _, m := range c.Machines {
			v.Machines = append(v.Machines, m.ID)
		}
		c.OnMaintenance = func(x *model.Worker) {
			for i := range count {
				if x.Serving(fmt.Sprintf("%s.0.0.%d", lasting, i)) {
					w.wrong = append(w.wrong, fmt.Sprintf("the maintenance of %s ends long-running task %d", x.ID, i))
				}
			}
		}
	})
	d.p.RequestWave(v, 20*time.Second)
}

// began counts the machines that have begun their maintenance of a wave.
func (d *deployment) began(n int64) int {
	count := 0
	d.p.Lock(func(c *model.Cluster) {
		for _, m := range c.Machines {
			if c.MaintenanceBegun(m.ID, n) {
				count++
			}
		}
	})
	return count
}

// TestMaintenance takes five machines through a wave of maintenance, two at a time, while
// tasks last there: with the service of machines losing answers and carrying
// orders out late, with a decider that is killed and one that is frozen, and
// with the store losing answers. Each machine has its maintenance, no long-running task
// is ended by it, and the others run to their ends.
func TestMaintenance(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 5)
	w := d.watch()
	lasting := step{shape: model.TaskProfile{Work: 50 * time.Millisecond, Lasts: time.Hour, CPU: 1000, Memory: 1000, Accelerators: 1}, count: 5, mayMiss: 1}
	d.submit(id(1), "/batch/", job(lasting))
	d.await("all long-running tasks", func() bool { return d.serving(w, id(1)) == lasting.count })
	saving := tasks(6, 3*time.Second)
	saving.shape.Checkpoint = true
	d.submit(id(2), "/batch/", job(saving))
	d.submit(id(3), "/batch/", job(tasks(4, time.Second)))
	d.p.Lock(func(*model.Cluster) { d.p.CloudFaults = plat.CloudFaults{LoseOneIn: 2, LateBy: 2 * time.Second} })
	d.askForWave(7, 2, w, id(1), lasting.count)
	d.await("the first maintenance", func() bool { return d.began(7) > 0 })
	killed := d.decider()
	killed.kill()
	d.await("another decider", func() bool { return d.decider() != killed })
	if s := d.waveState(7); s != "running" {
		t.Errorf("the wave is told to be %q", s)
	}
	d.await("more maintenance", func() bool { return d.began(7) > 2 })
	frozen := d.decider()
	frozen.signal(t, syscall.SIGSTOP)
	d.await("a third decider", func() bool { return d.decider() != frozen })
	for _, h := range d.hosts {
		h.door.SetFaults(plat.StoreFaults{LoseOneIn: 4})
	}
	frozen.signal(t, syscall.SIGCONT)
	d.await("the end of the wave", func() bool { return d.waveState(7) == "succeeded" })
	if n := d.began(7); n != 5 {
		t.Errorf("%d of 5 machines have had their maintenance", n)
	}
	d.awaitState("/batch/", id(2), "succeeded")
	d.awaitState("/batch/", id(3), "succeeded")
	d.await("all long-running tasks again", func() bool { return d.serving(w, id(1)) == lasting.count })
	d.check(w)
}

// TestMaintenanceWithoutService asks for a wave while the service of machines is
// away: tasks go on, and the wave is over once the service is back.
func TestMaintenanceWithoutService(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 3)
	w := d.watch()
	d.p.Lock(func(*model.Cluster) { d.p.CloudFaults = plat.CloudFaults{Status: http.StatusServiceUnavailable} })
	d.askForWave(3, 1, w, id(1), 0)
	d.await("the wave is known", func() bool { return d.waveState(3) == "running" })
	d.submit(id(1), "/urgent/", job(tasks(6, 50*time.Millisecond)))
	d.awaitState("/urgent/", id(1), "succeeded")
	if n := d.began(3); n != 0 {
		t.Errorf("%d machines have had their maintenance", n)
	}
	d.p.Lock(func(*model.Cluster) { d.p.CloudFaults = plat.CloudFaults{} })
	d.await("the end of the wave", func() bool { return d.waveState(3) == "succeeded" })
	if n := d.began(3); n != 3 {
		t.Errorf("%d of 3 machines have had their maintenance", n)
	}
	d.check(w)
}
