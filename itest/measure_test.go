package itest

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citronbridge/client"
	"citronbridge/config"
	"citronbridge/entry"
	"citronbridge/fakes"
	"citronbridge/httpc"
	"citronbridge/jobs"
	"citronbridge/rules"
	"citronbridge/state"
	"citronbridge/units"
)

var (
	measure  = flag.Bool("measure", false, "run the measurements and print their results")
	duration = flag.Duration("duration", 15*time.Second, "how long each load mix sends requests")
	mixes    = flag.String("mixes", "", "names of the load mixes to run; all if empty")
)

// loadMix describes a load: the ordinary one and what deviates from it.
type loadMix struct {
	name string
	// flood is the kind of an additional load at 10 times the ordinary rate, or "" for
	// none.
	flood string
	// greedy lets one caller send 50 times the rate of each other caller.
	greedy bool
	// burst is the number of members of the gangs that are sent in a burst every 3 s, or
	// 0 for no bursts.
	burst int
	// wrongRunTimes makes declared run times wrong by a factor of up to 10 in both
	// directions.
	wrongRunTimes bool
	// brokenTargets lets a tenth of the targets fail every task.
	brokenTargets bool
	// cancels cancels a third of the ordinary requests. The cancellations of each second
	// are sent together.
	cancels bool
	// guaranteeClaims lets an account claim its whole guarantee every 5 s, while another
	// account floods the system.
	guaranteeClaims bool
}

var allMixes = []loadMix{
	{name: "ordinary"}, {name: "flood of routine", flood: "routine"}, {name: "flood of urgent", flood: "urgent"},
	{name: "one caller 50 times", greedy: true}, {name: "burst of small", burst: 1}, {name: "burst of large", burst: 8},
	{name: "declared times wrong", wrongRunTimes: true}, {name: "broken targets", brokenTargets: true}, {name: "waves of cancellations", cancels: true},
	{name: "guarantees called", flood: "routine", guaranteeClaims: true},
}

// fifoPolicy is the baseline: jobs in the order of arrival, each on the first target that
// fits, without any other rule.
var fifoPolicy = state.Policy{FirstFit: true, Arrival: true, NoReclaim: true, NoBackfill: true, NoReservation: true, NoFloors: true}

// arrival is one request of a schedule. at is its intended time after the start.
type arrival struct {
	at      time.Duration
	account string
	spec    *jobs.Spec
	runTime time.Duration
	cancel  bool
	// flood marks a request that the mix sends in addition to the ordinary load.
	flood bool
}

// schedule draws the arrivals of a mix over span. The same r yields the same arrivals, so
// that all policies are compared on equal load.
func (m *loadMix) schedule(r *rand.Rand, span time.Duration) []arrival {
	var l []arrival
	addPoisson := func(perSecond float64, flood bool, draw func(i int) arrival) {
		at := 0.0
		for i := 0; ; i++ {
			at += r.ExpFloat64() / perSecond
			if at > span.Seconds() {
				return
			}
			a := draw(i)
			a.at, a.flood = time.Duration(at*float64(time.Second)), flood
			l = append(l, a)
		}
	}
	n := 0
	ordinary := func(int) arrival {
		n++
		return m.drawOrdinary(r, n)
	}
	addPoisson(ordinaryRate, false, ordinary)
	if m.flood != "" {
		addPoisson(10*ordinaryRate, true, func(i int) arrival {
			a := m.drawJob(r, fmt.Sprintf("flood%d", i), m.flood, 1, 1)
			a.account = "four"
			return a
		})
	}
	if m.greedy {
		addPoisson(50*ordinaryRate/callers, true, func(i int) arrival {
			a := m.drawJob(r, fmt.Sprintf("greedy%d", i), "routine", 1, 2)
			a.account, a.spec.Caller = "three", "greedy"
			return a
		})
	}
	if m.burst > 0 {
		for at := 2 * time.Second; at < span; at += 3 * time.Second {
			for i := range 64 / m.burst {
				a := m.drawJob(r, fmt.Sprintf("burst%d-%d", at/time.Second, i), "routine", m.burst, 4)
				a.account, a.at, a.flood = "two", at, true
				l = append(l, a)
			}
		}
	}
	if m.guaranteeClaims {
		for at := 4 * time.Second; at < span; at += 5 * time.Second {
			a := m.drawJob(r, fmt.Sprintf("claim%d", at/time.Second), "urgent", 4, 8)
			a.account, a.at = "one", at
			l = append(l, a)
		}
	}
	return l
}

const (
	// ordinaryRate is the rate, in requests per second, that keeps about two thirds of
	// the accelerators busy.
	ordinaryRate = 22
	// callers is the number of callers that send the ordinary load.
	callers = 12
)

// drawOrdinary draws request number n of the ordinary load.
func (m *loadMix) drawOrdinary(r *rand.Rand, n int) arrival {
	members := []int{1, 1, 1, 1, 1, 1, 2, 2, 4, 8}[r.IntN(10)]
	a := m.drawJob(r, fmt.Sprintf("j%d", n), []string{"urgent", "routine", "routine"}[r.IntN(3)], members, []int{1, 2, 4, 8}[r.IntN(4)])
	a.account = chaosAccounts[r.IntN(4)]
	a.spec.Caller = fmt.Sprintf("c%d", r.IntN(callers/4))
	if m.cancels {
		a.cancel = r.IntN(3) == 0
	}
	return a
}

// drawJob draws a request of the given kind and size with a run time from 0.3 to 2.1 s.
func (m *loadMix) drawJob(r *rand.Rand, id, kind string, members, accelerators int) arrival {
	run := time.Duration(300+r.IntN(1800)) * time.Millisecond
	s := newSpec(id, run, gangOf(members, accelerators))
	s.Kind = kind
	s.Checkpoints = r.IntN(2) == 0
	s.Retries = 3
	declared := run.Seconds()
	if m.wrongRunTimes {
		declared *= math.Pow(10, 2*r.Float64()-1)
	}
	s.RunTime = units.Duration(declared * float64(time.Second))
	if s.Checkpoints {
		s.Arguments = append(s.Arguments, "Resume")
	}
	return arrival{spec: s, runTime: run}
}

// result holds the figures of one run of a mix. Waits and completions are in milliseconds.
// Slowdowns are completion times in percent of the run time; floodSlowdown is that of the
// additional load. ordinaryDone counts the ordinary jobs that were done while requests
// were sent. unusableFree is what sampleUnusableFree returns.
type result struct {
	sent, accepted, refused, failed int
	outcomes                        map[jobs.Outcome]int
	urgentWait, claimWait           *hdrhistogram.Histogram
	completion                      map[string]*hdrhistogram.Histogram
	ordinarySlowdown, floodSlowdown *hdrhistogram.Histogram
	ordinaryDone                    int
	unusableFree                    float64
	writesPerJob                    float64
	maxCPUPercent, maxMemoryMB      float64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Milliseconds(), 3)
}

// TestMeasure runs every mix with the full policy and with the baseline, kills a decider
// in the middle of each run, and prints a table of the results.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	fmt.Printf("seed %d, %s of arrivals per mix, 8 hosts, 48 targets with 8 accelerators each, a decider killed in the middle\n", *seed, *duration)
	fmt.Println("| mix | policy | sent | refused | failed calls | done | urgent start p50/p99 ms | completion urgent p95 ms | completion routine p95 ms | ordinary jobs done in time | slowdown p95 ordinary/additional | guarantee start p99 ms | unusable share of free | table writes per job | max host cpu % | max host memory MB |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, m := range allMixes {
		if *mixes != "" && !strings.Contains(*mixes, m.name) {
			continue
		}
		for _, p := range []struct {
			name   string
			policy state.Policy
		}{{"whole", state.Policy{}}, {"FIFO first-fit", fifoPolicy}} {
			t.Run(m.name+"/"+p.name, func(t *testing.T) {
				r := m.run(t, p.policy)
				fmt.Println(r.row(m.name, p.name))
			})
		}
	}
}

// row formats the result as a line of the table that TestMeasure prints.
func (r *result) row(mix, policy string) string {
	p := func(h *hdrhistogram.Histogram, q float64) int64 { return h.ValueAtQuantile(q) }
	slowdownRatio := "-"
	if r.floodSlowdown.TotalCount() > 0 {
		slowdownRatio = fmt.Sprintf("%.2f", float64(p(r.ordinarySlowdown, 95))/float64(p(r.floodSlowdown, 95)))
	}
	return fmt.Sprintf("| %s | %s | %d | %d | %d | %d | %d/%d | %d | %d | %d | %s | %d (n=%d) | %.2f | %.2f | %.1f | %.0f |",
		mix, policy, r.sent, r.refused, r.failed, r.outcomes[jobs.Done], p(r.urgentWait, 50), p(r.urgentWait, 99),
		p(r.completion["urgent"], 95), p(r.completion["routine"], 95), r.ordinaryDone, slowdownRatio, p(r.claimWait, 99), r.claimWait.TotalCount(), r.unusableFree, r.writesPerJob, r.maxCPUPercent, r.maxMemoryMB)
}

// run sends the requests of a mix to a new deployment with policy p and measures them.
func (m *loadMix) run(t *testing.T, p state.Policy) *result {
	centres := []string{"dc1", "dc2", "dc3", "dc4"}
	var hosts []string
	for i := range 8 {
		hosts = append(hosts, centres[i%4])
	}
	c := newCluster(t, layout{hosts: hosts, targetCentres: centres, racksPerCentre: 2, targetsPerRack: 6, delayLinks: true, settings: func(s *config.Settings) { s.Policy = p }})
	manifest := chaosManifest()
	for i := range manifest.Accounts {
		manifest.Accounts[i].Limits = rules.Limits{RequestsPerSecond: 100, Burst: 100, CallerRequestsPerSecond: 60, CallerBurst: 60, OpenJobs: 400}
	}
	c.propose(manifest)
	c.awaitDeciders()
	if m.brokenTargets {
		for i, w := range c.targets {
			if i%10 == 0 {
				w.setFaults(t, fakes.TargetFaults{FailAll: true})
			}
		}
	}
	arrivals := m.schedule(rand.New(rand.NewPCG(*seed, 9)), *duration)
	r := &result{outcomes: map[jobs.Outcome]int{}, urgentWait: newHistogram(), claimWait: newHistogram(), ordinarySlowdown: newHistogram(), floodSlowdown: newHistogram(),
		completion: map[string]*hdrhistogram.Histogram{"urgent": newHistogram(), "routine": newHistogram()}}
	writes := c.tableCounts().Writes
	began := time.Now()
	stop := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Add(1)
	go func() { defer sampler.Done(); r.unusableFree = c.sampleUnusableFree(stop) }()
	time.AfterFunc(*duration/2, func() { c.decider("dc1").kill() })
	accepted := c.send(arrivals, began, r)
	close(stop)
	sampler.Wait()
	c.collectOutcomes(arrivals, accepted, began, r)
	r.writesPerJob = float64(c.tableCounts().Writes-writes) / float64(max(r.accepted, 1))
	c.recordUsage(began, r)
	return r
}

// tableCounts returns how many calls the table service has served.
func (c *cluster) tableCounts() fakes.TableCounts {
	var v fakes.TableCounts
	must(c.t, httpc.New("http://"+c.tableAddress).Do(context.Background(), http.MethodGet, "/counts", nil, &v))
	return v
}

// send sends each request at its intended time, without waiting for earlier ones, and
// returns which of them were accepted.
func (c *cluster) send(l []arrival, began time.Time, r *result) []bool {
	clients := map[string]*client.Client{}
	for _, a := range chaosAccounts {
		clients[a] = c.client(a + "-token")
	}
	accepted := make([]bool, len(l))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range l {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := &l[i]
			time.Sleep(time.Until(began.Add(a.at)))
			hosts := append(append([]*hostProcess(nil), c.hosts[i%8:]...), c.hosts[:i%8]...)
			k := c.client(a.account+"-token", hosts...)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := k.Submit(ctx, a.spec)
			p := client.ProblemOf(err)
			mu.Lock()
			r.sent++
			switch {
			case err == nil:
				accepted[i] = true
				r.accepted++
			case p != nil && (p.Status == http.StatusTooManyRequests || p.Status == http.StatusUnprocessableEntity):
				r.refused++
			default:
				r.failed++
			}
			mu.Unlock()
			if a.cancel && err == nil {
				// All cancellations of a second are sent together at its end.
				time.Sleep(time.Until(began.Add(a.at.Truncate(time.Second) + time.Second)))
				k.Cancel(ctx, a.spec.ID)
			}
		}()
	}
	wg.Wait()
	return accepted
}

// collectOutcomes waits until all jobs have ended and records their times, measured from
// the intended arrival, so that a delay in sending counts as well.
func (c *cluster) collectOutcomes(l []arrival, accepted []bool, began time.Time, r *result) {
	status := map[jobs.Key]entry.Status{}
	defer func() {
		for k, s := range status {
			if c.t.Failed() && s.State != jobs.Finished {
				x, err := c.client(k.Account+"-token", c.readyHosts()...).Explain(context.Background(), k.ID)
				c.t.Logf("%s: %+v %v", k, x, err)
			}
		}
	}()
	eventually(c.t, "all jobs have ended", func() bool {
		openJobs := 0
		for _, a := range chaosAccounts {
			k := c.client(a+"-token", c.readyHosts()...)
			for after := ""; ; {
				p, err := k.List(context.Background(), after, 1000)
				if err != nil {
					return false
				}
				for _, s := range p.Jobs {
					status[jobs.Key{Account: a, ID: s.ID}] = s
					if s.State != jobs.Finished {
						openJobs++
					}
				}
				if after = p.After; after == "" {
					break
				}
			}
		}
		time.Sleep(300 * time.Millisecond)
		return openJobs == 0
	})
	for i, a := range l {
		s := status[jobs.Key{Account: a.account, ID: a.spec.ID}]
		if !accepted[i] {
			continue
		}
		r.outcomes[s.Outcome]++
		if s.Outcome != jobs.Done {
			continue
		}
		intended := began.Add(a.at)
		wait, completion := s.Started.Sub(intended), s.Finished.Sub(intended)
		slowdownPercent := int64(100 * completion.Seconds() / a.runTime.Seconds())
		if !a.flood {
			r.completion[a.spec.Kind].RecordValue(completion.Milliseconds())
			r.ordinarySlowdown.RecordValue(slowdownPercent)
			if s.Finished.Before(began.Add(*duration)) {
				r.ordinaryDone++
			}
		} else {
			r.floodSlowdown.RecordValue(slowdownPercent)
		}
		if a.spec.Kind == "urgent" && !a.flood {
			r.urgentWait.RecordValue(max(wait.Milliseconds(), 1))
		}
		if strings.HasPrefix(a.spec.ID, "claim") {
			r.claimWait.RecordValue(max(wait.Milliseconds(), 1))
		}
	}
}

// sampleUnusableFree samples the targets until stop is closed and returns the mean share
// of free accelerators that are unusable for the largest guaranteed shape, which
// needs 4 free targets in one rack.
func (c *cluster) sampleUnusableFree(stop chan struct{}) float64 {
	sum, n := 0.0, 0
	for {
		select {
		case <-stop:
			return sum / float64(max(n, 1))
		case <-time.After(250 * time.Millisecond):
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		l, err := c.client(operatorToken).Targets(ctx)
		cancel()
		if err != nil {
			continue
		}
		free, wholeTargets := 0, map[string]int{}
		for _, v := range l {
			free += v.Free.Accelerators
			if v.Free.Accelerators == 8 {
				wholeTargets[v.Rack]++
			}
		}
		usable := 0
		for _, w := range wholeTargets {
			usable += w / 4 * 32
		}
		if free > 0 {
			sum += 1 - float64(min(usable, free))/float64(free)
			n++
		}
	}
}

// recordUsage records the highest processor usage and the highest memory usage among the
// hosts that are ready.
func (c *cluster) recordUsage(began time.Time, r *result) {
	for _, h := range c.readyHosts() {
		cpu, memory := c.processUsage(h)
		r.maxCPUPercent = max(r.maxCPUPercent, 100*cpu/time.Since(began).Seconds())
		r.maxMemoryMB = max(r.maxMemoryMB, memory)
	}
}
