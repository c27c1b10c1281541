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
	b := d.platform.Store.Value("status", "", fmt.Sprint("wave/", n))
	if b == nil {
		return ""
	}
	var s struct{ State string }
	must(d.t, json.Unmarshal(b, &s))
	return s.State
}

// requestWave asks for the maintenance of all machines, and notes what orders do
// wrong: more machines down than the cap, two holders with one token, and
// machines taken from under long-running tasks.
func (d *deployment) requestWave(n int64, limit int, w *runMonitor, longRunningJob string, taskCount int) {
	v := model.Wave{N: n, Cap: limit}
	d.platform.Lock(func(c *model.Cluster) {
		for _, m := range c.Machines {
			v.Machines = append(v.Machines, m.ID)
		}
		c.Emptied = func(x *model.Worker) {
			for i := range taskCount {
				if x.AtWork(fmt.Sprintf("%s.0.0.%d", longRunningJob, i)) {
					w.violations = append(w.violations, fmt.Sprintf("the maintenance of %s ends long-running task %d", x.ID, i))
				}
			}
		}
	})
	d.platform.AskForWave(v, 20*time.Second)
}

// startedMaintenance counts the machines that have begun their maintenance of a wave.
func (d *deployment) startedMaintenance(n int64) int {
	count := 0
	d.platform.Lock(func(c *model.Cluster) {
		for _, m := range c.Machines {
			if c.Began(m.ID, n) {
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
	w := d.monitorRuns()
	longRunning := step{shape: model.Shape{Work: 50 * time.Millisecond, Lasts: time.Hour, CPU: 1000, Memory: 1000, Accelerators: 1}, count: 5, mayMiss: 1}
	d.submit(jobID(1), "/batch/", jobBody(longRunning))
	d.await("all long-running tasks", func() bool { return d.runningTasks(w, jobID(1)) == longRunning.count })
	checkpointed := singleTasks(6, 3*time.Second)
	checkpointed.shape.Checkpoint = true
	d.submit(jobID(2), "/batch/", jobBody(checkpointed))
	d.submit(jobID(3), "/batch/", jobBody(singleTasks(4, time.Second)))
	d.platform.Lock(func(*model.Cluster) {
		d.platform.CloudTrouble = plat.CloudTrouble{LoseOneIn: 2, LateBy: 2 * time.Second}
	})
	d.requestWave(7, 2, w, jobID(1), longRunning.count)
	d.await("the first maintenance", func() bool { return d.startedMaintenance(7) > 0 })
	killed := d.decider()
	killed.kill()
	d.await("another decider", func() bool { return d.decider() != killed })
	if s := d.waveState(7); s != "running" {
		t.Errorf("the wave is told to be %q", s)
	}
	d.await("more maintenance", func() bool { return d.startedMaintenance(7) > 2 })
	frozen := d.decider()
	frozen.signal(t, syscall.SIGSTOP)
	d.await("a third decider", func() bool { return d.decider() != frozen })
	for _, h := range d.hosts {
		h.endpoint.Set(plat.Trouble{LoseOneIn: 4})
	}
	frozen.signal(t, syscall.SIGCONT)
	d.await("the end of the wave", func() bool { return d.waveState(7) == "succeeded" })
	if n := d.startedMaintenance(7); n != 5 {
		t.Errorf("%d of 5 machines have had their maintenance", n)
	}
	d.awaitState("/batch/", jobID(2), "succeeded")
	d.awaitState("/batch/", jobID(3), "succeeded")
	d.await("all long-running tasks again", func() bool { return d.runningTasks(w, jobID(1)) == longRunning.count })
	d.checkRuns(w)
}

// TestMaintenanceWithoutService asks for a wave while the service of machines is
// away: tasks go on, and the wave is over once the service is back.
func TestMaintenanceWithoutService(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 3)
	w := d.monitorRuns()
	d.platform.Lock(func(*model.Cluster) {
		d.platform.CloudTrouble = plat.CloudTrouble{Status: http.StatusServiceUnavailable}
	})
	d.requestWave(3, 1, w, jobID(1), 0)
	d.await("the wave is known", func() bool { return d.waveState(3) == "running" })
	d.submit(jobID(1), "/urgent/", jobBody(singleTasks(6, 50*time.Millisecond)))
	d.awaitState("/urgent/", jobID(1), "succeeded")
	if n := d.startedMaintenance(3); n != 0 {
		t.Errorf("%d machines have had their maintenance", n)
	}
	d.platform.Lock(func(*model.Cluster) { d.platform.CloudTrouble = plat.CloudTrouble{} })
	d.await("the end of the wave", func() bool { return d.waveState(3) == "succeeded" })
	if n := d.startedMaintenance(3); n != 3 {
		t.Errorf("%d of 3 machines have had their maintenance", n)
	}
	d.checkRuns(w)
}
