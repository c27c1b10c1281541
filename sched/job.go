package sched

import (
	"time"

	"citronbridge/event"
	"citronbridge/work"
)

// phase is how far an order to run a task is.
type phase int

const (
	// marking: the job's record must say first where the task is placed.
	marking phase = iota
	// starting: the order is sent and not answered.
	starting
	// working: the worker has the task.
	working
	// stopping: the task is to be stopped.
	stopping
)

// run is a task on a worker, and holds room there until its end is listed.
type run struct {
	id     work.TaskID
	n      int
	task   *task
	w      *worker
	demand work.Amounts
	phase  phase
	saved  string
	// seq is the number of the record that says where the task was placed.
	seq int64
	// since is when the order was decided, sent when it was last sent,
	// settled when the last order about it was answered.
	since, sent, settled time.Duration
	// ticket is the advice service's, empty where none is needed.
	ticket string
	// tail is how long the slowest answers of a serving task take.
	tail time.Duration
	// pace is the share of its speed that the run works at, in percent.
	pace int
	// borrowed says that the run is urgent and beyond its account's guarantee.
	borrowed bool
	// waiting says that an order about the run has no answer yet.
	waiting bool
	// tries counts the starts that were sent.
	tries   int
	percent int
	// mark and markAt are an earlier reading of the progress, rate the
	// progress since in percent a second, stuck that there was none.
	mark   int
	markAt time.Duration
	rate   float64
	stuck  bool
	// wasAt is the reading before mark, slowAt since when the run is slow.
	wasAt, slowAt time.Duration
}

// startup is what a long-running task takes to be at work again, as a rule: the
// platform tells no figure.
const startup = 2 * time.Second

// loss returns the core-seconds that a stop throws away.
func (r *run) loss(now time.Duration) float64 {
	from := r.since
	switch {
	case r.task == nil:
	case r.task.step.spec.LongRunning:
		// What it has served is not lost; it is away until it is up again.
		from = max(now-startup, from)
	case r.task.step.spec.Checkpoint:
		// A stop writes a checkpoint; only the way there and back is lost.
		from = max(now-time.Second/2, from)
	}
	return (now - from).Seconds() * r.demand.Cores()
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	done  bool
	// run is the current run, nil while the task waits.
	run   *run
	last  int
	saved string
	// waits is since when the task has had no run.
	waits time.Duration
	// moves counts how often the task was moved off a slow worker.
	moves int
	// inherited says that a former decider may have started the task, and
	// this one has not.
	inherited bool
}

// step is a step of one occurrence.
type step struct {
	job   *job
	spec  *work.Step
	k, i  int
	key   string
	tasks []*task
	left  int
	// last and saved are the gang's.
	last  int
	saved string
	// ready is when the step's turn came, 0 before.
	ready time.Duration
	avoid map[string]bool
	open  bool
}

// job is an open job.
type job struct {
	spec *work.Job
	rec  *work.Record
	// queue is the job's queue as last configured.
	queue *work.Queue
	steps []*step
	// next is the first occurrence that isn't open.
	next  int
	left  int
	added time.Duration
	// begun says that a task has started.
	begun bool
	// inherited is set for jobs that a former decider may have started.
	inherited bool
	seq       int64
	savedSeq  int64
	asked     int64
	failures  int
}

func (j *job) priority(r *work.Rules) int {
	if q := r.Queues[j.spec.Queue]; q != nil {
		return q.Priority
	}
	return 0
}

// open adds the steps of an occurrence.
func (j *job) open(k int, now time.Duration) {
	for i := range j.spec.Steps {
		st := &step{job: j, spec: &j.spec.Steps[i], k: k, i: i, key: j.spec.ID + "." + work.StepKey(k, i), avoid: map[string]bool{}}
		st.saved = j.rec.Saved[work.StepKey(k, i)]
		for n := range st.spec.Count {
			t := &task{step: st, index: n, done: j.rec.IsDone(k, i, n), inherited: j.inherited, saved: j.rec.Saved[work.TaskKey(k, i, n)]}
			st.tasks = append(st.tasks, t)
			if !t.done {
				st.left++
			}
		}
		if st.left > 0 {
			j.left++
		}
		j.steps = append(j.steps, st)
	}
	j.ready(now)
}

// step returns a step of an open occurrence, or nil.
func (j *job) step(k, i int) *step {
	n := k*len(j.spec.Steps) + i
	if k < 0 || i < 0 || i >= len(j.spec.Steps) || n >= len(j.steps) {
		return nil
	}
	return j.steps[n]
}

// ready notes the steps whose turn has come. The ends before them must be
// durable, so it waits for a write under way.
func (j *job) ready(now time.Duration) {
	if j.savedSeq < j.seq {
		return
	}
	for _, st := range j.steps {
		if st.open || st.left == 0 {
			continue
		}
		st.open = true
		for _, a := range st.spec.After {
			if j.step(st.k, a).left > 0 {
				st.open = false
			}
		}
		if !st.open {
			continue
		}
		st.ready = now
		for _, t := range st.tasks {
			t.waits = now
		}
	}
}

// finished reports whether every task of every occurrence is done.
func (j *job) finished() bool {
	return j.left == 0 && j.next >= j.spec.Occurrences()
}

// key names a task's failures and checkpoints in the record: those of a gang
// are the step's.
func (t *task) key() string {
	if t.step.spec.Gang {
		return work.StepKey(t.step.k, t.step.i)
	}
	return work.TaskKey(t.step.k, t.step.i, t.index)
}

func (t *task) id() work.TaskID {
	return work.TaskID{Job: t.step.job.spec.ID, Occurrence: t.step.k, Step: t.step.i, Index: t.index}
}

// addJob takes in a job.
func (s *State) addJob(e event.JobAdded) {
	if s.jobs[e.Job.ID] != nil || s.over[e.Job.ID] > 0 || e.Record.State.Final() {
		return
	}
	j := &job{spec: e.Job, rec: e.Record, added: s.now.Steady}
	j.inherited = e.Inherited && e.Record.Pool != ""
	j.begun = j.inherited
	s.jobs[j.spec.ID] = j
	s.order = append(s.order, j)
	if j.spec.Times == 0 {
		j.open(0, s.now.Steady)
		j.next = 1
	} else {
		s.due()
	}
	s.changed = true
	s.do(event.TakenIn{Job: j.spec})
	s.match(j)
	if s.cancels[j.spec.ID] > 0 {
		delete(s.cancels, j.spec.ID)
		s.finish(j, work.Canceled)
		return
	}
	if j.finished() && !j.rec.State.Final() {
		s.finish(j, work.Succeeded)
	}
}

// cancel ends a job whose cancel is recorded.
func (s *State) cancel(id string) {
	j := s.jobs[id]
	switch {
	case j == nil:
		// The feeds of jobs and of cancels may overtake each other.
		s.cancels[id] = max(s.now.Steady, 1)
	case !j.rec.State.Final():
		s.finish(j, work.Canceled)
	}
}

// finish ends a job: nothing of it starts any more, and what runs is stopped.
func (s *State) finish(j *job, state work.State) {
	j.rec.State, j.rec.Ended = state, s.now.Wall
	s.touch(j)
	s.note(j, nil, nil, "job ends as "+string(state))
	s.changed = true
	if state == work.Succeeded {
		return
	}
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.run != nil {
				s.stop(t.run)
			}
		}
	}
}

// touch asks for the job's record to be saved.
func (s *State) touch(j *job) {
	j.seq++
	s.dirty = append(s.dirty, j)
}

// save asks for changed records to be written, one write a job at a time.
func (s *State) save() {
	rest := s.dirty[:0]
	for _, j := range s.dirty {
		switch {
		case j.asked >= j.seq:
		case j.asked > j.savedSeq:
			rest = append(rest, j)
		default:
			b, err := j.rec.Encode()
			if err != nil {
				panic("record can't be encoded: " + err.Error())
			}
			j.asked = j.seq
			s.do(event.Save{ID: j.spec.ID, Seq: j.seq, Record: b, Final: j.rec.State.Final()})
		}
	}
	s.dirty = rest
}

// saved takes in that a record is durable.
func (s *State) saved(e event.RecordSaved) {
	j := s.jobs[e.ID]
	if j == nil {
		return
	}
	j.savedSeq = max(j.savedSeq, e.Seq)
	if j.savedSeq < j.asked {
		return
	}
	if j.rec.State.Final() {
		if j.savedSeq >= j.seq && !j.atWork() {
			s.removeJob(j)
		}
		return
	}
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.run != nil && t.run.phase == marking && t.run.seq <= j.savedSeq {
				s.sendStart(t.run)
			}
		}
	}
	j.ready(s.now.Steady)
	s.changed = true
}

// atWork reports whether a run of the job holds room somewhere.
func (j *job) atWork() bool {
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.run != nil {
				return true
			}
		}
	}
	return false
}
