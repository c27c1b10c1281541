// Package follow mirrors a table of the table service: it lists the table once and then
// reads its feed of changes.
package follow

import (
	"context"
	"errors"
	"time"

	"citronbridge/repo"
)

// Follower lists a table and then follows its changes until the context of Run ends.
type Follower struct {
	Store repo.Store
	Table string
	// Partitioned says that the table is spread over the job partitions.
	Partitioned bool
	// Wait is how long one call to the feed waits for a change.
	Wait time.Duration
	// Pause, if set, returns how long to wait after a successful call.
	Pause func() time.Duration
	// Now returns a monotonic time that includes the time of suspension, for
	// OnConfirmed.
	Now func() time.Duration
	// OnList is called with all rows of the table; rows that are not among them no
	// longer exist. OnChange is called with the rows that have changed since.
	OnList   func([]repo.Row)
	OnChange func([]repo.Row)
	// OnConfirmed, if set, is called with a time such that all changes made before it
	// have been passed on.
	OnConfirmed func(time.Duration)
	// OnFailure and OnRecovery, if set, are called when calls begin to fail and when
	// they succeed again.
	OnFailure  func(error)
	OnRecovery func()

	failing bool
}

// Bounds of the wait after a failed call, which doubles with each failure in a row.
const (
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
)

// Run follows the table until ctx ends. If after is positive Run starts with the changes
// after that version, and otherwise lists the table first.
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

// pauseBetweenCalls waits for the time that Pause returns.
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

// listTable reads the whole table and returns the version from which to follow it.
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

// readFeed reads the changes after a version, and returns the version to go on from. It is
// 0 if the store no longer keeps these changes and the table has to be listed again.
func (f *Follower) readFeed(ctx context.Context, after int64, sent time.Duration) (int64, error) {
	wait := f.Wait
	if f.failing {
		// An immediate answer shows without delay that the store works again.
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
			// The store sends an empty answer only when the wait is over, so
			// nothing changed until then.
			sent += min(wait, f.Now()-sent)
		}
		f.OnConfirmed(sent)
	}
	return max(after, p.Version), nil
}
