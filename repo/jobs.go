package repo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"citronbridge/work"
)

// Tables of the table service that the scheduler writes.
const (
	// TableJobs holds the submitted specification of each open job, keyed by job ID.
	TableJobs = "jobs"
	// TableRecords holds the progress of each job, keyed by job ID.
	TableRecords = "records"
	// TableCancels holds a CancelRow for each job whose cancellation was requested, keyed
	// by job ID.
	TableCancels = "cancels"
	// TableOwners holds the current Owner of each pool, keyed by pool.
	TableOwners = "owners"
	// TableHeartbeats holds the latest Heartbeat of each pool's decider, keyed by pool.
	TableHeartbeats = "heartbeats"
	// TableFences holds the fence row of each pool in each job partition: the epoch
	// that may write to the partition.
	TableFences = "fences"
	// TableWorkers holds a WorkerRow for each worker that may have tasks, keyed by pool
	// and worker ID (see WorkerKey).
	TableWorkers = "workers"
	// TableSpeeds holds the learnt speeds of a pool's workers in shards, keyed by pool and shard
	// (see WorkerKey).
	TableSpeeds = "speeds"
)

// Verdict is the outcome of a call that submits, reads or cancels a job.
type Verdict string

// Verdicts.
const (
	// Done means that the requested effect is durable.
	Done Verdict = "Done"
	// Absent means that the store holds no such job.
	Absent Verdict = "Absent"
	// NotRun means that the call had no effect and will have none.
	NotRun Verdict = "NotRun"
	// Taken means NotRun as the ID is that of a job that the caller may not reach.
	Taken Verdict = "Taken"
	// Limited means NotRun as the account has cancelled too many unknown jobs.
	Limited Verdict = "Limited"
	// Ambiguous means that the outcome is unknown: the call may have taken effect or
	// may still do so.
	Ambiguous Verdict = "Open"
)

// retryInterval is the wait before a failed store call is retried.
const retryInterval = 60 * time.Millisecond

// Health tracks whether the store answers this host.
type Health interface {
	// Unavailable reports whether every recent store call has failed.
	Unavailable() bool
}

// Repo submits, reads and cancels jobs in the store.
type Repo struct {
	store  Store
	health Health
	// AllowUnknownCancel decides whether a cancellation that finds no job of its caller is
	// carried out. It may be nil, for all.
	AllowUnknownCancel func(Caller) bool
}

// New returns a Repo that uses s, and refuses calls at once while h reports s as
// unavailable.
func New(s Store, h Health) *Repo { return &Repo{store: s, health: h} }

// errUnavailable is returned, without a store call, while the store is unavailable.
var errUnavailable = fmt.Errorf("table service is unavailable: %w", ErrNotDone)

// Submit stores a new job. If the ID is that of a job that the caller may reach, the
// submission counts as a repetition and changes nothing; if it is that of another job, the
// verdict is Taken. Submit retries until ctx ends, because after a lost answer only another
// try can show whether the job is stored. It returns NotRun or Taken only if no try can still
// take effect, and NotRun at once while the store is unavailable. A job that its submitter
// cancelled before it was stored is stored as cancelled.
func (r *Repo) Submit(ctx context.Context, c Caller, j *work.Job) (Verdict, error) {
	job, err := work.EncodeJob(j)
	if err != nil {
		return NotRun, fmt.Errorf("encode job: %w", err)
	}
	rec, err := (&work.Record{State: work.Pending, Queue: j.Queue, HasAccount: true, Account: j.Tenant}).Encode()
	if err != nil {
		return NotRun, fmt.Errorf("encode record: %w", err)
	}
	store := Change{
		If:  []Condition{hasVersion(TableRecords, j.ID, 0)},
		Put: []Row{newRow(TableJobs, j.ID, job), newRow(TableRecords, j.ID, rec)},
	}
	for change := store; ; {
		a, v, err := r.apply(ctx, change)
		if v != Done || a.Applied {
			return v, err
		}
		// As the condition didn't hold, no earlier try of the change can still be carried out.
		row, v, err := r.currentRecord(ctx, j.ID, a.Current)
		switch {
		case v == Absent:
			change = store
			continue
		case v != Done:
			return Ambiguous, err
		}
		rec, err := work.DecodeRecord(row.Value)
		switch {
		case err != nil:
			return Ambiguous, fmt.Errorf("record of job %s: %w", j.ID, err)
		case rec.Stops(j.Submitter()):
			change = canceledJob(j.ID, row.Version, &work.Record{Queue: j.Queue, HasAccount: true, Account: j.Tenant})
		case rec.Unsubmitted:
			// Only others cancelled a job under this ID.
			change = store
			change.If = []Condition{hasVersion(TableRecords, j.ID, row.Version)}
			change.Delete = []Row{newRow(TableCancels, j.ID, nil)}
		default:
			reached, v, err := r.reaches(ctx, c, j.ID, rec)
			switch {
			case v != Done:
				return Ambiguous, err
			case !reached && c.UnknownKey:
				// The job may be that of an earlier try, while the key was known.
				return Ambiguous, errTaken
			case !reached:
				return Taken, errTaken
			}
			return Done, nil
		}
	}
}

// currentRecord returns the row of a job's record among the rows of a refused change. If the
// answer lacks it, it is read.
func (r *Repo) currentRecord(ctx context.Context, id string, current []Row) (Row, Verdict, error) {
	for _, row := range current {
		if row.Table == TableRecords && row.Key == id && row.Version > 0 {
			return row, Done, nil
		}
	}
	return r.readRow(ctx, TableRecords, id)
}

// apply tries a change until the store answers or ctx ends. A change whose conditions
// don't hold is Done too: another caller or an earlier try has already applied it.
func (r *Repo) apply(ctx context.Context, c Change) (Result, Verdict, error) {
	ambiguous := false
	for {
		if !ambiguous && r.health.Unavailable() {
			return Result{}, NotRun, errUnavailable
		}
		a, err := r.store.Apply(ctx, c)
		if err == nil {
			return a, Done, nil
		}
		ambiguous = ambiguous || !errors.Is(err, ErrNotDone)
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
			if ctx.Err() == nil {
				continue
			}
		}
		if ambiguous {
			return Result{}, Ambiguous, err
		}
		return Result{}, NotRun, err
	}
}

// Record reads a job's progress. The record is nil unless the verdict is Done, and the verdict
// is Absent for a job that the caller may not reach.
func (r *Repo) Record(ctx context.Context, c Caller, id string) (*work.Record, Verdict, error) {
	rec, _, v, err := r.readRecord(ctx, id)
	switch {
	case v != Done:
		return nil, v, err
	case rec.Unsubmitted:
		return nil, Absent, nil
	}
	reached, v, err := r.reaches(ctx, c, id, rec)
	switch {
	case v != Done:
		return nil, v, err
	case !reached:
		return nil, Absent, nil
	}
	return rec, Done, nil
}

// readRecord reads a job's record and its version, also if the job was never stored.
func (r *Repo) readRecord(ctx context.Context, id string) (*work.Record, int64, Verdict, error) {
	row, v, err := r.readRow(ctx, TableRecords, id)
	if v != Done {
		return nil, 0, v, err
	}
	rec, err := work.DecodeRecord(row.Value)
	if err != nil {
		return nil, 0, NotRun, fmt.Errorf("record of job %s: %w", id, err)
	}
	return rec, row.Version, Done, nil
}

// readRow reads a row of a job. The verdict is Done, Absent or NotRun.
func (r *Repo) readRow(ctx context.Context, table, id string) (Row, Verdict, error) {
	for {
		if r.health.Unavailable() {
			return Row{}, NotRun, errUnavailable
		}
		p, err := r.store.List(ctx, table, PartitionOf(table, id), id, 1)
		switch {
		case err == nil && (len(p.Rows) == 0 || p.Rows[0].Key != id):
			return Row{}, Absent, nil
		case err == nil:
			return p.Rows[0], Done, nil
		}
		select {
		case <-ctx.Done():
			return Row{}, NotRun, err
		case <-time.After(retryInterval):
		}
	}
}

// maxPageRows is the platform's limit of rows in the answer to one List.
const maxPageRows = 500

// errEmptyPage is returned if a page without rows isn't the last one.
var errEmptyPage = errors.New("page has no rows, but more follow")

// ListAll reads all pages of one partition of a table. The Version of the result is that
// of the first page, so that a feed started from it misses no change made in between.
func ListAll(ctx context.Context, s Store, table, partition string) (Page, error) {
	var all Page
	from := ""
	for {
		p, err := s.List(ctx, table, partition, from, maxPageRows)
		if err != nil {
			return Page{}, fmt.Errorf("list %s: %w", table, err)
		}
		if all.Version == 0 {
			all.Version = p.Version
		}
		all.Rows = append(all.Rows, p.Rows...)
		if !p.More {
			return all, nil
		}
		if len(p.Rows) == 0 {
			return Page{}, fmt.Errorf("list %s: %w", table, errEmptyPage)
		}
		from = p.Rows[len(p.Rows)-1].Key + "\x00"
	}
}

// ListAllPartitions reads a table that is spread over the job partitions. The Version of
// the result is the lowest of the partitions' versions, so that a feed started from it
// misses no change of any of them.
func ListAllPartitions(ctx context.Context, s Store, table string) (Page, error) {
	names := JobPartitions()
	pages := make([]Page, len(names))
	g, ctx := errgroup.WithContext(ctx)
	for i, p := range names {
		g.Go(func() error {
			var err error
			pages[i], err = ListAll(ctx, s, table, p)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return Page{}, err
	}
	all := pages[0]
	for _, p := range pages[1:] {
		all.Rows = append(all.Rows, p.Rows...)
		all.Version = min(all.Version, p.Version)
	}
	return all, nil
}

// WorkerRow is a row of TableWorkers.
type WorkerRow struct {
	Address string
	// Lapsing means that the worker's lease is not renewed while the row is in this
	// state, and that everything running on the worker has ended once the store's
	// clock reaches LapsesAt.
	Lapsing  bool          `json:",omitempty"`
	LapsesAt time.Duration `json:",omitempty"`
}

// DecodeWorkerRow decodes the value of a row of TableWorkers.
func DecodeWorkerRow(b []byte) (WorkerRow, error) {
	var w WorkerRow
	if err := json.Unmarshal(b, &w); err != nil {
		return WorkerRow{}, fmt.Errorf("decode worker row: %w", err)
	}
	return w, nil
}

// WorkerKey returns the key of a worker's row in TableWorkers.
func WorkerKey(pool, id string) string { return pool + "/" + id }

// SplitWorkerKey returns the pool and the worker ID of a key made by WorkerKey. It splits
// at the first slash, as pool names contain none.
func SplitWorkerKey(k string) (pool, id string) {
	pool, id, _ = strings.Cut(k, "/")
	return pool, id
}
