package itest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"citronbridge/httpc"
	"citronbridge/jobs"
	"citronbridge/rules"
	"citronbridge/target"
	"citronbridge/units"
	"citronbridge/wire"
)

// TestSlopes prints how the sizes of messages and stored data grow with the deployment,
// for docs/CAPACITY.md: the measured points, the slope of the line through the first
// and the last one, and how far the middle one deviates from this line.
func TestSlopes(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	printGrowth(t, "heartbeat bytes by hosts seen", []int{7, 23, 95}, func(n int) int {
		b := &wire.Heartbeat{Host: "kelani-12", DataCentre: "cmb-1", PeerAddress: "10.1.2.3:9080", HttpAddress: "10.1.2.3:8080", Revision: 14000, Holds: []*wire.CellClaim{{Cell: "cmb-1", Epoch: 930, Free: 100}}}
		for i := range n {
			b.Sees = append(b.Sees, fmt.Sprintf("kelani-%d", i))
		}
		return proto.Size(b)
	})
	printGrowth(t, "record row bytes by members", []int{1, 64, 256}, func(n int) int { return jsonSize(t, sampleRecord(n)) })
	printGrowth(t, "report bytes by changed tasks", []int{1, 16, 64}, func(n int) int { return jsonSize(t, sampleReport(n)) })
	printGrowth(t, "watch request and response bytes without a change, by 1", []int{1}, func(int) int {
		return jsonSize(t, target.WatchRequest{Epoch: 930, Since: 1 << 30, Wait: units.Duration(3 * time.Second), Lease: units.Duration(10 * time.Second)}) + jsonSize(t, sampleReport(0))
	})
	printGrowth(t, "manifest bytes by accounts", []int{4, 50, 210}, func(n int) int { return jsonSize(t, sampleManifest(n)) })
	printGrowth(t, "heap bytes by jobs of 2 members", []int{1000, 4000, 16000}, func(n int) int {
		var a, b runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&a)
		l := make([]jobs.Record, 0, n)
		for range n {
			var r jobs.Record
			raw, err := json.Marshal(sampleRecord(2))
			must(t, err)
			must(t, json.Unmarshal(raw, &r))
			l = append(l, r)
		}
		runtime.GC()
		runtime.ReadMemStats(&b)
		runtime.KeepAlive(l)
		return int(b.HeapAlloc - a.HeapAlloc)
	})
}

// printGrowth prints size at each of points, and with several values the slope.
func printGrowth(t *testing.T, name string, points []int, size func(int) int) {
	t.Helper()
	y := make([]int, len(points))
	for i, n := range points {
		y[i] = size(n)
	}
	last := len(points) - 1
	if last == 0 {
		fmt.Printf("%s: %v %v\n", name, points, y)
		return
	}
	k := float64(y[last]-y[0]) / float64(points[last]-points[0])
	deviation := float64(y[1]) - float64(y[0]) - k*float64(points[1]-points[0])
	fmt.Printf("%s: %v %v, slope %.1f, middle point deviates by %.1f%%\n", name, points, y, k, 100*deviation/float64(y[1]))
}

func jsonSize(t *testing.T, v any) int {
	b, err := json.Marshal(v)
	must(t, err)
	return len(b)
}

// sampleRecord returns the record of a finished job with values of realistic length.
func sampleRecord(members int) *jobs.Record {
	s := newSpec("story-2026-12-04-000017", time.Hour, gangOf(members, 8))
	s.Account = kelani
	r := &jobs.Record{Spec: *s, Digest: jobs.Checksum(nil), Cell: "cmb-1", State: jobs.Finished, Outcome: jobs.Done, Accepted: time.Now(), Started: time.Now(), Finished: time.Now(), Revision: 14000, Attempt: jobs.Attempt{Epoch: 930, Number: 12}}
	for i := range members {
		r.Targets = append(r.Targets, fmt.Sprintf("cmb-1-target-%d", i))
		r.Answer = append(r.Answer, jobs.Part{Member: i, Target: r.Targets[i], Length: 1 << 20, Checksum: r.Digest, Object: "output~kelani~story-2026-12-04-000017@930.12#" + fmt.Sprint(i)})
	}
	for _, w := range []string{"Accepted", "PlacedOnGuarantee", "Running", "Done"} {
		r.AddEvent(jobs.Event{Time: time.Now(), What: w, Host: "kelani-12", Epoch: 930, Revision: 14000})
	}
	return r
}

// sampleReport returns a target's report of changed tasks with values of realistic length.
func sampleReport(tasks int) target.Report {
	r := target.Report{Incarnation: "d4qk2j5r6s7t8u9v0w1x", Epoch: 930, Sequence: 1 << 30, Room: jobs.Room{Accelerators: 8, Processors: 64, Memory: 256 << 30, Slots: 8}}
	for i := range tasks {
		r.Tasks = append(r.Tasks, target.Task{ID: target.TaskID{Job: jobs.Key{Account: kelani, ID: "story-2026-12-04-000017"}, Attempt: jobs.Attempt{Epoch: 930, Number: 12}, Member: i},
			State: target.Active, Room: r.Room, Targets: []string{"cmb-1-target-1", "cmb-1-target-2"}, Started: true})
	}
	return r
}

// sampleManifest returns a revision with one guarantee for each of its accounts.
func sampleManifest(accounts int) *rules.Revision {
	m := manifest(nil, nil)
	m.Accounts = nil
	for i := range accounts {
		m.Accounts = append(m.Accounts, rules.Account{Name: fmt.Sprintf("team-%03d", i), TokenHash: jobs.Checksum([]byte{byte(i)}), Guarantees: []rules.Guarantee{newGuarantee("cmb-1", 4, 8)}})
	}
	return &rules.Revision{Number: 14000, Manifest: m, Proposal: "p"}
}

// TestIdleUsage prints the processor time, memory and table calls of a deployment without
// jobs, for several numbers of targets in its cell.
func TestIdleUsage(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	const interval = 15 * time.Second
	for _, n := range []int{6, 24, 72} {
		c := newCluster(t, layout{hosts: []string{"dc1", "dc1", "dc1"}, targetCentres: []string{"dc1"}, racksPerCentre: 1, targetsPerRack: n})
		c.propose(manifest(nil, nil))
		c.awaitDeciders()
		d := c.decider("dc1")
		cpu, memory := c.processUsage(d)
		before := c.tableCounts()
		time.Sleep(interval)
		cpuAfter, _ := c.processUsage(d)
		counts := c.tableCounts()
		other := c.hosts[0]
		if other == d {
			other = c.hosts[1]
		}
		otherCPU, _ := c.processUsage(other)
		fmt.Printf("%d targets: decider %.2f%% of a core, %.0f MB; reads %.1f/s, writes %.1f/s of 3 hosts; another host %.2f s of processor time since its start\n",
			n, 100*(cpuAfter-cpu)/interval.Seconds(), memory, float64(counts.Reads-before.Reads)/interval.Seconds(), float64(counts.Writes-before.Writes)/interval.Seconds(), otherCPU)
	}
}

// processUsage returns the processor time of a host since its start, in seconds, and its
// resident memory in MB of 2^20 bytes.
func (c *cluster) processUsage(h *hostProcess) (cpu, memory float64) {
	_, b, err := httpc.New("http://"+h.httpAddress()).DoRaw(c.t.Context(), http.MethodGet, "/metrics", nil)
	must(c.t, err)
	for line := range strings.Lines(string(b)) {
		fmt.Sscanf(line, "process_cpu_seconds_total %g", &cpu)
		fmt.Sscanf(line, "process_resident_memory_bytes %g", &memory)
	}
	return cpu, memory / (1 << 20)
}
