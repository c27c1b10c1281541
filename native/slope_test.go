package native

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

var measure = flag.Bool("measure", false, "print the resource use of hosts by jobs, hosts, workers and changes of the configuration")

// resourceUse is what a host has used since its start.
type resourceUse struct {
	// cpu is in seconds; memory is the current resident size in MiB.
	cpu, memory float64
	// store counts calls of the store except feeds, feeds counts the feeds, and orders
	// counts calls of workers.
	store, feeds, orders float64
}

func (h *hostProcess) resourceUse(t testing.TB) resourceUse {
	var s resourceUse
	for line := range strings.Lines(h.metrics(t)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		if i := strings.LastIndex(line, "} "); i > 0 {
			name, value = line[:i+1], strings.TrimSpace(line[i+2:])
		}
		var v float64
		if _, err := fmt.Sscan(value, &v); err != nil {
			continue
		}
		switch {
		case name == "process_cpu_seconds_total":
			s.cpu = v
		case name == "process_resident_memory_bytes":
			s.memory = v / (1 << 20)
		case strings.HasPrefix(name, "citronbridge_store_calls_total{") && strings.Contains(name, `call="feed `):
			s.feeds += v
		case strings.HasPrefix(name, "citronbridge_store_calls_total{"):
			s.store += v
		case strings.HasPrefix(name, "citronbridge_worker_orders_total{"):
			s.orders += v
		}
	}
	return s
}

func (s resourceUse) minus(o resourceUse) resourceUse {
	return resourceUse{s.cpu - o.cpu, s.memory, s.store - o.store, s.feeds - o.feeds, s.orders - o.orders}
}

// useByRole returns the resource use of the decider, and the average of the other hosts.
func (d *deployment) useByRole(t testing.TB, decider *hostProcess) (deciderUse, otherUse resourceUse) {
	for _, h := range d.hosts {
		if h == decider {
			deciderUse = h.resourceUse(t)
			continue
		}
		s, n := h.resourceUse(t), float64(len(d.hosts)-1)
		otherUse.cpu += s.cpu / n
		otherUse.memory += s.memory / n
		otherUse.store += s.store / n
		otherUse.feeds += s.feeds / n
		otherUse.orders += s.orders / n
	}
	return deciderUse, otherUse
}

// measureDuring logs the resource use of the decider, and the average of the other hosts,
// while f runs. The pool must keep its decider meanwhile.
func (d *deployment) measureDuring(t *testing.T, label string, f func()) {
	decider := d.decider()
	deciderBefore, otherBefore := d.useByRole(t, decider)
	start := time.Now()
	f()
	took := time.Since(start).Seconds()
	if decider != d.decider() {
		t.Fatalf("%s: the decider changed during the measurement", label)
	}
	l, r := d.useByRole(t, decider)
	l, r = l.minus(deciderBefore), r.minus(otherBefore)
	for _, x := range []struct {
		role string
		s    resourceUse
	}{{"decider", l}, {"average other host", r}} {
		t.Logf("%s, %s, %.1f s: %.3f s of processor, %.1f MiB resident, %.0f store calls, %.0f feeds, %.0f calls of workers", label, x.role, took, x.s.cpu, x.s.memory, x.s.store, x.s.feeds, x.s.orders)
	}
}

// TestSlopes logs how the resource use of hosts grows with jobs, workers, hosts and
// changes of the configuration, for docs/CAPACITY.md.
func TestSlopes(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	const span = 15 * time.Second
	for _, x := range []struct{ hosts, workers int }{{3, 24}, {6, 24}, {12, 24}, {3, 6}, {3, 96}} {
		t.Run(fmt.Sprintf("%d hosts, %d workers", x.hosts, x.workers), func(t *testing.T) {
			d := deploy(t, x.hosts, x.workers)
			time.Sleep(3 * time.Second)
			d.measureDuring(t, "idle", func() { time.Sleep(span) })
			if x.hosts != 3 {
				return
			}
			d.submit(jobID(1), "/batch/", jobBody(singleTasks(2*x.workers, time.Hour)))
			time.Sleep(3 * time.Second)
			d.measureDuring(t, fmt.Sprintf("%d running tasks", 2*x.workers), func() { time.Sleep(span) })
		})
	}
	t.Run("jobs", func(t *testing.T) {
		d := deploy(t, 3, 24)
		nextJob := 1000
		for _, n := range []int{100, 400, 1600} {
			d.measureDuring(t, fmt.Sprintf("%d jobs of 2 tasks", n), func() {
				first := nextJob
				for ; nextJob < first+n; nextJob++ {
					d.submit(jobID(nextJob), "/batch/", jobBody(singleTasks(2, 10*time.Millisecond)))
				}
				for i := first; i < nextJob; i++ {
					d.awaitState("/batch/", jobID(i), "succeeded")
				}
			})
		}
	})
	for _, accounts := range []int{10, 50, 210} {
		t.Run(fmt.Sprintf("configurations of %d accounts", accounts), func(t *testing.T) {
			d := deploy(t, 3, 6)
			var l []map[string]any
			for i := range accounts {
				l = append(l, map[string]any{"name": fmt.Sprintf("team-%03d", i), "api-keys": []string{fmt.Sprintf("key-%03d", i)}, "guaranteed": map[string]int{"gpu": 4}})
			}
			const changes = 200
			d.measureDuring(t, fmt.Sprintf("%d changes", changes), func() {
				for i := range changes {
					l[i%accounts]["api-keys"] = []string{fmt.Sprintf("key-%03d-%d", i%accounts, i)}
					d.configure(l...)
					time.Sleep(50 * time.Millisecond)
				}
				for _, h := range d.hosts {
					d.await("the host applies the last configuration", func() bool {
						return strings.Contains(h.metrics(t), fmt.Sprintf("citronbridge_configuration_version %d\n", d.configVersion))
					})
				}
			})
		})
	}
}
