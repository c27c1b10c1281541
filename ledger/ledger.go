// Package ledger stores the records of jobs and the owners of cells in the table service.
//
// The row Jobs/ACCOUNT/ID holds a jobs.Record. The row Open/CELL/ACCOUNT/ID exists while the job
// has not ended; it is written in the same transactions as the record. Cells/CELL is the fence row
// of a cell and holds its Owner: a decider's writes require that its version is unchanged, so they
// fail once another host has acquired the cell.
package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"citronbridge/fault"
	"citronbridge/jobs"
	"citronbridge/table"
)

// store reads rows of the table service.
type store interface {
	Get(ctx context.Context, keys ...string) (map[string]table.Row, error)
	Scan(ctx context.Context, prefix, after string, limit int) (table.Page, error)
}

// committer commits transactions. It may commit several as one.
type committer interface {
	Commit(ctx context.Context, t table.Transaction) (table.Result, error)
}

var (
	_ store     = (*table.Client)(nil)
	_ committer = (*table.Batcher)(nil)
)

// Errors that are not failures of the table service.
var (
	// ErrFenced means that another decider has acquired the cell, so the write was rejected.
	ErrFenced = errors.New("cell was acquired by another decider")
	// ErrChanged means that the row has changed since it was read, so the write was rejected.
	ErrChanged = errors.New("row has changed")
	// ErrMalformed means that a row can't be decoded or has invalid fields.
	ErrMalformed = errors.New("malformed row")
)

// Ledger reads and writes the rows of jobs and cells.
type Ledger struct {
	store     store
	committer committer
}

// New returns a Ledger that reads from s and writes with c.
func New(s store, c committer) *Ledger { return &Ledger{s, c} }

// jobRowKey, openRowKey and cellRowKey return the keys of the rows that the package comment lists.
func jobRowKey(k jobs.Key) string               { return "Jobs/" + k.String() }
func openRowKey(cell string, k jobs.Key) string { return "Open/" + cell + "/" + k.String() }
func cellRowKey(cell string) string             { return "Cells/" + cell }

// Entry is a job's record and the version of its row.
type Entry struct {
	Record  *jobs.Record
	Version int64
}

// Insert writes the record of a new job and returns true. If a job with the same key exists, it
// returns that job and false instead.
func (l *Ledger) Insert(ctx context.Context, r *jobs.Record) (Entry, bool, error) {
	k := r.Spec.Key()
	w, err := table.Put(jobRowKey(k), r)
	if err != nil {
		return Entry{}, false, err
	}
	t := table.Transaction{
		Conditions: []table.Condition{{Key: jobRowKey(k)}},
		Writes:     []table.Write{w, {Key: openRowKey(r.Cell, k), Value: json.RawMessage("{}")}},
	}
	res, err := l.committer.Commit(ctx, t)
	if err != nil {
		return Entry{}, false, fmt.Errorf("insert job %s: %w", k, err)
	}
	if len(res.Conflicts) == 0 {
		return Entry{r, res.Versions[0]}, true, nil
	}
	e, err := l.Load(ctx, k)
	return e, false, err
}

// Load reads a job. The record is nil if there is no such job.
func (l *Ledger) Load(ctx context.Context, k jobs.Key) (Entry, error) {
	m, err := l.store.Get(ctx, jobRowKey(k))
	if err != nil {
		return Entry{}, fmt.Errorf("load job %s: %w", k, err)
	}
	row, ok := m[jobRowKey(k)]
	if !ok {
		return Entry{}, nil
	}
	return decode(row)
}

// LoadAll reads jobs, up to table.MaxKeys in each call of the table service. It leaves out jobs
// that don't exist or are malformed, and returns the number of the malformed ones.
func (l *Ledger) LoadAll(ctx context.Context, keys []jobs.Key) (entries []Entry, malformed int, err error) {
	for len(keys) > 0 {
		n := min(len(keys), table.MaxKeys)
		rowKeys := make([]string, 0, n)
		for _, k := range keys[:n] {
			rowKeys = append(rowKeys, jobRowKey(k))
		}
		m, err := l.store.Get(ctx, rowKeys...)
		if err != nil {
			return nil, malformed, fmt.Errorf("load %d jobs: %w", n, err)
		}
		for _, r := range rowKeys {
			row, ok := m[r]
			if !ok {
				continue
			}
			e, err := decode(row)
			if err != nil {
				malformed++
				continue
			}
			entries = append(entries, e)
		}
		keys = keys[n:]
	}
	return entries, malformed, nil
}

// decode returns the valid record that row holds, or ErrMalformed.
func decode(row table.Row) (Entry, error) {
	var r jobs.Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Entry{}, fmt.Errorf("%w %s: %w", ErrMalformed, row.Key, err)
	}
	if err := r.Check().Err(); err != nil {
		return Entry{}, fmt.Errorf("%w %s: %w", ErrMalformed, row.Key, err)
	}
	return Entry{&r, row.Version}, nil
}

// ListOpen returns the keys of the jobs of a cell that have not ended.
func (l *Ledger) ListOpen(ctx context.Context, cell string) ([]jobs.Key, error) {
	prefix := openRowKey(cell, jobs.Key{})
	prefix = strings.TrimSuffix(prefix, "/")
	var keys []jobs.Key
	for after := ""; ; {
		p, err := l.store.Scan(ctx, prefix, after, table.MaxPage)
		if err != nil {
			return nil, fmt.Errorf("list open jobs of %s: %w", cell, err)
		}
		for _, r := range p.Rows {
			after = r.Key
			a, id, ok := strings.Cut(strings.TrimPrefix(r.Key, prefix), "/")
			if ok {
				keys = append(keys, jobs.Key{Account: a, ID: id})
			}
		}
		if !p.More {
			return keys, nil
		}
	}
}

// List returns up to limit records of an account whose IDs come after the given one, in the order
// of IDs, and whether there are more. It leaves out malformed records.
func (l *Ledger) List(ctx context.Context, account, after string, limit int) (list []*jobs.Record, more bool, err error) {
	prefix := jobRowKey(jobs.Key{Account: account})
	from := ""
	if after != "" {
		from = prefix + after
	}
	p, err := l.store.Scan(ctx, prefix, from, limit)
	if err != nil {
		return nil, false, fmt.Errorf("list jobs of %s: %w", account, err)
	}
	for _, row := range p.Rows {
		e, err := decode(row)
		if err == nil {
			list = append(list, e.Record)
		}
	}
	return list, p.More, nil
}

// Owner is the host that decides for a cell, and its epoch.
type Owner struct {
	Host  string
	Epoch int64
}

// Check returns the invalid fields of a decoded owner.
func (o *Owner) Check() fault.List {
	var l fault.List
	l.Check(jobs.ValidName(o.Host), "Host", o.Host, jobs.NameRule)
	l.Check(o.Epoch > 0, "Epoch", o.Epoch, "1 or more")
	return l
}

// Ownership is the right to decide for a cell in an epoch. Writes with it fail once another host
// has acquired the cell.
type Ownership struct {
	Cell  string
	Epoch int64
	// version is that of the cell's fence row, which the conditions of writes require.
	version int64
}

// Owner reads the owner of a cell. It returns the zero Owner if the cell never had one.
func (l *Ledger) Owner(ctx context.Context, cell string) (Owner, error) {
	o, _, err := l.readOwner(ctx, cell)
	return o, err
}

// readOwner returns the owner of a cell and the version of its fence row, which is 0 if there is
// no row.
func (l *Ledger) readOwner(ctx context.Context, cell string) (Owner, int64, error) {
	m, err := l.store.Get(ctx, cellRowKey(cell))
	if err != nil {
		return Owner{}, 0, fmt.Errorf("read owner of %s: %w", cell, err)
	}
	row, ok := m[cellRowKey(cell)]
	if !ok {
		return Owner{}, 0, nil
	}
	var o Owner
	if err := json.Unmarshal(row.Value, &o); err != nil || len(o.Check()) > 0 {
		return Owner{}, 0, fmt.Errorf("%w %s", ErrMalformed, row.Key)
	}
	return o, row.Version, nil
}

// Acquire makes host the decider of a cell in the next epoch. It returns ErrChanged if the cell has
// a newer epoch than that of the owner that the caller has seen, or was acquired by another host
// meanwhile. A zero seen matches any owner.
func (l *Ledger) Acquire(ctx context.Context, cell, host string, seen Owner) (Ownership, error) {
	o, v, err := l.readOwner(ctx, cell)
	if err != nil {
		return Ownership{}, err
	}
	if o.Epoch > seen.Epoch && seen.Epoch > 0 {
		return Ownership{}, fmt.Errorf("acquire cell %s: %w", cell, ErrChanged)
	}
	n := Owner{host, o.Epoch + 1}
	w, err := table.Put(cellRowKey(cell), n)
	if err != nil {
		return Ownership{}, err
	}
	r, err := l.committer.Commit(ctx, table.Transaction{Conditions: []table.Condition{{Key: cellRowKey(cell), Version: v}}, Writes: []table.Write{w}})
	if err != nil {
		return Ownership{}, fmt.Errorf("acquire cell %s: %w", cell, err)
	}
	if len(r.Conflicts) > 0 {
		return Ownership{}, fmt.Errorf("acquire cell %s: %w", cell, ErrChanged)
	}
	return Ownership{cell, n.Epoch, r.Versions[0]}, nil
}

// Update writes a record and returns the new version of its row. If the record is final, it also
// deletes the row that marks the job as open. It returns ErrFenced if the cell was acquired by
// another host, and ErrChanged if the record was changed.
func (l *Ledger) Update(ctx context.Context, h Ownership, e Entry) (int64, error) {
	k := e.Record.Spec.Key()
	w, err := table.Put(jobRowKey(k), e.Record)
	if err != nil {
		return 0, err
	}
	t := table.Transaction{Conditions: l.fenceConditions(h, e), Writes: []table.Write{w}}
	if e.Record.Final() {
		t.Writes = append(t.Writes, table.Remove(openRowKey(h.Cell, k)))
	}
	return l.commitFenced(ctx, h, t)
}

// Move transfers a job to another cell and returns the new version of its row. It returns the same
// errors as Update.
func (l *Ledger) Move(ctx context.Context, h Ownership, e Entry, cell string) (int64, error) {
	k := e.Record.Spec.Key()
	r := *e.Record
	r.Cell = cell
	w, err := table.Put(jobRowKey(k), &r)
	if err != nil {
		return 0, err
	}
	return l.commitFenced(ctx, h, table.Transaction{
		Conditions: l.fenceConditions(h, e),
		Writes:     []table.Write{w, {Key: openRowKey(cell, k), Value: json.RawMessage("{}")}, table.Remove(openRowKey(h.Cell, k))},
	})
}

// fenceConditions returns the conditions that the cell hasn't been acquired by another host and
// that the record hasn't changed since it was read.
func (l *Ledger) fenceConditions(h Ownership, e Entry) []table.Condition {
	return []table.Condition{{Key: cellRowKey(h.Cell), Version: h.version}, {Key: jobRowKey(e.Record.Spec.Key()), Version: e.Version}}
}

// commitFenced commits t, whose conditions are those of fenceConditions, and returns the new
// version of the first row that t writes.
func (l *Ledger) commitFenced(ctx context.Context, h Ownership, t table.Transaction) (int64, error) {
	r, err := l.committer.Commit(ctx, t)
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", t.Writes[0].Key, err)
	}
	// ErrFenced takes precedence: a decider that lost its cell must stop, not read again.
	for _, c := range r.Conflicts {
		if c == cellRowKey(h.Cell) {
			return 0, fmt.Errorf("write %s: %w", t.Writes[0].Key, ErrFenced)
		}
	}
	if len(r.Conflicts) > 0 {
		return 0, fmt.Errorf("write %s: %w", t.Writes[0].Key, ErrChanged)
	}
	return r.Versions[0], nil
}
