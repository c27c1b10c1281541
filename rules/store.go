package rules

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"citronbridge/fault"
	"citronbridge/table"
)

// store is the part of the table service's client that RevisionStore needs.
type store interface {
	Get(ctx context.Context, keys ...string) (map[string]table.Row, error)
	Scan(ctx context.Context, prefix, after string, limit int) (table.Page, error)
	Commit(ctx context.Context, t table.Transaction) (table.Result, error)
}

var _ store = (*table.Client)(nil)

// RevisionStore keeps the accepted revisions in the table service. The row Manifest/Current
// holds the one in force, and Manifest/History/NUMBER each accepted one.
type RevisionStore struct{ store store }

// NewRevisionStore returns a RevisionStore that keeps its rows in s.
func NewRevisionStore(s store) *RevisionStore { return &RevisionStore{s} }

const currentRow = "Manifest/Current"

const historyPrefix = "Manifest/History/"

func historyRow(n int64) string { return fmt.Sprintf("%s%012d", historyPrefix, n) }

// ErrSuperseded says that another manifest was accepted in the meantime.
var ErrSuperseded = errors.New("superseded")

// Read returns the revision in force, or nil if there is none.
func (g *RevisionStore) Read(ctx context.Context) (*Revision, error) {
	r, _, err := g.read(ctx)
	return r, err
}

// read returns the revision in force, or nil, and the version of its row, or 0.
func (g *RevisionStore) read(ctx context.Context) (*Revision, int64, error) {
	m, err := g.store.Get(ctx, currentRow)
	if err != nil {
		return nil, 0, fmt.Errorf("read manifest: %w", err)
	}
	row, ok := m[currentRow]
	if !ok {
		return nil, 0, nil
	}
	r, err := DecodeRevision(row.Value)
	return r, row.Version, err
}

// DecodeRevision decodes a revision and returns an error if it has faults.
func DecodeRevision(b []byte) (*Revision, error) {
	var r Revision
	if err := fault.CheckElements(b); err != nil {
		return nil, fmt.Errorf("decode revision: %w", err)
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("decode revision: %w", err)
	}
	if err := r.Check().Err(); err != nil {
		return nil, fmt.Errorf("decode revision: %w", err)
	}
	return &r, nil
}

// Propose stores m as the revision that follows base. If another manifest was accepted in the
// meantime it returns that one and ErrSuperseded. A proposal with an ID that is already in
// force returns the accepted revision, so it can be repeated.
func (g *RevisionStore) Propose(ctx context.Context, proposal string, base int64, m *Manifest) (*Revision, error) {
	cur, v, err := g.read(ctx)
	if err != nil {
		return nil, err
	}
	if cur != nil && cur.Proposal == proposal {
		return cur, nil
	}
	if n := numberOf(cur); n != base {
		return cur, fmt.Errorf("propose on revision %d: %w by revision %d", base, ErrSuperseded, n)
	}
	r := &Revision{Number: base + 1, Manifest: *m, Proposal: proposal}
	t, err := acceptTransaction(r, v)
	if err != nil {
		return nil, err
	}
	res, err := g.store.Commit(ctx, t)
	if err != nil {
		return nil, fmt.Errorf("accept manifest: %w", err)
	}
	if len(res.Conflicts) == 0 {
		return r, nil
	}
	cur, _, err = g.read(ctx)
	if err != nil {
		return nil, err
	}
	if cur != nil && cur.Proposal == proposal {
		return cur, nil
	}
	return cur, fmt.Errorf("propose on revision %d: %w by revision %d", base, ErrSuperseded, numberOf(cur))
}

// acceptTransaction returns the transaction that puts r in force, provided that the current
// row still has the given version.
func acceptTransaction(r *Revision, version int64) (table.Transaction, error) {
	c, err := table.Put(currentRow, r)
	if err != nil {
		return table.Transaction{}, err
	}
	h, err := table.Put(historyRow(r.Number), r)
	if err != nil {
		return table.Transaction{}, err
	}
	return table.Transaction{
		Conditions: []table.Condition{{Key: currentRow, Version: version}},
		Writes:     []table.Write{c, h},
	}, nil
}

// numberOf returns the number of a revision, or 0 if it is nil.
func numberOf(r *Revision) int64 {
	if r == nil {
		return 0
	}
	return r.Number
}

// History returns up to limit accepted revisions in ascending order, starting after the number
// after.
func (g *RevisionStore) History(ctx context.Context, after int64, limit int) ([]Revision, error) {
	p, err := g.store.Scan(ctx, historyPrefix, historyRow(after), limit)
	if err != nil {
		return nil, fmt.Errorf("read manifest history: %w", err)
	}
	l := make([]Revision, 0, len(p.Rows))
	for _, row := range p.Rows {
		r, err := DecodeRevision(row.Value)
		if err != nil {
			return nil, err
		}
		l = append(l, *r)
	}
	return l, nil
}
