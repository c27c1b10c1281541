// Package rows is an in-memory fake of the platform's metadata store.
package rows

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"citronbridge/repo"
)

// Store is a repo.Store in memory. It ignores partitions, keeps no deleted rows and
// never waits.
type Store struct {
	mu      sync.Mutex
	rows    map[string]repo.Row
	version int64
	calls   int
}

var _ repo.Store = (*Store)(nil)

// now returns the store's clock, which advances by 1 s with each version.
func (s *Store) now() time.Duration { return time.Duration(s.version) * time.Second }

// New returns an empty Store.
func New() *Store { return &Store{rows: map[string]repo.Row{}} }

// CallCount returns the number of changes and reads so far.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Apply implements repo.Store.
func (s *Store) Apply(_ context.Context, c repo.Change) (repo.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	var current []repo.Row
	allHold := true
	for _, i := range c.If {
		r := s.rows[i.Table+"/"+i.Key]
		current = append(current, r)
		allHold = allHold && r.Version == i.Version
	}
	if !allHold {
		return repo.Result{Version: s.version, Current: current, Now: s.now()}, nil
	}
	s.version++
	for _, r := range c.Put {
		r.Version = s.version
		s.rows[r.Table+"/"+r.Key] = r
	}
	for _, r := range c.Delete {
		delete(s.rows, r.Table+"/"+r.Key)
	}
	return repo.Result{Applied: true, Version: s.version, Now: s.now()}, nil
}

// List implements repo.Store.
func (s *Store) List(_ context.Context, table, _, from string, limit int) (repo.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	p := repo.Page{Version: s.version, Now: s.now()}
	for _, r := range s.rows {
		if r.Table == table && r.Key >= from {
			p.Rows = append(p.Rows, r)
		}
	}
	slices.SortFunc(p.Rows, func(a, b repo.Row) int { return strings.Compare(a.Key, b.Key) })
	if limit > 0 && len(p.Rows) > limit {
		p.Rows, p.More = p.Rows[:limit], true
	}
	return p, nil
}

// Feed implements repo.Store. It returns all rows of the table at once, or
// ErrHistoryGone if after is negative.
func (s *Store) Feed(ctx context.Context, table string, after int64, _ time.Duration) (repo.Page, error) {
	s.mu.Lock()
	historyGone := after < 0
	s.mu.Unlock()
	if historyGone {
		return repo.Page{}, repo.ErrHistoryGone
	}
	return s.List(ctx, table, "", "", 0)
}
