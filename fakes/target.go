package fakes

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/xid"

	"citronbridge/blobs"
	"citronbridge/jobs"
	"citronbridge/retry"
	"citronbridge/target"
)

// maxInlineOutput is the largest output in a report, in bytes. Larger ones go to the object store.
const maxInlineOutput = 8 << 10

// TargetFaults are the faults that a Target injects until they are replaced.
type TargetFaults struct {
	FailAll bool // every task fails right after its start
	// RefuseReserve and RefuseStart make the target refuse these orders.
	RefuseReserve bool
	RefuseStart   bool
	// IgnoreStop and IgnoreCheckpoint make it accept these orders and do nothing.
	IgnoreStop       bool
	IgnoreCheckpoint bool
	TruncateOutput   bool // outputs lose their last byte, reports keep the whole length and checksum
	RepeatReports    bool // each report lists all tasks instead of only changed ones
}

// LogEntry is an event of a task at a Target: Reserve, Start, Throttle, End (of an
// active task) or Release (of a reserved task that never started).
type LogEntry struct {
	Time  time.Time
	Event string
	Task  target.TaskID
}

// Target runs simulated tasks under leases.
type Target struct {
	id      string
	room    jobs.Room
	objects *blobs.Client

	mu          sync.Mutex
	incarnation string
	epoch       int64         // the highest of all requests so far
	sequence    int64         // number of changes of tasks
	changed     chan struct{} // closed, and replaced, with each change
	tasks       map[target.TaskID]*task
	faults      TargetFaults
	log         *json.Encoder // a LogEntry per line
}

type task struct {
	target.Task
	sequence       int64     // that of the last change
	expires        time.Time // when the lease runs out
	program        program
	timer          *time.Timer // fires when the delay of the start, and then the run time, is over
	startTime      time.Time
	startScheduled bool          // the task starts once the delay of its start order is over
	resumedFrom    time.Duration // the run time restored from a checkpoint
}

// NewTarget returns a Target with the capacity room. It stores large outputs and checkpoints in the
// object store at the URL objects.
func NewTarget(id string, room jobs.Room, objects string) *Target {
	return &Target{
		id: id, room: room, incarnation: xid.New().String(),
		objects: blobs.NewClient(objects, retry.New(retry.Config{Name: "objects"})),
		changed: make(chan struct{}), tasks: map[target.TaskID]*task{}, log: json.NewEncoder(io.Discard),
	}
}

// Handler serves /fence, /watch and /orders, and for tests /faults and /tasks.
func (t *Target) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /fence", t.fence)
	m.HandleFunc("POST /watch", t.watch)
	m.HandleFunc("POST /orders", t.orders)
	m.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f TargetFaults
		if decodeRequest(w, r, &f) {
			t.mu.Lock()
			t.faults = f
			t.mu.Unlock()
		}
	})
	m.HandleFunc("GET /tasks", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Tasks()) })
	return m
}

// SetLog makes the target write a LogEntry for each later event to w, as a line of JSON. In a file,
// these outlive the process.
func (t *Target) SetLog(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log = json.NewEncoder(w)
}

// Tasks returns the tasks of the target, ended ones included until they are forgotten.
func (t *Target) Tasks() []target.Task {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report(-1).Tasks
}

// acceptEpoch adopts epoch, or answers 409 and returns false if it is stale. The caller holds t.mu.
func (t *Target) acceptEpoch(w http.ResponseWriter, epoch int64) bool {
	if epoch < t.epoch {
		http.Error(w, "fenced by a newer epoch", http.StatusConflict)
		return false
	}
	t.epoch = epoch
	return true
}

// fence raises the epoch, renews all leases and answers with a report of all tasks.
func (t *Target) fence(w http.ResponseWriter, r *http.Request) {
	var q target.FenceRequest
	if !decodeRequest(w, r, &q) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.acceptEpoch(w, q.Epoch) {
		return
	}
	t.expire()
	t.renew(q.Lease.D())
	writeJSON(w, t.report(-1))
}

// watch renews all leases and reports the tasks changed after Since. It waits up to Wait for one.
func (t *Target) watch(w http.ResponseWriter, r *http.Request) {
	var q target.WatchRequest
	if !decodeRequest(w, r, &q) {
		return
	}
	deadline := time.NewTimer(q.Wait.D())
	defer deadline.Stop()
	for timedOut := false; ; {
		t.mu.Lock()
		if !t.acceptEpoch(w, q.Epoch) {
			t.mu.Unlock()
			return
		}
		t.expire()
		t.renew(q.Lease.D())
		if timedOut || t.sequence > q.Since || t.faults.RepeatReports {
			since := q.Since
			if t.faults.RepeatReports {
				since = -1
			}
			writeJSON(w, t.report(since))
			t.mu.Unlock()
			return
		}
		c := t.changed
		t.mu.Unlock()
		select {
		case <-c:
		case <-deadline.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// report returns the tasks changed after sequence since, all if it is -1. The caller holds t.mu.
func (t *Target) report(since int64) target.Report {
	p := target.Report{Incarnation: t.incarnation, Epoch: t.epoch, Sequence: t.sequence, Room: t.room, Tasks: []target.Task{}}
	for _, k := range t.tasks {
		if k.sequence > since {
			p.Tasks = append(p.Tasks, k.Task)
		}
	}
	return p
}

// renew makes the leases of all tasks end d from now. The caller holds t.mu.
func (t *Target) renew(d time.Duration) {
	e := time.Now().Add(d)
	for _, k := range t.tasks {
		k.expires = e
	}
}

// expire ends the tasks whose lease has run out. The caller holds t.mu.
func (t *Target) expire() {
	n := time.Now()
	for _, k := range t.tasks {
		if !k.State.Ended() && n.After(k.expires) {
			t.end(k, target.Lapsed, "lease ran out")
		}
	}
}

// Expire ends tasks whose lease has run out, checking every 50 ms until ctx is done.
func (t *Target) Expire(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		t.expire()
		t.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// orders carries out a batch of orders and answers with the outcome of each.
func (t *Target) orders(w http.ResponseWriter, r *http.Request) {
	var b target.Batch
	if !decodeRequest(w, r, &b) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.acceptEpoch(w, b.Epoch) {
		return
	}
	t.expire()
	answers := make([]target.Refusal, 0, len(b.Orders))
	for _, o := range b.Orders {
		answers = append(answers, t.carryOut(&o, b.Lease.D()))
	}
	writeJSON(w, answers)
}

// carryOut carries out one order and returns its answer. The caller holds t.mu.
func (t *Target) carryOut(o *target.Order, lease time.Duration) target.Refusal {
	k := t.tasks[o.Task]
	if o.Action == target.Reserve {
		return t.reserve(k, o, lease)
	}
	if k == nil {
		return target.NoSuchTask
	}
	switch o.Action {
	case target.Start:
		return t.scheduleStart(k, o)
	case target.Throttle:
		t.logEvent("Throttle", k)
	case target.Checkpoint:
		if !t.faults.IgnoreCheckpoint && !k.State.Ended() {
			t.saveCheckpoint(k)
			t.end(k, target.Saved, "checkpointed")
		}
	case target.Stop:
		if !t.faults.IgnoreStop && !k.State.Ended() {
			t.end(k, target.Halted, "stopped")
		}
	case target.Forget:
		if !k.State.Ended() {
			return target.WrongState
		}
		delete(t.tasks, o.Task)
	default:
		return target.Malformed
	}
	return target.Accepted
}

// reserve adds a task if it is new (k is nil) and the target has room. The caller holds t.mu.
func (t *Target) reserve(k *task, o *target.Order, lease time.Duration) target.Refusal {
	if k != nil {
		if k.State == target.Reserved {
			return target.Accepted
		}
		return target.WrongState
	}
	free := t.room
	for _, x := range t.tasks {
		if !x.State.Ended() {
			free = free.Minus(x.Room)
		}
	}
	if t.faults.RefuseReserve || !o.Room.Fits(free) {
		return target.NoRoom
	}
	k = &task{Task: target.Task{ID: o.Task, State: target.Reserved, Room: o.Room, Guarantee: o.Guarantee, Targets: o.Targets}}
	k.expires = time.Now().Add(lease)
	k.program = parseProgram(o)
	t.tasks[o.Task] = k
	t.recordChange(k, "Reserve")
	return target.Accepted
}

// scheduleStart starts a reserved task once the order's delay has passed. The caller holds t.mu.
func (t *Target) scheduleStart(k *task, o *target.Order) target.Refusal {
	switch {
	case k.State == target.Active || k.State == target.Reserved && k.startScheduled:
		return target.Accepted
	case k.State != target.Reserved || t.faults.RefuseStart:
		return target.WrongState
	}
	k.startScheduled = true
	k.expires = time.Now().Add(o.Delay.D() + o.Lease.D())
	if o.Delay == 0 {
		t.start(k)
		return target.Accepted
	}
	k.timer = time.AfterFunc(o.Delay.D(), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if k.State == target.Reserved {
			t.start(k)
		}
	})
	return target.Accepted
}

// start makes a task active and runs it. The caller holds t.mu.
func (t *Target) start(k *task) {
	k.State, k.Started, k.startTime = target.Active, true, time.Now()
	t.recordChange(k, "Start")
	if k.program.resumes {
		go t.resume(k)
		return
	}
	t.run(k)
}

// run completes the task when its remaining run time is over. The caller holds t.mu.
func (t *Target) run(k *task) {
	k.timer = time.AfterFunc(t.remainingTime(k), func() { t.completeTask(k) })
}

// resume runs the task from its checkpoint, or from the start if it has none.
func (t *Target) resume(k *task) {
	d := t.loadCheckpoint(k.ID)
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.State == target.Active {
		k.resumedFrom = d
		t.run(k)
	}
}

// end moves a task to an ended state, which frees its room. The caller holds t.mu.
func (t *Target) end(k *task, s target.TaskState, detail string) {
	if k.timer != nil {
		k.timer.Stop()
	}
	wasActive := k.State == target.Active
	k.State, k.Detail = s, detail
	if wasActive {
		t.recordChange(k, "End")
		return
	}
	t.recordChange(k, "Release")
}

// recordChange logs an event that changed a task and wakes the watches. The caller holds t.mu.
func (t *Target) recordChange(k *task, event string) {
	t.sequence++
	k.sequence = t.sequence
	t.logEvent(event, k)
	close(t.changed)
	t.changed = make(chan struct{})
}

// logEvent writes an event to the log. The caller holds t.mu.
func (t *Target) logEvent(event string, k *task) {
	t.log.Encode(LogEntry{time.Now(), event, k.ID})
}

// completeTask ends a task whose run time is over. Large output goes to the object store.
func (t *Target) completeTask(k *task) {
	out := k.program.memberOutput(k.ID.Member)
	part := jobs.Part{Member: k.ID.Member, Target: t.id, Length: int64(len(out)), Checksum: jobs.Checksum(out)}
	t.mu.Lock()
	f := t.faults
	t.mu.Unlock()
	if f.TruncateOutput && len(out) > 0 {
		out = out[:len(out)-1]
	}
	part.Data = out
	detail := ""
	if len(out) > maxInlineOutput {
		part.Data, part.Object = nil, "output~"+strings.ReplaceAll(k.ID.String(), "/", "~")
		if err := t.objects.Put(context.Background(), part.Object, out); err != nil {
			detail = "output not stored"
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case k.State != target.Active:
	case f.FailAll || k.program.fail || detail != "":
		t.end(k, target.Broken, "task failed "+detail)
	default:
		k.Output = part
		t.end(k, target.Complete, "")
	}
}
