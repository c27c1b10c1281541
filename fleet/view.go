package fleet

import (
	"context"
	"slices"
	"sync"
	"time"
)

// lister returns the hosts with valid entries, and the number of the other entries.
type lister interface {
	List(ctx context.Context) (list []Host, malformed int, err error)
}

var _ lister = (*Client)(nil)

// View holds the list of hosts as it was last read. During an outage of the platform it keeps the
// old list.
type View struct {
	lister lister
	// OnMalformed, if set, is called with the number of invalid entries of a list that has any.
	OnMalformed func(n int)

	mu       sync.Mutex
	hosts    []Host
	lastRead time.Time
	// changed is closed and replaced when the list changes.
	changed chan struct{}
}

// NewView returns a View of the hosts that l lists. It is empty until Refresh is called.
func NewView(l lister) *View { return &View{lister: l, changed: make(chan struct{})} }

// Refresh reads the list. If that fails, it keeps the old list and returns the error.
func (v *View) Refresh(ctx context.Context, now time.Time) error {
	l, malformed, err := v.lister.List(ctx)
	if err != nil {
		return err
	}
	if malformed > 0 && v.OnMalformed != nil {
		v.OnMalformed(malformed)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastRead = now
	if slices.Equal(l, v.hosts) {
		return nil
	}
	v.hosts = l
	close(v.changed)
	v.changed = make(chan struct{})
	return nil
}

// LastRead returns when the list was last read, or the zero time if it has never been.
func (v *View) LastRead() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lastRead
}

// Changed returns a channel that is closed when the list next changes.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Hosts returns the hosts with a role. The caller may change the slice.
func (v *View) Hosts(r Role) []Host {
	v.mu.Lock()
	defer v.mu.Unlock()
	var l []Host
	for _, h := range v.hosts {
		if h.Role == r {
			l = append(l, h)
		}
	}
	return l
}

// Targets returns the targets of a cell, which are those of the data centre of the same name.
func (v *View) Targets(cell string) []Host {
	return slices.DeleteFunc(v.Hosts(Target), func(h Host) bool { return h.DataCentre != cell })
}

// Cells returns the names of the cells, sorted: the data centres that have targets.
func (v *View) Cells() []string {
	var l []string
	for _, h := range v.Hosts(Target) {
		l = append(l, h.DataCentre)
	}
	slices.Sort(l)
	return slices.Compact(l)
}
