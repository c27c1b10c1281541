package work

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"citronbridge/fault"
)

// State is the state of a job as shown to clients.
type State string

// States of a job. The last three are final.
const (
	Pending   State = "Pending"
	Running   State = "Running"
	Succeeded State = "Succeeded"
	Failed    State = "Failed"
	Canceled  State = "Canceled"
)

// Final reports whether the state is final: no task of the job starts any more.
func (s State) Final() bool { return s == Succeeded || s == Failed || s == Canceled }

// Record is the durable progress of a job. All other state is rebuilt from the
// workers after a takeover.
type Record struct {
	State State
	Queue string
	// Ended is when the job ended, in Unix milliseconds.
	Ended int64 `json:",omitempty"`
	// HasAccount is set if Account is the account of the job, which is empty for a job that was
	// submitted without one. Records written by earlier versions lack both.
	HasAccount bool   `json:",omitempty"`
	Account    string `json:",omitempty"`
	// Unsubmitted is set if the job was cancelled before it was stored. The record keeps
	// submissions sent before from being stored late, and isn't shown to clients.
	Unsubmitted bool `json:",omitempty"`
	// CanceledFor lists whose submissions an Unsubmitted record stops. Empty, as written by
	// earlier versions, it stops everyone's.
	CanceledFor []Submitter `json:",omitempty"`
	// Pool is the pool that the job is in, empty until its decider first writes the record. Only
	// that decider writes it from then on.
	Pool string `json:",omitempty"`
	// Started reports whether a task of the job is known to have started. It may be missing until
	// the change after that.
	Started bool `json:",omitempty"`
	// LastRun is the highest run number that other pools may have used for the job's tasks.
	LastRun int `json:",omitempty"`
	// Placed holds the ID of the worker that was last chosen for a task, by task
	// key. It is durable before the start order is sent, so that after a takeover
	// a task that no worker has reported yet can only run on that worker.
	Placed map[string]string `json:",omitempty"`
	// Unsure is set if the record grew too large, so that Placed and Saved were
	// dropped.
	Unsure bool `json:",omitempty"`
	// Done has a bit for each task that is done, by step key. DoneOccurrences has a bit for
	// each occurrence of which all tasks are; Done may lack its steps.
	Done            map[string][]byte `json:",omitempty"`
	DoneOccurrences []byte            `json:",omitempty"`
	// FailedRuns lists the numbers of failed runs, by task key, or by step key for
	// gangs. It holds numbers instead of a count, so that a failure that is reported
	// again after a takeover isn't counted twice.
	FailedRuns map[string][]int `json:",omitempty"`
	// Saved is the last known checkpoint, by task key, or by step key for gangs.
	Saved map[string]string `json:",omitempty"`
}

// Submitter returns who submitted the job, and whether the record says so.
func (r *Record) Submitter() (Submitter, bool) {
	return SubmitterOf(r.Account, r.Queue), r.HasAccount
}

// Stops reports whether the record keeps s from submitting a job, as s cancelled it before it
// was stored.
func (r *Record) Stops(s Submitter) bool {
	return r.Unsubmitted && (len(r.CanceledFor) == 0 || slices.Contains(r.CanceledFor, s))
}

// StepKey returns the key of a step of an occurrence in a Record.
func StepKey(occurrence, step int) string {
	return strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}

// TaskKey returns the key of a task in a Record.
func TaskKey(occurrence, step, index int) string {
	return StepKey(occurrence, step) + "." + strconv.Itoa(index)
}

// SetDone marks a task as done and removes what only a waiting or running task needs: its
// placement, failures and checkpoint, or those of its gang.
func (r *Record) SetDone(occurrence, step, index int) {
	if r.Done == nil {
		r.Done = map[string][]byte{}
	}
	k := StepKey(occurrence, step)
	r.Done[k] = setBit(r.Done[k], index)
	task := TaskKey(occurrence, step, index)
	delete(r.Placed, task)
	for _, k := range []string{k, task} {
		delete(r.FailedRuns, k)
		delete(r.Saved, k)
	}
}

// maxDoneSteps is the number of steps in Done beyond which those of done occurrences are
// left to DoneOccurrences. Up to there, hosts of versions without it can read the record.
const maxDoneSteps = 64

// SetOccurrenceDone marks an occurrence of which all tasks are done.
func (r *Record) SetOccurrenceDone(occurrence int) {
	r.DoneOccurrences = setBit(r.DoneOccurrences, occurrence)
	if len(r.Done) <= maxDoneSteps {
		return
	}
	maps.DeleteFunc(r.Done, func(k string, _ []byte) bool {
		n, err := strconv.Atoi(k[:max(strings.IndexByte(k, '.'), 0)])
		return err == nil && r.IsOccurrenceDone(n)
	})
}

// IsOccurrenceDone reports whether an occurrence is marked as done.
func (r *Record) IsOccurrenceDone(occurrence int) bool {
	return hasBit(r.DoneOccurrences, occurrence)
}

// setBit returns b with bit n set, extended where necessary.
func setBit(b []byte, n int) []byte {
	for len(b) <= n/8 {
		b = append(b, 0)
	}
	b[n/8] |= 1 << (n % 8)
	return b
}

func hasBit(b []byte, n int) bool { return n/8 < len(b) && b[n/8]&(1<<(n%8)) != 0 }

// SetPlaced records the worker that was chosen for a task.
func (r *Record) SetPlaced(occurrence, step, index int, worker string) {
	if r.Placed == nil {
		r.Placed = map[string]string{}
	}
	r.Placed[TaskKey(occurrence, step, index)] = worker
}

// IsDone reports whether a task is marked as done.
func (r *Record) IsDone(occurrence, step, index int) bool {
	return r.IsOccurrenceDone(occurrence) || hasBit(r.Done[StepKey(occurrence, step)], index)
}

// AddFailure records a failed run under key and returns the number of failed runs.
// A run that is already recorded isn't counted again.
func (r *Record) AddFailure(key string, run int) int {
	if r.FailedRuns == nil {
		r.FailedRuns = map[string][]int{}
	}
	if !slices.Contains(r.FailedRuns[key], run) {
		r.FailedRuns[key] = append(r.FailedRuns[key], run)
	}
	return len(r.FailedRuns[key])
}

// SetSaved records a checkpoint under key, unless it is empty.
func (r *Record) SetSaved(key, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if r.Saved == nil {
		r.Saved = map[string]string{}
	}
	r.Saved[key] = checkpoint
}

// HandedOver returns the record of the job in another pool, which may use run numbers above
// lastRun. Nothing of the job may be running.
func (r *Record) HandedOver(pool string, lastRun int) *Record {
	n := *r
	n.Pool, n.LastRun = pool, max(r.LastRun, lastRun)
	n.Placed, n.Unsure = nil, false
	return &n
}

// HasStarted reports whether the record shows that a task of the job has started. A placement
// alone doesn't.
func (r *Record) HasStarted() bool {
	return r.Started || len(r.Done) > 0 || len(r.DoneOccurrences) > 0 || len(r.FailedRuns) > 0 || len(r.Saved) > 0
}

// maxRecordBytes limits the size of an encoded record. It is below the store's limit
// for rows.
const maxRecordBytes = 48 << 10

// Encode returns the value of the record's row. A final record keeps only State,
// Queue, Ended, the account, Pool, Unsubmitted and CanceledFor. One that exceeds maxRecordBytes loses Placed and Saved, which
// the job can do without, and is marked as Unsure.
func (r *Record) Encode() ([]byte, error) {
	if r.State.Final() {
		return json.Marshal(&Record{
			State: r.State, Queue: r.Queue, Ended: r.Ended, HasAccount: r.HasAccount, Account: r.Account, Pool: r.Pool, Unsubmitted: r.Unsubmitted, CanceledFor: r.CanceledFor,
		})
	}
	b, err := json.Marshal(r)
	if err != nil || len(b) <= maxRecordBytes {
		return b, err
	}
	short := *r
	short.Placed, short.Unsure, short.Saved = nil, true, nil
	return json.Marshal(&short)
}

// DecodeRecord decodes and checks the value of a record's row.
func DecodeRecord(b []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("decode record: %w", err)
	}
	var l fault.List
	switch r.State {
	case Pending, Running, Succeeded, Failed, Canceled:
	default:
		l.Add("State", r.State, "Pending, Running, Succeeded, Failed or Canceled")
	}
	l.Check(r.Queue != "" || r.Unsubmitted, "Queue", r.Queue, "the name of a queue")
	return r, l.Err()
}

// EncodeJob returns the value of a job's row.
func EncodeJob(j *Job) ([]byte, error) { return json.Marshal(j) }

// DecodeJob decodes and checks the value of a job's row.
func DecodeJob(b []byte) (*Job, error) {
	j := &Job{}
	if err := json.Unmarshal(b, j); err != nil {
		return nil, fmt.Errorf("decode job: %w", err)
	}
	return j, j.Check().Err()
}
