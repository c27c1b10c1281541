// Package follow reads tables and then what changes in them.
package follow

import (
	"context"
	"errors"
	"time"

	"citronbridge/repo"
)

// Follower reads a table and then what changes in it, until its context ends.
type Follower struct {
	Store repo.Store
	Table string
	// Partitioned tables are in the parts of jobs.
	Partitioned bool
	// Wait is how long one call waits for a change.
	Wait time.Duration
	// Pause, if set, returns how long to wait between two calls.
	Pause func() time.Duration
	// Now tells the time for Confirmed; suspended time counts.
	Now func() time.Duration
	// OnList is told all rows of the table: those that aren't among them are
	// gone. Changed is told single rows.
	OnList   func([]repo.Row)
	OnChange func([]repo.Row)
	// OnConfirmed, if set, is told a time at which all changes up to then had
	// been passed on.
	OnConfirmed func(time.Duration)
	// OnFailure and Regained, if set, are told when calls begin to fail and when
	// they succeed again.
	OnFailure  func(error)
	OnRecovery func()

	failing bool
}

// Bounds of the pause after a failed call of a feed.
const (
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
)

// Run follows the table. If after is positive it follows on from a version
// and doesn't list the table first.
func (f *Follower) Run(ctx context.Context, after int64) {
	pause := minRetryPause
	for ctx.Err() == nil {
		sent := f.Now()
		var err error
		if after == 0 {
			after, err = f.listTable(ctx)
		} else {
			after, err = f.readFeed(ctx, after, sent)
		}
		if err == nil {
			pause = minRetryPause
			if f.failing && f.OnRecovery != nil {
				f.OnRecovery()
			}
			f.failing = false
			f.pauseBetweenCalls(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !f.failing && f.OnFailure != nil {
			f.OnFailure(err)
		}
		f.failing = true
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// pauseBetweenCalls waits between two calls.
func (f *Follower) pauseBetweenCalls(ctx context.Context) {
	if f.Pause == nil {
		return
	}
	if d := f.Pause(); d > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
}

func (f *Follower) listTable(ctx context.Context) (int64, error) {
	sent := f.Now()
	var p repo.Page
	var err error
	if f.Partitioned {
		p, err = repo.ListAllPartitions(ctx, f.Store, f.Table)
	} else {
		p, err = repo.ListAll(ctx, f.Store, f.Table, "")
	}
	if err != nil {
		return 0, err
	}
	f.OnList(p.Rows)
	if f.OnConfirmed != nil {
		f.OnConfirmed(sent)
	}
	return p.Version, nil
}

func (f *Follower) readFeed(ctx context.Context, after int64, sent time.Duration) (int64, error) {
	wait := f.Wait
	if f.failing {
		// An answer at once tells that the store is back.
		wait = 0
	}
	p, err := f.Store.Feed(ctx, f.Table, after, wait)
	if errors.Is(err, repo.ErrHistoryGone) {
		return 0, nil
	}
	if err != nil {
		return after, err
	}
	if len(p.Rows) > 0 {
		f.OnChange(p.Rows)
	}
	if f.OnConfirmed != nil {
		if len(p.Rows) == 0 {
			// An empty answer is given when the wait is over, not before.
			sent += min(wait, f.Now()-sent)
		}
		f.OnConfirmed(sent)
	}
	return max(after, p.Version), nil
}
