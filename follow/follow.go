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
	// Spread tables are in the parts of jobs.
	Spread bool
	// Wait is how long one call waits for a change.
	Wait time.Duration
	// Pause, if set, returns how long to wait between two calls.
	Pause func() time.Duration
	// Now tells the time for Confirmed; suspended time counts.
	Now func() time.Duration
	// Listed is told all rows of the table: those that aren't among them are
	// gone. Changed is told single rows.
	Listed  func([]repo.Row)
	Changed func([]repo.Row)
	// Confirmed, if set, is told a time at which all changes up to then had
	// been passed on.
	Confirmed func(time.Duration)
	// Lost and Regained, if set, are told when calls begin to fail and when
	// they succeed again.
	Lost     func(error)
	Regained func()

	failing bool
}

// Bounds of the pause after a failed call of a feed.
const (
	feedPause    = 100 * time.Millisecond
	feedPauseMax = 400 * time.Millisecond
)

// Run follows the table. If after is positive it follows on from a version
// and doesn't list the table first.
func (f *Follower) Run(ctx context.Context, after int64) {
	pause := feedPause
	for ctx.Err() == nil {
		sent := f.Now()
		var err error
		if after == 0 {
			after, err = f.list(ctx)
		} else {
			after, err = f.follow(ctx, after, sent)
		}
		if err == nil {
			pause = feedPause
			if f.failing && f.Regained != nil {
				f.Regained()
			}
			f.failing = false
			f.pace(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !f.failing && f.Lost != nil {
			f.Lost(err)
		}
		f.failing = true
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, feedPauseMax)
	}
}

// pace waits between two calls.
func (f *Follower) pace(ctx context.Context) {
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

func (f *Follower) list(ctx context.Context) (int64, error) {
	sent := f.Now()
	var p repo.Page
	var err error
	if f.Spread {
		p, err = repo.ListAllPartitions(ctx, f.Store, f.Table)
	} else {
		p, err = repo.ListAll(ctx, f.Store, f.Table, "")
	}
	if err != nil {
		return 0, err
	}
	f.Listed(p.Rows)
	if f.Confirmed != nil {
		f.Confirmed(sent)
	}
	return p.Version, nil
}

func (f *Follower) follow(ctx context.Context, after int64, sent time.Duration) (int64, error) {
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
		f.Changed(p.Rows)
	}
	if f.Confirmed != nil {
		if len(p.Rows) == 0 {
			// An empty answer is given when the wait is over, not before.
			sent += min(wait, f.Now()-sent)
		}
		f.Confirmed(sent)
	}
	return max(after, p.Version), nil
}
