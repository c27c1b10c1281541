package native

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"citronbridge/fakes/model"
	"citronbridge/fakes/plat"
)

// evacuateTime is the platform's bound from the acknowledgement of a request to evacuate a data
// centre to the last start there.
const evacuateTime = 5 * time.Second

// evacuationMonitor records starts in data centres, and those that an evacuation forbids. The
// platform's lock guards it.
type evacuationMonitor struct {
	d *deployment
	// requestedAt is when the requests in force were acknowledged.
	requestedAt map[string]time.Time
	// starts counts the starts by data centre.
	starts     map[string]int
	violations []string
}

// monitorEvacuations records starts from now on, in addition to the monitor of runs.
func (d *deployment) monitorEvacuations() *evacuationMonitor {
	m := &evacuationMonitor{d: d, requestedAt: map[string]time.Time{}, starts: map[string]int{}}
	d.platform.Lock(func(c *model.Cluster) {
		previous := c.OnStart
		c.OnStart = func(x *model.Worker, p *model.ActiveRun) {
			previous(x, p)
			dataCentre := d.platform.DataCentreOf(x.ID)
			m.starts[dataCentre]++
			if at, ok := m.requestedAt[dataCentre]; ok && time.Since(at) > evacuateTime {
				m.violations = append(m.violations, fmt.Sprintf("%s starts on %s in %s %v after the request to evacuate that", p.Task, x.ID, dataCentre, time.Since(at)))
			}
		}
	})
	return m
}

// evacuate requests an evacuation, unless one is requested already.
func (m *evacuationMonitor) evacuate(dataCentre string) {
	m.d.platform.Evacuate(dataCentre)
	m.d.platform.Lock(func(*model.Cluster) {
		if m.requestedAt[dataCentre].IsZero() {
			m.requestedAt[dataCentre] = time.Now()
		}
	})
}

func (m *evacuationMonitor) withdraw(dataCentre string) {
	m.d.platform.Lock(func(*model.Cluster) { delete(m.requestedAt, dataCentre) })
	m.d.platform.WithdrawEvacuation(dataCentre)
}

// startsIn returns the number of starts in a data centre so far.
func (m *evacuationMonitor) startsIn(dataCentre string) (n int) {
	m.d.platform.Lock(func(*model.Cluster) { n = m.starts[dataCentre] })
	return n
}

// check fails the test on each start that came too late.
func (m *evacuationMonitor) check() {
	m.d.t.Helper()
	m.d.platform.Lock(func(*model.Cluster) {
		for _, s := range m.violations {
			m.d.t.Error(s)
		}
	})
}

// TestEvacuation evacuates one of two data centres while a long job runs in both, under faults
// of hosts and of the store. No task may start there once the bound has passed; the job goes on
// in the other one as long as a host may start tasks at all, and in both after the withdrawal.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		apart bool
		// before is done before the request, after once its effect was checked. Either may be nil.
		before, after func(d *deployment, h *hostProcess)
		// held says that no host may start tasks once the bound has passed.
		held bool
	}{
		{"request and withdrawal", false, nil, nil, false},
		{"decider killed", false, func(_ *deployment, h *hostProcess) { h.kill() }, nil, false},
		{"decider cut off from the store", true, func(_ *deployment, h *hostProcess) { h.endpoint.SetFaults(plat.StoreFaults{Unresponsive: true}) }, func(_ *deployment, h *hostProcess) { h.endpoint.SetFaults(plat.StoreFaults{}) }, false},
		{"slow store", false, setFaultsOfAll(plat.StoreFaults{Delay: 300 * time.Millisecond}), setFaultsOfAll(plat.StoreFaults{}), false},
		{"polls of the operator's requests hang", true, setFaultsOfAll(plat.StoreFaults{HungFeed: "op"}), setFaultsOfAll(plat.StoreFaults{}), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 2*time.Minute)
			d.isolated, d.evacuateMS = c.apart, evacuateTime.Milliseconds()
			for i := range 4 {
				d.platform.AssignDataCentre(fmt.Sprint("w", i), string("ab"[i/2]))
			}
			d.launch(3, 4)
			w := d.monitorRuns()
			m := d.monitorEvacuations()
			const tasks = 500
			d.submit(jobID(1), "/batch/", jobBody(singleTasks(tasks, 300*time.Millisecond)))
			d.await("starts in both data centres", func() bool { return m.startsIn("a") > 4 && m.startsIn("b") > 4 })
			decider := d.decider()
			if c.before != nil {
				c.before(d, decider)
			}
			m.evacuate("a")
			time.Sleep(evacuateTime)
			before := m.startsIn("b")
			time.Sleep(evacuateTime / 2)
			if n := m.startsIn("b") - before; (n == 0) != c.held {
				t.Errorf("%d starts in the other data centre after the bound, held back: %v", n, c.held)
			}
			if c.before == nil {
				d.checkEvacuationSeen(decider)
			}
			if c.after != nil {
				c.after(d, decider)
			}
			m.withdraw("a")
			inA := m.startsIn("a")
			d.await("starts in the data centre after the withdrawal", func() bool { return m.startsIn("a") > inA+4 })
			d.awaitState("/batch/", jobID(1), "succeeded")
			m.check()
			if n := d.checkRuns(w); n != tasks {
				t.Errorf("%d tasks are done, want %d", n, tasks)
			}
		})
	}
}

// setFaultsOfAll returns a function that sets the faults of all hosts' endpoints of the store.
func setFaultsOfAll(f plat.StoreFaults) func(*deployment, *hostProcess) {
	return func(d *deployment, _ *hostProcess) {
		for _, h := range d.hosts {
			h.endpoint.SetFaults(f)
		}
	}
}

// checkEvacuationSeen checks what the operator sees of an evacuation on the decider's host.
func (d *deployment) checkEvacuationSeen(h *hostProcess) {
	d.t.Helper()
	if !strings.Contains(h.metrics(d.t), "citronbridge_evacuated_data_centres 1\n") {
		d.t.Error("the metrics don't show the evacuation")
	}
	b, err := os.ReadFile(h.settingsFile + ".log")
	must(d.t, err)
	for _, text := range []string{"evacuation of a data centre requested by the operator", "evacuation of data centre a is in effect in this pool"} {
		if n := strings.Count(string(b), text); n != 1 {
			d.t.Errorf("%d lines %q, want one", n, text)
		}
	}
}
