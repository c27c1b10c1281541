package native

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"citronbridge/fakes/model"
	"citronbridge/repo"
	"citronbridge/work"
)

// Bounds of LOST: a job whose turn has come may have nothing running despite free capacity for it
// twice for maxStarvation, once there has been no disruption for calmTime.
const (
	maxStarvation   = 3 * time.Second
	calmTime        = 4 * time.Second
	starvationPause = 250 * time.Millisecond
)

// disruptions tells how long there has been no disruption.
type disruptions struct {
	mu     sync.Mutex
	active int
	ended  time.Time
}

// begin notes the start of a disruption and returns a function that notes its end.
func (u *disruptions) begin() (end func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.active++
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.active--
		u.ended = time.Now()
	}
}

// calm reports whether the calmTime before now was without disruption.
func (u *disruptions) calm(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.active == 0 && now.Sub(u.ended) >= calmTime
}

// starvations checks, from the rows of the store and the runs at the workers, that no job
// has nothing running for longer than maxStarvation while a task or a whole gang of it is
// due and the workers have room for it twice. It knows of one pool.
type starvations struct {
	d           *deployment
	runs        *runMonitor
	disruptions *disruptions
	// Fields below are guarded by the platform's lock. waits are those of the jobs that stand
	// still. A start ends the waits of its job, and of those to which it leaves too little
	// room, as the run may end before the next look.
	waits map[string]*jobWait
	// flickers are the jobs that starved at every look for longer than maxStarvation,
	// but not in between.
	flickers map[string]bool
	// watched are the open jobs seen in calm, waited those that had nothing running then.
	watched, waited map[string]bool
	found           map[string]string
	longest         time.Duration
}

// jobWait is the wait of a job that starves: since when at every moment, since when at
// every look, and its rows at the last look.
type jobWait struct {
	since, looks time.Time
	job          *work.Job
	record       *work.Record
}

// newStarvations returns a check of d's jobs. Its runs must come from a monitor of d.
func newStarvations(d *deployment, w *runMonitor, u *disruptions) *starvations {
	s := &starvations{d: d, runs: w, disruptions: u, waits: map[string]*jobWait{}, flickers: map[string]bool{}, watched: map[string]bool{}, waited: map[string]bool{}, found: map[string]string{}}
	d.platform.Lock(func(c *model.Cluster) {
		previous := c.OnStart
		c.OnStart = func(x *model.Worker, p *model.ActiveRun) {
			previous(x, p)
			id, _, _ := strings.Cut(p.Task, ".")
			delete(s.waits, id)
			now := time.Now()
			for _, q := range s.waits {
				if runnable(c, q.job, q.record, now) == "" {
					q.since = time.Time{}
				}
			}
		}
	})
	return s
}

// watch looks regularly until the returned function is called.
func (s *starvations) watch() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		t := time.NewTicker(starvationPause)
		defer t.Stop()
		for {
			select {
			case now := <-t.C:
				s.look(now)
			case <-done:
				return
			}
		}
	}()
	return func() { close(done); <-ended }
}

// look takes one look at all jobs.
func (s *starvations) look(now time.Time) {
	jobs, records, cancels := s.d.platform.Store.Values(repo.TableJobs), s.d.platform.Store.Values(repo.TableRecords), s.d.platform.Store.Values(repo.TableCancels)
	s.d.platform.Lock(func(c *model.Cluster) {
		if !s.disruptions.calm(now) {
			clear(s.waits)
			return
		}
		busy := map[string]bool{}
		for task, running := range s.runs.running {
			if id, _, _ := strings.Cut(task, "."); running {
				busy[id] = true
			}
		}
		for id, b := range jobs {
			j, err := work.DecodeJob(b)
			if err != nil {
				s.found[id] = err.Error()
				continue
			}
			r, err := work.DecodeRecord(records[id])
			if err != nil {
				s.found[id] = err.Error()
				continue
			}
			if r.State.Final() || cancels[id] != nil {
				delete(s.waits, id)
				continue
			}
			s.watched[id] = true
			step := runnable(c, j, r, now)
			if busy[id] || step == "" {
				delete(s.waits, id)
				continue
			}
			s.waited[id] = true
			q := s.waits[id]
			if q == nil {
				q = &jobWait{looks: now}
				s.waits[id] = q
			}
			if q.since.IsZero() {
				q.since = now
			}
			q.job, q.record = j, r
			d := now.Sub(q.since)
			s.longest = max(s.longest, d)
			s.flickers[id] = s.flickers[id] || now.Sub(q.looks) > maxStarvation
			if d > maxStarvation && s.found[id] == "" {
				s.found[id] = fmt.Sprintf("nothing running from %s to %s although there is room for step %s; job %s; record %s", q.since.UTC().Format(time.RFC3339Nano), now.UTC().Format(time.RFC3339Nano), step, b, records[id])
			}
		}
	})
}

// check fails the test for each job that starved, and if no job was watched.
func (s *starvations) check(t *testing.T) {
	t.Helper()
	s.d.platform.Lock(func(*model.Cluster) {
		for id, text := range s.found {
			t.Errorf("LOST: job %s: %s", id, text)
		}
		if len(s.watched) == 0 {
			t.Error("no open job was watched in calm")
		}
		flickers := 0
		for id, yes := range s.flickers {
			if yes && s.found[id] == "" {
				flickers++
			}
		}
		t.Logf("%d open jobs watched in calm, %d of them seen without runs despite free capacity, for %v at most, %d more at every look for over %v", len(s.watched), len(s.waited), s.longest, flickers, maxStarvation)
	})
}

// runnable describes a step of a job whose turn has come and that has room twice, or
// returns "" if there is none.
func runnable(c *model.Cluster, j *work.Job, r *work.Record, now time.Time) string {
	for k := range j.Occurrences() {
		if j.Due(k) > now.UnixMilli() {
			break
		}
		for i, s := range j.Steps {
			if n := waitingTasks(j, r, k, i); n > 0 && room(c, s) >= 2*n {
				return fmt.Sprintf("%s (%d of %d tasks, gang %v)", work.StepKey(k, i), n, s.Count, s.Gang)
			}
		}
	}
	return ""
}

// waitingTasks returns how many tasks of a step must start together: all of a gang, or one
// of another step. It returns 0 if the step isn't due or has no task left.
func waitingTasks(j *work.Job, r *work.Record, k, i int) int {
	left := func(i int) int {
		n := 0
		for x := range j.Steps[i].Count {
			if !r.IsDone(k, i, x) {
				n++
			}
		}
		return n
	}
	for _, a := range j.Steps[i].After {
		if left(a) > 0 {
			return 0
		}
	}
	if j.Steps[i].Gang {
		return left(i)
	}
	return min(left(i), 1)
}

// room returns how many tasks of a step the workers have room for.
func room(c *model.Cluster, s work.Step) int {
	n := 0
	for _, x := range c.Workers {
		if x.Unreachable {
			continue
		}
		a := s.CapacityDemand()
		fitting := x.FittingTasks(a.MilliCPU, a.MemoryMiB, a.Accelerators)
		if s.AntiAffinity > 0 {
			fitting = min(fitting, s.AntiAffinity)
		}
		n += fitting
	}
	return n
}

// TestStarvationIsFound checks that a job that the workers refuse is reported, and that
// others of the same deployment aren't.
func TestStarvationIsFound(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 3)
	s := newStarvations(d, d.monitorRuns(), &disruptions{})
	stop := s.watch()
	d.submit(jobID(1), "/batch/", jobBody(singleTasks(2, 5*time.Second)))
	d.submit(jobID(2), "/batch/", jobBody(singleTasks(1, 100*time.Millisecond)))
	d.awaitState("/batch/", jobID(2), "succeeded")
	d.platform.Lock(func(c *model.Cluster) {
		for _, x := range c.Workers {
			x.RefusesStarts = true
		}
	})
	d.submit(jobID(3), "/batch/", jobBody(singleTasks(1, 100*time.Millisecond)))
	d.awaitState("/batch/", jobID(1), "succeeded")
	stop()
	if len(s.watched) != 3 || len(s.found) != 1 || s.found[jobID(3)] == "" {
		t.Errorf("%d jobs watched, found %q; want 3, and job %s alone", len(s.watched), s.found, jobID(3))
	}
}

// TestStarvationRules checks which jobs the check counts as starved.
func TestStarvationRules(t *testing.T) {
	t.Parallel()
	second := work.Step{Count: 1, Demand: work.Amounts{MilliCPU: 1000}, After: []int{0}}
	first := work.Step{Count: 1, Demand: work.Amounts{MilliCPU: 16000}}
	for _, x := range []struct {
		name     string
		workers  int
		steps    []work.Step
		done     []int
		canceled bool
		final    work.State
		due      time.Duration
		// disruptedAt and startedAt are when a disruption ends and a run starts and
		// ends, in time since the first look.
		disruptedAt, startedAt time.Duration
		// filledAt is when a short run of another job fills a worker.
		filledAt time.Duration
		want     bool
	}{
		{name: "room twice", workers: 2, steps: []work.Step{first}, want: true},
		{name: "room once", workers: 1, steps: []work.Step{first}},
		{name: "gang with room twice", workers: 4, steps: []work.Step{{Count: 2, Gang: true, Demand: first.Demand}}, want: true},
		{name: "gang with room once", workers: 3, steps: []work.Step{{Count: 2, Gang: true, Demand: first.Demand}}},
		{name: "tasks with room for two", workers: 2, steps: []work.Step{{Count: 9, Demand: first.Demand}}, want: true},
		{name: "anti-affinity", workers: 1, steps: []work.Step{{Count: 2, AntiAffinity: 1, Demand: second.Demand}}},
		{name: "later step", workers: 1, steps: []work.Step{first, second}},
		{name: "later step whose turn has come", workers: 1, steps: []work.Step{first, second}, done: []int{0}, want: true},
		{name: "all tasks done", workers: 2, steps: []work.Step{first}, done: []int{0}},
		{name: "canceled", workers: 2, steps: []work.Step{first}, canceled: true},
		{name: "final", workers: 2, steps: []work.Step{first}, final: work.Succeeded},
		{name: "not due", workers: 2, steps: []work.Step{first}, due: time.Hour},
		{name: "disrupted", workers: 2, steps: []work.Step{first}, disruptedAt: time.Second},
		{name: "short run", workers: 2, steps: []work.Step{first}, startedAt: 2 * time.Second},
		{name: "room gone for a moment", workers: 2, steps: []work.Step{first}, filledAt: 2 * time.Second},
		{name: "other room gone for a moment", workers: 3, steps: []work.Step{first}, filledAt: 2 * time.Second, want: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			d := newDeployment(t, time.Minute)
			for i := range x.workers {
				d.addWorker(fmt.Sprint("w", i), 1)
			}
			u := &disruptions{}
			s := newStarvations(d, d.monitorRuns(), u)
			now := time.Now()
			j := &work.Job{ID: jobID(1), Queue: "batch", Steps: x.steps}
			if x.due > 0 {
				j.Times, j.Start = 1, now.Add(x.due).UnixMilli()
			}
			r := &work.Record{State: work.Pending, Queue: "batch"}
			if x.final != "" {
				r.State = x.final
			}
			for _, i := range x.done {
				r.SetDone(0, i, 0)
			}
			job, err := work.EncodeJob(j)
			must(t, err)
			record, err := r.Encode()
			must(t, err)
			d.platform.Store.Put(repo.TableJobs, j.ID, job)
			d.platform.Store.Put(repo.TableRecords, j.ID, record)
			if x.canceled {
				d.platform.Store.Put(repo.TableCancels, j.ID, []byte("{}"))
			}
			for at := time.Duration(0); at <= maxStarvation+starvationPause; at += starvationPause {
				if at == x.disruptedAt && at > 0 {
					u.ended = now.Add(at)
				}
				if at == x.startedAt && at > 0 {
					d.platform.Lock(func(c *model.Cluster) { c.OnStart(c.Workers["w0"], &model.ActiveRun{Task: j.ID + ".0.0.0"}) })
					s.runs.running[j.ID+".0.0.0"] = false
				}
				if at == x.filledAt && at > 0 {
					o := model.Order{Task: jobID(2) + ".0.0.0", Run: 1, Fence: 1, DeadlineMS: 5000, Spec: model.Spec(model.TaskProfile{Work: time.Nanosecond, CPU: 16000})}
					d.platform.Lock(func(c *model.Cluster) {
						if reason := c.Workers["w0"].Start(o); reason != "" {
							t.Errorf("start: %s", reason)
						}
					})
					d.await("the end of the run", d.idle)
				}
				s.look(now.Add(at))
			}
			if got := s.found[j.ID] != ""; got != x.want {
				t.Errorf("found %q, want a report: %v", s.found, x.want)
			}
		})
	}
}
