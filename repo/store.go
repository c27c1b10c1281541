// Package repo keeps jobs, their progress and who decides for a pool in the
// platform's table service.
package repo

import (
	"context"
	"errors"
	"time"
)

// Row is one row of the table service.
type Row struct {
	Table, Partition, Key string
	Value                 []byte
	// Version is 0 for a row that doesn't exist.
	Version int64
	Deleted bool
}

// Condition is the version that a row must have, 0 if it must not exist.
type Condition struct {
	Table, Partition, Key string
	Version               int64
}

// Change is one transaction: all of Put and Delete, if all conditions hold.
// One over several parts takes twice as long.
type Change struct {
	If     []Condition
	Put    []Row
	Delete []Row
}

// Result is the answer to a Change.
type Result struct {
	Applied bool
	// Version is that of the rows which were put.
	Version int64
	// Current holds the rows of the conditions, if the change wasn't applied.
	Current []Row
	// Now is the store's steady clock as it answered, 0 if it didn't tell.
	Now time.Duration
}

// Page is rows as of a single moment.
type Page struct {
	Rows []Row
	// More says that rows behind the last one were left out.
	More bool
	// Version is the newest version of the store when it answered.
	Version int64
	// Now is the store's steady clock as it answered, 0 if it didn't tell.
	Now time.Duration
}

// ErrNotDone is within an error after which nothing was done and nothing will
// be. After any other error a change may still be carried out.
var ErrNotDone = errors.New("nothing was done")

// ErrHistoryGone is within an error of Feed whose start is no longer known.
var ErrHistoryGone = errors.New("history is no longer available")

// Store is the table service.
type Store interface {
	// Apply carries out a change.
	Apply(ctx context.Context, c Change) (Result, error)
	// List returns rows of a part of a table from key on, limit at most.
	List(ctx context.Context, table, part, from string, limit int) (Page, error)
	// Feed returns the rows of all parts that changed behind a version,
	// waiting for one.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}
