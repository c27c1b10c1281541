package sched

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"citronbridge/event"
	"citronbridge/work"
)

var measure = flag.Bool("measure", false, "print how a decider's memory and processor time grow")

// TestSlopes prints how a decider's memory and processor time grow, for docs/CAPACITY.md:
// the measured points, the line through the first and the last, and how far the middle one
// is off that line.
func TestSlopes(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	pool := func(workers, jobs int) *bench {
		b := newBench(t, 0)
		for i := range workers {
			id := fmt.Sprintf("i-%010d", i)
			b.step(event.WorkerListed{Worker: event.Worker{ID: id, Address: "127.0.0.1:20000", StartedMS: 1, Rack: "r" + id[9:11], Labels: []string{"zone", "r" + id[9:11]}, Capacity: work.Amounts{MilliCPU: 16000, MemoryMiB: 64000, Accelerators: 4}}})
		}
		b.pass(time.Second)
		for i := range jobs {
			s := work.Step{Count: 2, Demand: work.Amounts{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 4}, Estimate: time.Hour}
			b.step(event.JobAdded{Job: &work.Job{ID: fmt.Sprintf("%016x", i), Queue: "batch", Spec: string(make([]byte, 200)), Steps: []work.Step{s}}, Record: &work.Record{State: work.Pending, Queue: "batch"}})
		}
		b.pass(2 * time.Second)
		return b
	}
	heap := func(workers, jobs int) float64 {
		var a, z runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&a)
		b := pool(workers, jobs)
		runtime.GC()
		runtime.ReadMemStats(&z)
		runtime.KeepAlive(b)
		return float64(z.HeapAlloc-a.HeapAlloc) / 1024
	}
	// flushTime returns the duration of one Flush of the pool, in milliseconds.
	flushTime := func(workers, jobs int, changed bool) float64 {
		b := pool(workers, jobs)
		const flushes = 50
		var d time.Duration
		for range flushes {
			b.now += 20 * time.Millisecond
			if changed {
				b.s.NeedsPlacement = true
			}
			began := time.Now()
			b.s.Flush(b.clock())
			d += time.Since(began)
		}
		return float64(d.Microseconds()) / 1000 / flushes
	}
	logSlope := func(name string, at [3]int, f func(int) float64) {
		var y [3]float64
		for i, n := range at {
			y[i] = f(n)
		}
		k := (y[2] - y[0]) / float64(at[2]-at[0])
		off := y[1] - y[0] - k*float64(at[1]-at[0])
		t.Logf("%s: %v %.3g, %.3g each, middle off by %.1f%%", name, at, y, k, 100*off/y[1])
	}
	logSlope("KiB of memory by waiting jobs of 2 tasks", [3]int{1000, 4000, 16000}, func(n int) float64 { return heap(0, n) })
	logSlope("KiB of memory by workers with runs", [3]int{300, 1000, 3700}, func(n int) float64 { return heap(n, n/2) })
	logSlope("ms a Flush without a change, by workers with runs", [3]int{300, 1000, 3700}, func(n int) float64 { return flushTime(n, n/2, false) })
	logSlope("ms a placement, by workers with runs, 100 jobs waiting", [3]int{300, 1000, 3700}, func(n int) float64 { return flushTime(n, n/2+100, true) })
	logSlope("ms a placement, by jobs waiting, 300 workers with runs", [3]int{100, 400, 1600}, func(n int) float64 { return flushTime(300, 150+n, true) })
	logSlope("bytes of a record, by tasks placed", [3]int{2, 64, 256}, func(n int) float64 {
		r := &work.Record{State: work.Running, Queue: "batch", Pool: "p"}
		for i := range n {
			r.SetPlaced(0, 0, i, fmt.Sprintf("i-%010d", i))
		}
		x, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return float64(len(x))
	})
}
