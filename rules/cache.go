package rules

import (
	"sync"
	"time"
)

// RevisionCache holds the highest revision that a host has seen. It never goes back.
type RevisionCache struct {
	mu        sync.Mutex
	current   *Revision
	confirmed time.Time
	adopted   time.Time
	changed   chan struct{}
}

// NewRevisionCache returns a Book without a revision.
func NewRevisionCache() *RevisionCache { return &RevisionCache{changed: make(chan struct{})} }

// Adopt takes r if it is newer than what the book holds, and reports whether
// it was.
func (b *RevisionCache) Adopt(r *Revision, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil && r.Number <= b.current.Number {
		return false
	}
	b.current = r
	b.adopted = now
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}

// Confirm notes that number was the highest revision at the store, or at a
// peer in another data centre, at the time now.
func (b *RevisionCache) Confirm(number int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil && number <= b.current.Number && now.After(b.confirmed) {
		b.confirmed = now
	}
}

// Current returns the revision in force, or nil if there is none yet. It must
// not be changed.
func (b *RevisionCache) Current() *Revision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// Number returns the number of the revision in force, or 0.
func (b *RevisionCache) Number() int64 {
	if r := b.Current(); r != nil {
		return r.Number
	}
	return 0
}

// Fresh reports whether the revision was confirmed within d before now.
func (b *RevisionCache) Fresh(now time.Time, d time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current != nil && now.Sub(b.confirmed) <= d
}

// Changed returns a channel that is closed when the next revision comes.
func (b *RevisionCache) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}
