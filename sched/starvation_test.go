package sched

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"citronbridge/work"
)

// settleTime is how long after the end of the faults workers and successors may take until
// every worker is listed again and each inherited lease has ended.
const settleTime = 12 * time.Second

// starvation says since when a job has had no running task although one is due and has room.
type starvation struct {
	since time.Duration
	// step is the key of a step whose tasks could run.
	step string
}

// watchStarvation regularly checks that no job starves: that none has nothing running
// for longer than maxWaitWithRoom while a task, or a whole gang, is due and there is room
// for it twice. It applies however full the pool is.
func (w *world) watchStarvation(until time.Duration) {
	for _, id := range sorted(w.jobs) {
		step, ok := w.runnable(id)
		s := w.starvations[id]
		switch {
		case !ok:
			delete(w.starvations, id)
		case s == nil:
			w.starvations[id] = &starvation{w.now, step}
		case w.now-s.since > maxWaitWithRoom:
			w.fail("LOST: job %s has had nothing running since %v although there is room for step %s: %s", id, s.since, step, w.describe(id))
		}
	}
	if w.now+watchPause < until {
		w.after(watchPause, func() { w.watchStarvation(until) })
	}
}

// runnable returns a step of a job whose tasks could start, if the job is open and nothing of
// it runs.
func (w *world) runnable(id string) (string, bool) {
	j := w.jobs[id]
	if _, ok := w.cancelAcked[id]; ok || w.ended[id] || w.activeRuns[id] > 0 {
		return "", false
	}
	r, err := work.DecodeRecord(w.records[id])
	if err != nil {
		w.fail("record of %s: %v", id, err)
		return "", false
	}
	if w.ended[id] = r.State.Final(); w.ended[id] {
		return "", false
	}
	for k := range j.Occurrences() {
		if j.Due(k) > w.wall() {
			break
		}
		for i, s := range j.Steps {
			if n := w.waiting(r, id, k, i); n > 0 && w.room(id, k, i) >= 2*n {
				return fmt.Sprintf("%s (%d of %d tasks, gang %v)", work.StepKey(k, i), n, s.Count, s.Gang), true
			}
		}
	}
	return "", false
}

// waiting returns how many tasks of a step must start together: all of a gang, or one of
// another step. It returns 0 if the step isn't due or has no task left.
func (w *world) waiting(r *work.Record, id string, k, i int) int {
	j := w.jobs[id]
	for _, a := range j.Steps[i].After {
		for n := range j.Steps[a].Count {
			if !r.IsDone(k, a, n) {
				return 0
			}
		}
	}
	left := 0
	for n := range j.Steps[i].Count {
		if t := (work.TaskID{Job: id, Occurrence: k, Step: i, Index: n}).String(); !r.IsDone(k, i, n) && len(w.doneRuns[t]) == 0 {
			left++
		}
	}
	if left > 0 && !j.Steps[i].Gang {
		return 1
	}
	return left
}

// room returns how many tasks of a step the listed workers have room for.
func (w *world) room(id string, k, i int) int {
	j, s := w.jobs[id], w.jobs[id].Steps[i]
	n := 0
	for _, x := range w.cluster.Workers {
		if !w.listed[x.ID] || x.Unreachable || w.leavesAtMS[x.ID] > 0 || s.Requires != "" && s.Requires != w.kind(x.ID) {
			continue
		}
		if w.rules.Queues[j.Queue].Advice && !w.cluster.Allows(id+"."+work.StepKey(k, i), x.ID) {
			continue
		}
		fitting := x.FittingTasks(s.Demand.MilliCPU, s.Demand.MemoryMiB, s.Demand.Accelerators)
		if s.AntiAffinity > 0 {
			fitting = min(fitting, s.AntiAffinity)
		}
		n += fitting
	}
	return n
}

// describe returns what the decider knows of a job that waits.
func (w *world) describe(id string) string {
	j := w.owner().s.Jobs[id]
	if j == nil {
		return "unknown to the decider"
	}
	return fmt.Sprintf("known since %v, record saved %d of %d, reported cause %q", j.AddedAt, j.SavedSeq, j.Seq, w.waitCauses[id])
}

// calmJobs is how many jobs are submitted once the faults have ended.
const calmJobs = 8

// preferences makes some of a job's steps prefer a rack and some estimates far too long or too
// short.
func (w *world) preferences(j *work.Job) {
	for i := range j.Steps {
		s := &j.Steps[i]
		if !s.SameRack && w.chance(0.3) {
			s.Affinity = fmt.Sprint("r", w.rng.IntN(2))
		}
		switch {
		case w.chance(0.1):
			s.Estimate *= 100
		case w.chance(0.1):
			s.Estimate = 0
		}
	}
}

// submitInCalm plans the submissions of jobs after the faults have ended.
func (w *world) submitInCalm() {
	for i := range calmJobs {
		j := w.randomJob(fmt.Sprintf("%016x", 0xc0+i))
		w.preferences(j)
		w.after(w.faultsUntil+settleTime+w.random(0, 15*time.Second), func() { w.submit(j) })
	}
}

// playCalm is play with jobs that are submitted after the faults have ended. Where handovers
// is set, planned handovers to another decider go on.
func playCalm(seed uint64, selective, handovers, tracing bool) *world {
	w := newWorld(seed, faults{})
	w.selective, w.tracing = selective, tracing
	w.submitInCalm()
	if handovers {
		for range 3 {
			w.after(w.faultsUntil+settleTime+w.random(0, 20*time.Second), w.releaseDecider)
		}
	}
	return w.play(seed)
}

var (
	calmSeeds = flag.Uint64("calm-seeds", 100, "how many seeds of each kind TestNoJobStarves plays")
	calmSeed  = flag.Uint64("calm-seed", 1, "the first seed that TestNoJobStarves plays")
)

// TestNoJobStarves guards against jobs that have nothing running although their turn has
// come and there is room: jobs are submitted after the faults have ended, to pools that are
// mostly free or full, with selective steps, gangs and planned handovers.
func TestNoJobStarves(t *testing.T) {
	for _, x := range []struct {
		name                 string
		selective, handovers bool
	}{
		{"plain", false, false}, {"handovers", false, true}, {"selective", true, false}, {"selective, handovers", true, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			var g errgroup.Group
			g.SetLimit(runtime.GOMAXPROCS(0))
			for i := range *calmSeeds {
				g.Go(func() error {
					if w := playCalm(*calmSeed+i, x.selective, x.handovers, false); len(w.violations) > 0 {
						t.Errorf("seed %d: %s", *calmSeed+i, w.violations[0])
					}
					return nil
				})
			}
			if err := g.Wait(); err != nil {
				t.Fatal(err)
			}
		})
	}
}
