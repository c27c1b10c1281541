package table

import (
	"context"
	"slices"
	"sync"
)

// batchesInFlight bounds the commits that a Batcher has under way at once.
const batchesInFlight = 4

// committer commits one transaction.
type committer interface {
	Commit(ctx context.Context, t Transaction) (Result, error)
}

var _ committer = (*Client)(nil)

// Batcher groups transactions that arrive while others are under way into
// one, so that a flood of small ones costs few writes.
type Batcher struct {
	to committer

	mu      sync.Mutex
	queue   []*entry
	flights int
	busy    map[string]bool
}

type entry struct {
	t    Transaction
	done chan struct{}
	r    Result
	err  error
}

// NewBatcher returns a Batcher that commits to c.
func NewBatcher(c committer) *Batcher { return &Batcher{to: c, busy: map[string]bool{}} }

// Commit applies t, perhaps together with others. A conflict of another one
// in the group doesn't touch t.
func (b *Batcher) Commit(ctx context.Context, t Transaction) (Result, error) {
	e := &entry{t: t, done: make(chan struct{})}
	b.mu.Lock()
	b.queue = append(b.queue, e)
	b.launch()
	b.mu.Unlock()
	select {
	case <-e.done:
		return e.r, e.err
	case <-ctx.Done():
		return Result{}, commitError(true, ctx.Err())
	}
}

// launch starts a flight with what is queued. The lock is held.
func (b *Batcher) launch() {
	if b.flights >= batchesInFlight {
		return
	}
	g := b.take()
	if len(g) == 0 {
		return
	}
	b.flights++
	go b.fly(g)
}

// take removes a group from the queue whose keys no other flight writes.
func (b *Batcher) take() []*entry {
	var g, rest []*entry
	n := 0
	for _, e := range b.queue {
		if n+len(e.t.Writes) > MaxWrites || b.clashes(e) {
			rest = append(rest, e)
			continue
		}
		for _, w := range e.t.Writes {
			b.busy[w.Key] = true
		}
		n += len(e.t.Writes)
		g = append(g, e)
	}
	b.queue = rest
	return g
}

func (b *Batcher) clashes(e *entry) bool {
	return slices.ContainsFunc(e.t.Writes, func(w Write) bool { return b.busy[w.Key] })
}

// fly commits a group, then starts the next one.
func (b *Batcher) fly(g []*entry) {
	b.commit(g)
	b.mu.Lock()
	b.flights--
	for _, e := range g {
		for _, w := range e.t.Writes {
			delete(b.busy, w.Key)
		}
	}
	b.launch()
	b.mu.Unlock()
	for _, e := range g {
		close(e.done)
	}
}

// commit applies a group. Entries in conflict are taken out and told so, and
// the others are tried again.
func (b *Batcher) commit(g []*entry) {
	for len(g) > 0 {
		r, err := b.to.Commit(context.Background(), merge(g))
		if err != nil || len(r.Conflicts) == 0 {
			deliver(g, r, err)
			return
		}
		n := len(g)
		g = withoutConflicts(g, r.Conflicts)
		if len(g) == n {
			deliver(g, r, ErrUncertain)
			return
		}
	}
}

// withoutConflicts returns the entries that no conflict touches, and tells the
// others.
func withoutConflicts(g []*entry, conflicts []string) []*entry {
	var rest []*entry
	for _, e := range g {
		for _, c := range e.t.Conditions {
			if slices.Contains(conflicts, c.Key) {
				e.r.Conflicts = append(e.r.Conflicts, c.Key)
			}
		}
		if len(e.r.Conflicts) == 0 {
			rest = append(rest, e)
		}
	}
	return rest
}

// merge joins the transactions of a group. A condition that several share
// goes along once.
func merge(g []*entry) Transaction {
	var t Transaction
	seen := map[Condition]bool{}
	for _, e := range g {
		t.Writes = append(t.Writes, e.t.Writes...)
		for _, c := range e.t.Conditions {
			if !seen[c] {
				seen[c] = true
				t.Conditions = append(t.Conditions, c)
			}
		}
	}
	return t
}

// deliver hands each entry of a group its part of the result.
func deliver(g []*entry, r Result, err error) {
	for _, e := range g {
		e.err = err
		n := len(e.t.Writes)
		if err == nil && len(r.Versions) >= n {
			e.r.Versions = r.Versions[:n]
			r.Versions = r.Versions[n:]
		}
	}
}
