package fleet

import (
	"context"
	"slices"
	"sync"
	"time"
)

// lister reads the list of hosts.
type lister interface {
	List(ctx context.Context) (list []Host, bad int, err error)
}

var _ lister = (*Client)(nil)

// View is the last list of hosts that was read. It outlives outages.
type View struct {
	lister lister
	// OnMalformed, if set, is told of entries that can't be used.
	OnMalformed func(n int)

	mu       sync.Mutex
	hosts    []Host
	lastRead time.Time
	changed  chan struct{}
}

// NewView returns an empty View of what l lists.
func NewView(l lister) *View { return &View{lister: l, changed: make(chan struct{})} }

// Refresh reads the list. It keeps the old one if it can't.
func (v *View) Refresh(ctx context.Context, now time.Time) error {
	l, bad, err := v.lister.List(ctx)
	if err != nil {
		return err
	}
	if bad > 0 && v.OnMalformed != nil {
		v.OnMalformed(bad)
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

// LastRead returns when the list was last read.
func (v *View) LastRead() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lastRead
}

// Changed returns a channel that is closed when the list changes.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Hosts returns the hosts of a role. The slice is the caller's.
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

// Targets returns the targets of a cell.
func (v *View) Targets(cell string) []Host {
	return slices.DeleteFunc(v.Hosts(Target), func(h Host) bool { return h.DataCentre != cell })
}

// Cells returns the data centres that have targets, in the order of names.
func (v *View) Cells() []string {
	var l []string
	for _, h := range v.Hosts(Target) {
		l = append(l, h.DataCentre)
	}
	slices.Sort(l)
	return slices.Compact(l)
}
