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

// Tables of the project.
const (
	// TableJobs has a row for each open job, by ID: what was submitted.
	TableJobs = "jobs"
	// TableRecords has a row for each job, by ID: its progress.
	TableRecords = "records"
	// TableCancels has a row for each job that is to be cancelled, by ID.
	TableCancels = "cancels"
	// TableOwners has a row for each pool: who decides for it.
	TableOwners = "owners"
	// TableHeartbeats has a row for each pool that its decider writes regularly.
	TableHeartbeats = "heartbeats"
	// TableFences has a row for each pool in each part of jobs: the epoch that
	// may write there.
	TableFences = "fences"
	// TableWorkers has a row for each worker that may have tasks, by pool and
	// ID.
	TableWorkers = "workers"
)

// Verdict is how a call about a job came out.
type Verdict string

// Verdicts.
const (
	// Done: the call did what it asked for, durably.
	Done Verdict = "Done"
	// Absent: no such job is known to the store.
	Absent Verdict = "Absent"
	// NotRun: the call had no effect and will have none.
	NotRun Verdict = "NotRun"
	// Ambiguous: the call may still have its effect.
	Ambiguous Verdict = "Open"
)

// retryInterval is kept between two tries of a call of the store.
const retryInterval = 60 * time.Millisecond

// Health knows whether the store answers this host at all.
type Health interface {
	// Unavailable reports whether every call has failed for a time.
	Unavailable() bool
}

// Repo reads and writes jobs.
type Repo struct {
	store  Store
	health Health
}

// New returns a Repo on a store with a health.
func New(s Store, h Health) *Repo { return &Repo{s, h} }

// errUnavailable says that the store answers nothing for now.
var errUnavailable = fmt.Errorf("the store is out: %w", ErrNotDone)

// Submit records a job. An ID that is known already is the same job. It tries
// until ctx ends, as a lost answer leaves open whether the job is recorded;
// NotRun is returned only if no try can still have an effect, and at once while
// the store is out.
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
	_, v, err := r.apply(ctx, c)
	return v, err
}

// apply tries a change until it is answered or ctx ends. A change whose
// conditions don't hold is Done too: somebody else has made it, or an earlier
// try has.
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

// Record reads a job's progress. It is nil with Absent.
func (r *Repo) Record(ctx context.Context, id string) (*work.Record, Verdict, error) {
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
				return nil, NotRun, fmt.Errorf("record of %s: %w", id, err)
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

// Cancel records that a job is to be cancelled.
func (r *Repo) Cancel(ctx context.Context, id string) (Verdict, error) {
	rec, v, err := r.Record(ctx, id)
	if v != Done || rec.State.Final() {
		return v, err
	}
	_, v, err = r.apply(ctx, Change{If: []Condition{hasVersion(TableCancels, id, 0)}, Put: []Row{newRow(TableCancels, id, []byte("{}"))}})
	return v, err
}

// maxPageRows is how many rows one call lists; the platform's bound.
const maxPageRows = 500

// ListAll lists a part of a table. Version is that of the first page, from which
// a feed misses nothing.
func ListAll(ctx context.Context, s Store, table, part string) (Page, error) {
	var all Page
	from := ""
	for {
		p, err := s.List(ctx, table, part, from, maxPageRows)
		if err != nil {
			return Page{}, fmt.Errorf("list %s: %w", table, err)
		}
		if all.Version == 0 {
			all.Version = p.Version
		}
		all.Rows = append(all.Rows, p.Rows...)
		if !p.More || len(p.Rows) == 0 {
			return all, nil
		}
		from = p.Rows[len(p.Rows)-1].Key + "\x00"
	}
}

// ListAllPartitions lists a table that is spread over the parts of jobs. Version is the
// oldest of the parts'.
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
	// Lapsing says that the worker's lease isn't renewed before the row says
	// otherwise, and that all that runs there is dead once the store's clock
	// shows LapsesAt.
	Lapsing  bool          `json:",omitempty"`
	LapsesAt time.Duration `json:",omitempty"`
}

// DecodeWorkerRow reads a row of TableWorkers.
func DecodeWorkerRow(b []byte) (WorkerRow, error) {
	var w WorkerRow
	if err := json.Unmarshal(b, &w); err != nil {
		return WorkerRow{}, fmt.Errorf("decode worker's row: %w", err)
	}
	return w, nil
}

// WorkerKey names a worker's row in TableWorkers.
func WorkerKey(pool, id string) string { return pool + "/" + id }

// SplitWorkerKey undoes WorkerKey. Names of pools have no slash.
func SplitWorkerKey(k string) (pool, id string) {
	pool, id, _ = strings.Cut(k, "/")
	return pool, id
}
