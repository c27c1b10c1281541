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
}

// New returns a Repo that uses s, and refuses calls at once while h reports s as
// unavailable.
func New(s Store, h Health) *Repo { return &Repo{s, h} }

// errUnavailable is returned, without a store call, while the store is unavailable.
var errUnavailable = fmt.Errorf("table service is unavailable: %w", ErrNotDone)

// Submit stores a new job. If the ID already exists the submission counts as a
// repetition and changes nothing. Submit retries until ctx ends, because after a lost
// answer only another try can show whether the job is stored. It returns NotRun only if
// no try can still take effect, and at once while the store is unavailable. A job that was
// cancelled before it was stored is stored as cancelled.
func (r *Repo) Submit(ctx context.Context, j *work.Job) (Verdict, error) {
	job, err := work.EncodeJob(j)
	if err != nil {
		return NotRun, fmt.Errorf("encode job: %w", err)
	}
	rec, err := (&work.Record{State: work.Pending, Queue: j.Queue}).Encode()
	if err != nil {
		return NotRun, fmt.Errorf("encode record: %w", err)
	}
	c := Change{
		If:  []Condition{hasVersion(TableRecords, j.ID, 0)},
		Put: []Row{newRow(TableJobs, j.ID, job), newRow(TableRecords, j.ID, rec)},
	}
	a, v, err := r.apply(ctx, c)
	if v == Done && !a.Applied {
		return r.storeCanceled(ctx, j, a.Current)
	}
	return v, err
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

// Record reads a job's progress. The record is nil unless the verdict is Done.
func (r *Repo) Record(ctx context.Context, id string) (*work.Record, Verdict, error) {
	rec, v, err := r.readRecord(ctx, id)
	if rec != nil && rec.Unsubmitted {
		return nil, Absent, nil
	}
	return rec, v, err
}

// readRecord is Record, but also returns records of jobs that were never stored.
func (r *Repo) readRecord(ctx context.Context, id string) (*work.Record, Verdict, error) {
	for {
		if r.health.Unavailable() {
			return nil, NotRun, errUnavailable
		}
		p, err := r.store.List(ctx, TableRecords, PartitionOf(TableRecords, id), id, 1)
		switch {
		case err == nil && (len(p.Rows) == 0 || p.Rows[0].Key != id):
			return nil, Absent, nil
		case err == nil:
			rec, err := work.DecodeRecord(p.Rows[0].Value)
			if err != nil {
				return nil, NotRun, fmt.Errorf("record of job %s: %w", id, err)
			}
			return rec, Done, nil
		}
		select {
		case <-ctx.Done():
			return nil, NotRun, err
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
