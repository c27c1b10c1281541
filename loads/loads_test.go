package loads

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"citronbridge/golden"
	"citronbridge/launch"
	"citronbridge/trace"
	"citronbridge/track"
	"citronbridge/units"
)

// readLoad reads a load of testdata: yard is a day of high load on 48 workers, large the first
// seconds of one on 540.
func readLoad(t testing.TB, name string) *Load {
	t.Helper()
	f, err := os.Open("testdata/" + name + ".json")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	l, err := Read(f)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// The replacement of workers by withRelease: a share of them, one after the other.
const (
	releasedShare = 0.4
	releaseStart  = 5 * time.Second
	releaseTime   = 20 * time.Second
)

// withRelease returns the load with workers that drain, leave and are replaced.
func withRelease(l *Load) *Load {
	r := *l
	rng := rand.New(rand.NewPCG(5, 1))
	n := int(releasedShare * float64(l.Workers.Count))
	for i, w := range rng.Perm(l.Workers.Count)[:n] {
		between := func(a, b time.Duration) units.Duration {
			return units.Duration(a + time.Duration(rng.Int64N(int64(b-a))))
		}
		r.Absences = append(r.Absences, Absence{
			Worker: w, From: units.Duration(releaseStart + releaseTime*time.Duration(i)/time.Duration(n)),
			Notice: between(2*time.Second, 4*time.Second), For: between(1500*time.Millisecond, 6*time.Second),
		})
	}
	return &r
}

// withBurst returns the load with several times as many arrivals for some seconds.
func withBurst(l *Load, times int) *Load {
	r := *l
	from, to := l.Duration()/2, l.Duration()*3/4
	r.Jobs = nil
	for _, j := range l.Jobs {
		r.Jobs = append(r.Jobs, j)
		for k := 1; k < times && from <= j.At.D() && j.At.D() < to; k++ {
			c := j
			c.At += units.Duration(time.Duration(k) * 37 * time.Millisecond)
			r.Jobs = append(r.Jobs, c)
		}
	}
	return &r
}

// TestReplays compares what the decisions make of each load with a golden file.
func TestReplays(t *testing.T) {
	var b strings.Builder
	for _, name := range []string{"yard", "large"} {
		l := readLoad(t, name)
		ours, fifo := policy{drainStopAt: launch.DrainStopAt}, policy{drainStopAt: launch.DrainStopAt, fifo: true}
		mixed, ignoring, mixedFIFO := ours, ours, fifo
		mixed.speeds, ignoring.speeds, mixedFIFO.speeds = mixedSpeeds, mixedSpeeds, mixedSpeeds
		ignoring.ignoreSpeeds, fifo.ignoreSpeeds, mixedFIFO.ignoreSpeeds = true, true, true
		for _, c := range []struct {
			name string
			load *Load
			policy
		}{
			{"", l, ours}, {" first in, first out", l, fifo}, {" with workers replaced", withRelease(l), ours},
			{" with a burst of 3 times", withBurst(l, 3), ours}, {" with a burst of 3 times, first in, first out", withBurst(l, 3), fifo},
			{" on unequal workers", l, mixed}, {" on unequal workers, speeds ignored", l, ignoring}, {" on unequal workers, first in, first out", l, mixedFIFO},
			{" on unequal workers with a burst of 3 times", withBurst(l, 3), mixed}, {" on unequal workers with a burst of 3 times, speeds ignored", withBurst(l, 3), ignoring},
		} {
			fmt.Fprintf(&b, "%s%s: %s\n", name, c.name, replay(c.load, 1, c.policy))
		}
	}
	golden.Check(t, "testdata/replays.golden", b.String())
}

// TestDrainSavesWork guards against runs that work on at a draining worker although they
// can't be done before it leaves: that throws away more work, and makes more jobs late.
func TestDrainSavesWork(t *testing.T) {
	atLast := func(_, leavesAt, stopTime time.Duration, _ *track.Run) (time.Duration, bool) {
		return leavesAt - stopTime - 500*time.Millisecond, true
	}
	l := withRelease(readLoad(t, "yard"))
	var wasted, wastedAtLast, earned, earnedAtLast float64
	for seed := range uint64(8) {
		a, b := replay(l, seed, policy{drainStopAt: launch.DrainStopAt}), replay(l, seed, policy{drainStopAt: atLast})
		wasted, wastedAtLast = wasted+a.wasted, wastedAtLast+b.wasted
		earned, earnedAtLast = earned+a.share(), earnedAtLast+b.share()
	}
	t.Logf("thrown away %.0f core-seconds, at the last moment %.0f; earned %.3f, at the last moment %.3f", wasted/8, wastedAtLast/8, earned/8, earnedAtLast/8)
	if wasted >= wastedAtLast || earned <= earnedAtLast {
		t.Error("stops before a worker leaves save no work")
	}
}

// TestRecord checks that a load is recorded from log lines, that a successor's repeated lines
// count once, and that the load reads back as it was written.
func TestRecord(t *testing.T) {
	f, err := os.Open("testdata/hosts.log")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, skipped, err := trace.Read(f)
	if err != nil || skipped > 0 {
		t.Fatalf("%d lines skipped, %v", skipped, err)
	}
	l := Record(lines)
	l.Workers = Workers{Count: 1, PerRack: 1, FarFactor: 1}
	var b bytes.Buffer
	if err := l.Write(&b); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "testdata/recorded.golden", b.String())
	again, err := Read(&b)
	if err != nil {
		t.Fatal(err)
	}
	var c bytes.Buffer
	if err := again.Write(&c); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "testdata/recorded.golden", c.String())
}

// TestInvalidLoads checks that each fault of a load is named with its field.
func TestInvalidLoads(t *testing.T) {
	for _, c := range []struct{ load, want string }{
		{`{`, "decode load"},
		{`{"Worker":{}}`, "unknown field"},
		{`{"Workers":{"Count":0,"PerRack":1,"FarFactor":1}}`, "Workers.Count"},
		{`{"Workers":{"Count":1,"PerRack":1,"FarFactor":0}}`, "Workers.FarFactor"},
		{`{"Workers":{"Count":1,"PerRack":1,"FarFactor":1},"Jobs":[{"At":"1s","Queue":"q9","Steps":[{"Count":1}]}]}`, "Jobs[0].Queue"},
		{`{"Workers":{"Count":1,"PerRack":1,"FarFactor":1},"Queues":[{"Name":"q0"}],"Jobs":[{"At":"1s","Queue":"q0","Steps":[]}]}`, "Jobs[0].Steps"},
		{`{"Workers":{"Count":1,"PerRack":1,"FarFactor":1},"Absences":[{"Worker":1,"From":"1s"}]}`, "Absences[0].Worker"},
	} {
		if _, err := Read(strings.NewReader(c.load)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want an error with %q", c.load, err, c.want)
		}
	}
}

// TestUnequalWorkers guards against gangs that end late as one of their members is on a slow
// worker, and tasks with time to spare that occupy the fast ones. Where workers differ little,
// placement must not lose by what it learns.
func TestUnequalWorkers(t *testing.T) {
	const (
		seeds = 2
		// littleLoss is the change of the earned share that counts as none, as in the scores.
		littleLoss = 0.03
	)
	recorded := func(l *Load) *Load { return l }
	burst := func(l *Load) *Load { return withBurst(l, 3) }
	for _, c := range []struct {
		load, name string
		speeds     []float64
		change     func(*Load) *Load
		least      float64
	}{
		{"yard", "unequal", mixedSpeeds, recorded, 0},
		{"yard", "unequal, burst of 3 times", mixedSpeeds, burst, 0},
		{"yard", "unequal, workers replaced", mixedSpeeds, withRelease, 0},
		{"yard", "nearly equal", workerSpeeds, recorded, -littleLoss},
		{"yard", "nearly equal, workers replaced", workerSpeeds, withRelease, -littleLoss},
		{"large", "unequal", mixedSpeeds, recorded, 0},
		{"large", "nearly equal", workerSpeeds, recorded, -littleLoss},
	} {
		l := c.change(readLoad(t, c.load))
		var learnt, ignored float64
		for seed := range uint64(seeds) {
			p := policy{drainStopAt: launch.DrainStopAt, speeds: c.speeds}
			learnt += replay(l, seed, p).share() / seeds
			p.ignoreSpeeds = true
			ignored += replay(l, seed, p).share() / seeds
		}
		t.Logf("%s, %s: earned %.3f, %.3f with speeds ignored", c.load, c.name, learnt, ignored)
		if learnt-ignored <= c.least {
			t.Errorf("%s, %s: earned %.3f, with speeds ignored %.3f, want more than %.2f difference", c.load, c.name, learnt, ignored, c.least)
		}
	}
}
