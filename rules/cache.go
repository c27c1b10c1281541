package rules

import (
	"sync"
	"time"
)

// RevisionCache holds the highest revision of the manifest that a host has received. It is
// never replaced by an older one.
type RevisionCache struct {
	mu        sync.Mutex
	current   *Revision
	confirmed time.Time
	adopted   time.Time
	changed   chan struct{}
}

// NewRevisionCache returns a RevisionCache without a revision.
func NewRevisionCache() *RevisionCache { return &RevisionCache{changed: make(chan struct{})} }

// Adopt stores r if it is newer than the current revision, and reports whether it did.
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

// Confirm records that at the time now the given revision was the highest one at the store, or
// at a peer in another data centre. A revision newer than the current one confirms nothing.
func (b *RevisionCache) Confirm(number int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil && number <= b.current.Number && now.After(b.confirmed) {
		b.confirmed = now
	}
}

// Current returns the current revision, or nil if there is none yet. The caller must not
// change it.
func (b *RevisionCache) Current() *Revision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// Number returns the number of the current revision, or 0 if there is none yet.
func (b *RevisionCache) Number() int64 {
	if r := b.Current(); r != nil {
		return r.Number
	}
	return 0
}

// Fresh reports whether there is a revision that was confirmed no longer than d before now.
func (b *RevisionCache) Fresh(now time.Time, d time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current != nil && now.Sub(b.confirmed) <= d
}

// Changed returns a channel that is closed when the next revision is adopted.
func (b *RevisionCache) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}
