// Package repo stores jobs, their progress and the ownership of pools in the platform's
// table service.
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

// Condition requires a row to have Version, or not to exist if Version is 0.
type Condition struct {
	Table, Partition, Key string
	Version               int64
}

// Change is one transaction: it writes all rows of Put and removes those of Delete if all
// conditions of If hold, and else does nothing. A transaction that spans several
// partitions takes twice as long as one within a partition.
type Change struct {
	If     []Condition
	Put    []Row
	Delete []Row
}

// Result is the answer to a Change.
type Result struct {
	Applied bool
	// Version is the new version of the written rows.
	Version int64
	// Current holds the stored rows that Change.If names, if the change wasn't applied.
	Current []Row
	// Now is the reading of the store's monotonic clock at the answer, 0 if unknown.
	Now time.Duration
}

// Page is a consistent snapshot of rows.
type Page struct {
	Rows []Row
	// More means that rows after the last one were left out.
	More bool
	// Version is the newest version of the store when it answered.
	Version int64
	// Now is the reading of the store's monotonic clock at the answer, 0 if unknown.
	Now time.Duration
}

// ErrNotDone is wrapped by errors after which the call has had no effect and will have
// none. After any other error a change may have been applied, or may still be.
var ErrNotDone = errors.New("nothing was done")

// ErrInvalid is wrapped by errors of Apply if the store rejects the change itself, such as a row
// that is too large. The change has had no effect.
var ErrInvalid = errors.New("store rejects the change")

// ErrHistoryGone is wrapped by errors of Feed if the store no longer keeps the changes
// since the requested version; the table has to be listed again.
var ErrHistoryGone = errors.New("history is no longer available")

// Store is the table service.
type Store interface {
	// Apply carries out a change, or returns the current rows if a condition fails.
	Apply(ctx context.Context, c Change) (Result, error)
	// List returns up to limit rows of one partition of a table, in the order of their
	// keys, beginning with the first key that is not less than from.
	List(ctx context.Context, table, partition, from string, limit int) (Page, error)
	// Feed returns the rows of a table, in all partitions, that changed after a
	// version. If there are none it waits for a change, up to wait.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}
