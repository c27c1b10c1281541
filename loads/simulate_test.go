package loads

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"citronbridge/assign"
	"citronbridge/demand"
	"citronbridge/event"
	"citronbridge/pacing"
	"citronbridge/speed"
	"citronbridge/track"
	"citronbridge/work"
)

// startDelay is the time from a placement to the start of its task, which the record of the
// placement and the order take.
const startDelay = 20 * time.Millisecond

// leaseTime is how long it takes until the lease of a worker that is gone must have ended.
const leaseTime = 9 * time.Second

// placementPause is the shortest time between two placements.
const placementPause = 20 * time.Millisecond

// estimateError and taskSpread are the greatest relative deviations of a step's duration from
// its estimate, and of a task's from that of its step. workerSpeeds are the speeds of workers.
const (
	estimateError = 0.2
	taskSpread    = 0.3
)

var workerSpeeds = []float64{0.8, 1, 1.25}

// mixedSpeeds are those of a pool with three generations of accelerators.
var mixedSpeeds = []float64{0.6, 1, 1.6}

// result is what a replay of a load has come to.
type result struct {
	// owed and earned are by queue. Jobs that were cancelled aren't owed.
	owed, earned map[string]float64
	// late and undone count the jobs that were not done in time, and not at all.
	late, undone map[string]int
	// firstStarts are the times from arrivals to first starts, by queue.
	firstStarts map[string][]time.Duration
	// placed, stopped and lost count runs: all, those stopped for more urgent work, and those
	// that their worker took along. wasted is the work in core-seconds that both threw away.
	placed, stopped, lost int
	wasted                float64
}

// share returns the share of the owed worth that was earned.
func (r *result) share() float64 {
	var owed, earned float64
	for q := range r.owed {
		owed, earned = owed+r.owed[q], earned+r.earned[q]
	}
	return earned / owed
}

// percentile returns a percentile of the times to the first start of a queue's jobs.
func (r *result) percentile(queue string, p int) time.Duration {
	l := r.firstStarts[queue]
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[min(len(l)*p/100, len(l)-1)]
}

func (r *result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "earned %.3f, wasted %.0f, placed %d, stopped %d, lost %d;", r.share(), r.wasted, r.placed, r.stopped, r.lost)
	for _, q := range []string{"q0", "q1", "q2"} {
		if r.owed[q] > 0 {
			fmt.Fprintf(&b, " %s %.3f late %d undone %d p95 start %.2fs;", q, r.earned[q]/r.owed[q], r.late[q], r.undone[q], r.percentile(q, 95).Seconds())
		}
	}
	return b.String()
}

// simulation replays a load against the decisions of packages demand and assign. Orders always
// arrive, workers fail only as the load says, and nothing takes processor time.
type simulation struct {
	l *Load
	policy
	p     *track.Pool
	rng   *rand.Rand
	now   time.Duration
	queue timeline
	// scheduled counts the calls so far, which orders those of the same time.
	scheduled int
	nextAt    time.Duration
	speeds    map[string]float64
	// stepFactor is the actual duration of a step by its estimate.
	stepFactor map[*track.Step]float64
	tasks      map[*track.Task]*taskState
	// starts and ends are when runs have started, and will be done.
	starts, ends map[*track.Run]time.Duration
	// own is how long each run takes on its worker, without the other members of its gang.
	own      map[*track.Run]time.Duration
	jobs     map[*track.Job]*Job
	meanWork map[string]float64
	queues   map[string]Queue
	res      *result
}

// taskState is the work of a task, for a worker of speed 1, and how much of it is saved.
type taskState struct{ work, saved time.Duration }

type scheduled struct {
	at time.Duration
	n  int
	f  func()
}

type timeline []scheduled

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].n < t[j].n
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(scheduled)) }
func (t *timeline) Pop() any {
	x := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return x
}

func (s *simulation) after(d time.Duration, f func()) {
	s.scheduled++
	heap.Push(&s.queue, scheduled{s.now + d, s.scheduled, f})
}

// policy is what decides in a replay.
type policy struct {
	// drainStopAt says when a run on a draining worker is stopped, like launch.DrainStopAt.
	drainStopAt func(now, leavesAt, stopTime time.Duration, r *track.Run) (time.Duration, bool)
	// fifo makes all jobs alike but for their order of arrival.
	fifo bool
	// speeds are the speeds of workers, workerSpeeds if empty. ignoreSpeeds keeps the decisions from
	// learning them.
	speeds       []float64
	ignoreSpeeds bool
}

// replay replays a load. The seed decides how far durations are from their estimates.
func replay(l *Load, seed uint64, p policy) *result {
	s := &simulation{
		l: l, policy: p, rng: rand.New(rand.NewPCG(seed, 1)), speeds: map[string]float64{}, stepFactor: map[*track.Step]float64{}, tasks: map[*track.Task]*taskState{},
		starts: map[*track.Run]time.Duration{}, ends: map[*track.Run]time.Duration{}, own: map[*track.Run]time.Duration{}, jobs: map[*track.Job]*Job{}, meanWork: map[string]float64{}, queues: map[string]Queue{},
		res: &result{owed: map[string]float64{}, earned: map[string]float64{}, late: map[string]int{}, undone: map[string]int{}, firstStarts: map[string][]time.Duration{}},
	}
	rules := &work.Rules{Version: 1, Queues: map[string]*work.Queue{}, Pools: map[string]*work.Pool{"p": {Name: "p"}}, Accounts: map[string]*work.Account{}}
	for _, q := range l.Queues {
		s.queues[q.Name] = q
		x := &work.Queue{Name: q.Name, Pool: "p", Priority: q.Priority, MaxAttempts: 4, Stretch: q.Stretch, Slack: q.Slack.D()}
		if p.fifo {
			x.Priority, x.Stretch, x.Slack = 1, 0, 0
		}
		rules.Queues[q.Name] = x
	}
	for _, a := range l.Accounts {
		rules.Accounts[a.Name] = &work.Account{Name: a.Name, Guaranteed: a.Guaranteed}
	}
	rules.Index()
	w := &l.Workers
	s.p = track.NewPool(track.Config{Pool: "p", Epoch: 1, Bounds: event.Bounds{StopTime: w.StopTime.D(), ReclaimTime: w.ReclaimTime.D(), FarFactor: w.FarFactor}}, event.Clock{}, rules)
	s.p.Inheriting = false
	s.p.OwnedAt = time.Hour
	racks := (w.Count + w.PerRack - 1) / w.PerRack
	labels := requiredLabels(l)
	for i := range w.Count {
		x := s.p.Worker(fmt.Sprintf("w%04d", i))
		x.Listed, x.Recorded, x.Synced, x.ClockMS = true, true, true, 1
		x.Capacity, x.Rack, x.Labels = w.Capacity, fmt.Sprintf("r%d", i/w.PerRack), labels
		l := workerSpeeds
		if len(p.speeds) > 0 {
			l = p.speeds
		}
		s.speeds[x.ID] = l[s.rng.IntN(len(l))]
	}
	s.planArrivals(racks)
	for _, a := range l.Absences {
		s.planAbsence(a)
	}
	s.run(l.Duration() + 90*time.Second)
	for j, x := range s.jobs {
		if !j.Record.State.Final() && x.CanceledAfter == 0 {
			s.res.undone[x.Queue]++
		}
	}
	return s.res
}

// requiredLabels returns the labels that any step requires. All workers have them.
func requiredLabels(l *Load) []string {
	var labels []string
	for _, j := range l.Jobs {
		for _, st := range j.Steps {
			if st.Requires != "" && !slices.Contains(labels, st.Requires) {
				labels = append(labels, st.Requires)
			}
		}
	}
	return labels
}

// planArrivals schedules the arrivals and cancellations of the load's jobs. Racks that steps
// prefer are mapped to those of the simulated workers.
func (s *simulation) planArrivals(racks int) {
	count := map[string]float64{}
	rackOf := map[string]string{}
	for i := range s.l.Jobs {
		x := &s.l.Jobs[i]
		s.meanWork[x.Queue] += x.Work()
		count[x.Queue]++
		j := &track.Job{Spec: &work.Job{ID: id(i), Queue: x.Queue, Tenant: x.Account, Steps: slices.Clone(x.Steps)}, Record: &work.Record{State: work.Pending}}
		for k := range j.Spec.Steps {
			st := &j.Spec.Steps[k]
			if st.Affinity != "" {
				if rackOf[st.Affinity] == "" {
					rackOf[st.Affinity] = fmt.Sprintf("r%d", len(rackOf)%racks)
				}
				st.Affinity = rackOf[st.Affinity]
			}
		}
		s.jobs[j] = x
		s.after(x.At.D(), func() { s.arrive(j) })
		if x.CanceledAfter > 0 {
			s.after(x.At.D()+x.CanceledAfter.D(), func() { s.cancel(j) })
		}
	}
	for q, n := range count {
		s.meanWork[q] /= n
	}
}

func (s *simulation) arrive(j *track.Job) {
	s.p.Jobs[j.Spec.ID] = j
	s.p.JobsByArrival = append(s.p.JobsByArrival, j)
	j.Spec.Accepted = s.p.Now.Wall
	j.AddedAt = s.now
	j.OpenOccurrence(0, s.now)
	j.NextOccurrence = 1
	for _, st := range j.Steps {
		f := 1 + estimateError*(2*s.rng.Float64()-1)
		s.stepFactor[st] = f
		for _, t := range st.Tasks {
			d := f * (1 + taskSpread*(2*s.rng.Float64()-1))
			if st.Spec.Gang {
				d = f
			}
			s.tasks[t] = &taskState{work: time.Duration(d * float64(st.Spec.Estimate))}
		}
	}
	if x := s.jobs[j]; x.CanceledAfter == 0 {
		s.res.owed[x.Queue] += s.queues[x.Queue].Worth * s.size(x)
	}
	s.p.NeedsPlacement = true
}

// size returns what a job is worth, as a multiple of a job of mean size.
func (s *simulation) size(x *Job) float64 {
	return min(0.3+0.7*x.Work()/s.meanWork[x.Queue], 4)
}

func (s *simulation) cancel(j *track.Job) {
	if j.Record.State.Final() {
		return
	}
	j.Record.State = work.Canceled
	for _, st := range j.Steps {
		for _, t := range st.Tasks {
			if t.Run != nil {
				s.stop(t.Run)
			}
		}
	}
	s.p.NeedsPlacement = true
}

// planAbsence schedules that a worker leaves, and returns.
func (s *simulation) planAbsence(a Absence) {
	w := s.p.Workers[fmt.Sprintf("w%04d", a.Worker)]
	s.after(max(a.From.D()-a.Notice.D(), 0), func() {
		w.Draining = a.Notice > 0
		s.p.NeedsPlacement = true
	})
	if a.Notice > 0 {
		s.after(a.From.D()-a.Notice.D(), func() { s.drain(w, a.From.D()) })
	}
	s.after(a.From.D(), func() {
		w.Listed = false
		for _, r := range w.SortedRuns() {
			s.res.lost++
			s.lose(r)
		}
		s.p.NeedsPlacement = true
	})
	if a.For > 0 {
		s.after(a.From.D()+a.For.D(), func() {
			w.Listed, w.Draining = true, false
			s.p.NeedsPlacement = true
		})
	}
}

// drain stops what runs on a draining worker when launch.DrainStopAt says so.
func (s *simulation) drain(w *track.Worker, leavesAt time.Duration) {
	s.report()
	next := s.now + 500*time.Millisecond
	for _, r := range w.SortedRuns() {
		at, stop := s.drainStopAt(s.now, leavesAt, s.l.Workers.StopTime.D(), r)
		switch {
		case !stop || r.Phase == track.Stopping:
		case s.now < at:
			next = min(next, at)
		default:
			s.res.lost++
			s.stop(r)
			if r.Task.Step.Spec.Gang {
				for _, t := range r.Task.Step.Tasks {
					if t.Run != nil {
						s.stop(t.Run)
					}
				}
			}
		}
	}
	if next < leavesAt {
		s.after(next-s.now, func() { s.drain(w, leavesAt) })
	}
}

// lose ends a run with its worker, and with it the rest of its gang. The decider learns of it
// only as the worker's lease ends.
func (s *simulation) lose(r *track.Run) {
	if r.Worker.Runs[r.ID] != r || r.Phase == track.Stopping {
		return
	}
	st := r.Task.Step
	s.waste(r, false)
	delete(s.starts, r)
	r.Phase = track.Stopping
	s.after(leaseTime, func() {
		if r.Worker.Runs[r.ID] == r {
			s.release(r)
		}
	})
	if st.Spec.Gang {
		for _, t := range st.Tasks {
			if t.Run != nil {
				s.stop(t.Run)
			}
		}
	}
}

// run simulates until a time.
func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		h := heap.Pop(&s.queue).(scheduled)
		s.now = max(s.now, h.at)
		s.p.Now = event.Clock{Steady: s.now, Wall: s.now.Milliseconds()}
		h.f()
		if s.p.PlaceAt > 0 {
			s.requestPlacement(s.p.PlaceAt)
			s.p.PlaceAt = 0
		}
		if s.p.NeedsPlacement {
			s.p.NeedsPlacement = false
			s.requestPlacement(s.now)
		}
	}
}

// requestPlacement schedules a placement, unless one is scheduled for that time or before.
func (s *simulation) requestPlacement(at time.Duration) {
	at = max(at, s.now+placementPause)
	if s.nextAt > s.now && s.nextAt <= at {
		return
	}
	s.nextAt = at
	s.after(at-s.now, func() {
		if s.nextAt == at {
			s.nextAt = 0
			s.place()
		}
	})
}

func (s *simulation) place() {
	units := demand.Units(s.p)
	if len(units) == 0 {
		return
	}
	s.report()
	workers, runs := demand.Workers(s.p)
	plan := assign.Decide(s.now, workers, units)
	for _, r := range plan.Stops {
		if o := runs[r.Key]; o != nil {
			s.res.stopped++
			s.stop(o)
		}
	}
	gangs := map[string][]*track.Run{}
	for _, x := range plan.Starts {
		id := x.Unit.TaskID(x.Index)
		t := s.p.Jobs[id.Job].Step(id.Occurrence, id.Step).Tasks[x.Index]
		w := s.p.Workers[x.Worker]
		r := &track.Run{ID: t.ID(), N: t.LastRun + 1, Task: t, Worker: w, Demand: t.Step.Spec.CapacityDemand(), DecidedAt: s.now, Pace: pacing.FullPercent}
		t.Run, t.LastRun, w.Runs[r.ID] = r, r.N, r
		w.Used = w.Used.Plus(r.Demand)
		s.res.placed++
		if t.Step.Spec.Gang {
			gangs[t.Step.Key] = append(gangs[t.Step.Key], r)
		} else {
			s.start(r)
		}
	}
	for _, k := range sorted(gangs) {
		s.start(gangs[k]...)
	}
}

// report records the progress of all runs, as workers report it with each answer.
func (s *simulation) report() {
	for _, w := range s.p.WorkersByID {
		for _, r := range w.Runs {
			if d := s.own[r]; r.Phase == track.Running && d > 0 {
				r.RecordProgress(s.now, min(int(100*(s.now-s.starts[r])/d), 100))
			}
		}
		if !s.ignoreSpeeds {
			speed.Observe(s.p, w)
		}
	}
}

func sorted[V any](m map[string]V) []string {
	l := make([]string, 0, len(m))
	for k := range m {
		l = append(l, k)
	}
	slices.Sort(l)
	return l
}

// start starts a run, or the runs of a gang, and schedules their ends.
func (s *simulation) start(l ...*track.Run) {
	s.after(startDelay, func() {
		var d time.Duration
		for _, r := range l {
			if r.Worker.Runs[r.ID] != r || r.Phase == track.Stopping {
				continue
			}
			r.Phase = track.Running
			s.starts[r] = s.now
			if j := r.Task.Step.Job; !j.Record.Started {
				j.Record.Started = true
				q := s.jobs[j].Queue
				s.res.firstStarts[q] = append(s.res.firstStarts[q], s.now-j.AddedAt)
			}
			s.own[r] = s.duration(r, l)
			d = max(d, s.own[r])
		}
		for _, r := range l {
			end := d
			if len(l) == 1 {
				end = s.duration(r, l)
			}
			s.ends[r] = s.now + end
			s.after(end, func() {
				if r.Worker.Runs[r.ID] == r && r.Phase == track.Running {
					s.done(r)
				}
			})
		}
	})
}

// duration returns how long a run of a gang takes on its worker from now.
func (s *simulation) duration(r *track.Run, gang []*track.Run) time.Duration {
	t := s.tasks[r.Task]
	d := float64(t.work-t.saved) / s.speeds[r.Worker.ID]
	st := r.Task.Step.Spec
	far := st.Affinity != "" && st.Affinity != r.Worker.Rack
	if st.SameRack {
		for _, o := range gang {
			far = far || o.Worker.Rack != r.Worker.Rack
		}
	}
	if far {
		d *= s.l.Workers.FarFactor
	}
	return time.Duration(d)
}

func (s *simulation) release(r *track.Run) {
	delete(r.Worker.Runs, r.ID)
	delete(s.starts, r)
	delete(s.ends, r)
	delete(s.own, r)
	r.Worker.Used = r.Worker.Used.Minus(r.Demand)
	if r.Task.Run == r {
		r.Task.Run, r.Task.WaitingSince = nil, s.now
	}
	s.p.NeedsPlacement = true
}

// stop stops a run. Its worker is free of it once the stop has taken its time.
func (s *simulation) stop(r *track.Run) {
	if r.Phase == track.Stopping {
		return
	}
	r.Phase = track.Stopping
	s.after(s.l.Workers.StopTime.D(), func() {
		if r.Worker.Runs[r.ID] == r {
			s.waste(r, true)
			s.release(r)
		}
	})
}

// waste counts the work of a run that ends before it is done, unless a stop saves it.
func (s *simulation) waste(r *track.Run, saves bool) {
	from, ok := s.starts[r]
	if !ok || r.Task.Done {
		return
	}
	if t := s.tasks[r.Task]; saves && r.Task.Step.Spec.Checkpoint {
		t.saved = min(t.saved+time.Duration(float64(s.now-from)*s.speeds[r.Worker.ID]), t.work)
		return
	}
	if r.Task.Step.Job.Record.State != work.Canceled {
		s.res.wasted += (s.now - from).Seconds() * r.Demand.Cores()
	}
}

// done ends a task, and its job if that was the last.
func (s *simulation) done(r *track.Run) {
	t := r.Task
	j := t.Step.Job
	s.release(r)
	if !t.Done {
		t.Done = true
		t.Step.TasksLeft--
	}
	if t.Step.TasksLeft == 0 {
		j.StepsLeft--
		j.MarkReadySteps(s.now)
	}
	if !j.Finished() || j.Record.State.Final() {
		return
	}
	j.Record.State = work.Succeeded
	s.p.RemoveJob(j)
	x := s.jobs[j]
	if x.CanceledAfter > 0 {
		return
	}
	q := s.queues[x.Queue]
	aim := time.Duration(q.Stretch*float64(j.Spec.CriticalPath())) + q.Slack.D()
	switch took := s.now - j.AddedAt; {
	case took <= aim:
		s.res.earned[x.Queue] += q.Worth * s.size(x)
	case took <= 3*aim:
		s.res.earned[x.Queue] += q.LateWorth * s.size(x)
		s.res.late[x.Queue]++
	default:
		s.res.late[x.Queue]++
	}
}
