package native

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"slices"
	"testing"
	"time"

	"citronbridge/fakes/model"
)

var (
	handoverSeed  = flag.Uint64("handover-seed", 1, "first seed of the soak of handovers")
	handoverSeeds = flag.Int("handover-seeds", 2, "how many seeds the soak of handovers runs")
	handoverHosts = flag.Int("handover-hosts", 5, "how many hosts the soak of handovers runs")
	handoverBusy  = flag.Int("handover-busy", 2, "how many busy processes run beside every second seed of the soak of handovers")
)

// Kinds of faults that only the soak of handovers has, beside faultKinds.
const (
	faultStopFrozen           = "host is stopped as planned while it is paused, and restarted"
	faultStopAndKill          = "host is stopped as planned, killed meanwhile and restarted"
	faultSettingsSeries       = "settings of host change in series"
	faultConfigurationsSeries = "configuration changes in series"
)

// handoverKinds are the kinds of faults in the soak of handovers.
var handoverKinds = []string{
	faultKill, faultPlannedStop, faultPause, faultStopFrozen, faultStopAndKill, faultChangeSettings, faultSettingsSeries, faultChangeConfiguration, faultConfigurationsSeries,
}

// Numbers, window and distance of the rounds of faults in the soak of handovers. The calm
// between two rounds is long enough for a job to starve.
const (
	handoverRounds      = 2
	handoverRoundFaults = 6
	handoverRoundWindow = 3 * time.Second
	handoverRoundEvery  = handoverRoundWindow + longestSoakFault + calmTime + 2*maxStarvation
	handoverFirstRound  = 2 * time.Second
	// soakSeries is how many changes a series has.
	soakSeries = 5
	// seriesPause is the time between two changes of a series.
	seriesPause = 50 * time.Millisecond
)

// handoverShares are the shares of the processor with which hosts restart. A host with less
// than a pool needs hands it over.
var handoverShares = []float64{0.2, 0.5, 1}

// handoverWorkers are numbers of workers that the jobs of a seed keep full, half full, or
// mostly free.
var handoverWorkers = []int{7, 12, 24}

// planHandovers returns the faults of a seed in the order of their starts: rounds of
// overlapping faults of processes, half of them of the decider, with calm between them.
func planHandovers(seed uint64, hosts int) []fault {
	r := rand.New(rand.NewPCG(seed, 12))
	var l []fault
	for n := range handoverRounds {
		for range handoverRoundFaults + hosts/4 {
			l = append(l, fault{
				start:    handoverFirstRound + time.Duration(n)*handoverRoundEvery + time.Duration(r.Int64N(int64(handoverRoundWindow))),
				duration: shortestSoakFault + time.Duration(r.Int64N(int64(longestSoakFault-shortestSoakFault))),
				kind:     handoverKinds[r.IntN(len(handoverKinds))],
				host:     max(r.IntN(2*hosts)-hosts, deciderHost),
				share:    handoverShares[r.IntN(len(handoverShares))],
			})
		}
	}
	slices.SortFunc(l, func(a, b fault) int { return int(min(max(a.start-b.start, -1), 1)) })
	return l
}

// handoverJob returns the body of a random job: up to three steps with preferred racks,
// gangs within a rack, limits per worker, runs that fail and estimates far off.
func handoverJob(r *rand.Rand) string {
	oneIn := func(n int) bool { return r.IntN(n) == 0 }
	var l []step
	for i := range 1 + r.IntN(3) {
		s := step{shape: model.TaskProfile{Work: time.Duration(50+r.IntN(1000)) * time.Millisecond, Checkpoint: oneIn(2), CPU: 1000, Memory: 1000, Accelerators: 1 + r.Int64N(2)}, count: 1 + r.IntN(1+r.IntN(4))}
		if oneIn(8) {
			s.shape.Accelerators = 4
		}
		if s.count > 1 && oneIn(2) {
			s.shape.Gang, s.sameRack = s.count, oneIn(2)
		}
		if !s.sameRack && oneIn(3) {
			s.affinity = fmt.Sprint("r", r.IntN(2))
		}
		if oneIn(4) {
			s.antiAffinity = 1 + r.IntN(2)
		}
		if oneIn(5) {
			s.shape.FailOneIn = 5
		}
		switch r.IntN(8) {
		case 0:
			s.estimateFactor = 100
		case 1:
			s.estimateFactor = 0.01
		}
		if i > 0 && !oneIn(3) {
			s.after = []int{r.IntN(i)}
		}
		l = append(l, s)
	}
	return jobBody(l...)
}

// TestSoakHandovers kills, pauses, stops and reconfigures hosts in rounds, most often the
// decider, so that the pool changes hands several times, to hosts that may be too small for
// it. No job may starve in the calm after each round. Half of the seeds run beside busy
// processes. The pool is mostly full, or mostly free, by the seed.
func TestSoakHandovers(t *testing.T) {
	for i := range *handoverSeeds {
		seed := *handoverSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			if seed%2 == 0 {
				keepBusy(t, *handoverBusy)
			}
			runSoak(t, seed, soakKind{
				hosts: *handoverHosts, workers: handoverWorkers[seed/2%uint64(len(handoverWorkers))], maxAttempts: 30, job: handoverJob,
				plan: func(int) []fault { return planHandovers(seed, *handoverHosts) },
			})
		})
	}
}

// keepBusy runs processes that use a whole core each until the test ends.
func keepBusy(t *testing.T, n int) {
	for range n {
		// The loop ends with the test process even if that is killed.
		c := exec.Command("sh", "-c", "while kill -0 $PPID 2>/dev/null; do :; done")
		must(t, c.Start())
		t.Cleanup(func() {
			c.Process.Kill()
			c.Wait()
		})
	}
}

// TestHandoverPlanRepeats checks that the plan of a seed is always the same.
func TestHandoverPlanRepeats(t *testing.T) {
	a, b := planHandovers(7, 5), planHandovers(7, 5)
	if !slices.Equal(a, b) || slices.Equal(a, planHandovers(8, 5)) {
		t.Errorf("%v\n%v", a, b)
	}
	job := func(seed uint64) string { return handoverJob(rand.New(rand.NewPCG(seed, 0))) }
	if first, second := job(7), job(7); first != second || first == job(8) {
		t.Errorf("%s\n%s", first, second)
	}
}
