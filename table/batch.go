package table

import (
	"context"
	"slices"
	"sync"
)

// maxCommitsInFlight bounds the commits that a Batcher has under way at once.
const maxCommitsInFlight = 4

// committer commits one transaction.
type committer interface {
	Commit(ctx context.Context, t Transaction) (Result, error)
}

var _ committer = (*Client)(nil)

// Batcher groups transactions that arrive while others are under way into
// one, so that a flood of small ones costs few writes.
type Batcher struct {
	committer committer

	mu       sync.Mutex
	queue    []*pendingCommit
	inFlight int
	busyKeys map[string]bool
}

type pendingCommit struct {
	t    Transaction
	done chan struct{}
	r    Result
	err  error
}

// NewBatcher returns a Batcher that commits to c.
func NewBatcher(c committer) *Batcher { return &Batcher{committer: c, busyKeys: map[string]bool{}} }

// Commit applies t, perhaps together with others. A conflict of another one
// in the group doesn't touch t.
func (b *Batcher) Commit(ctx context.Context, t Transaction) (Result, error) {
	e := &pendingCommit{t: t, done: make(chan struct{})}
	b.mu.Lock()
	b.queue = append(b.queue, e)
	b.startCommit()
	b.mu.Unlock()
	select {
	case <-e.done:
		return e.r, e.err
	case <-ctx.Done():
		return Result{}, commitError(true, ctx.Err())
	}
}

// startCommit starts a flight with what is queued. The lock is held.
func (b *Batcher) startCommit() {
	if b.inFlight >= maxCommitsInFlight {
		return
	}
	g := b.nextGroup()
	if len(g) == 0 {
		return
	}
	b.inFlight++
	go b.runCommit(g)
}

// nextGroup removes a group from the queue whose keys no other flight writes.
func (b *Batcher) nextGroup() []*pendingCommit {
	var g, rest []*pendingCommit
	n := 0
	for _, e := range b.queue {
		if n+len(e.t.Writes) > MaxWrites || b.writesBusyKey(e) {
			rest = append(rest, e)
			continue
		}
		for _, w := range e.t.Writes {
			b.busyKeys[w.Key] = true
		}
		n += len(e.t.Writes)
		g = append(g, e)
	}
	b.queue = rest
	return g
}

func (b *Batcher) writesBusyKey(e *pendingCommit) bool {
	return slices.ContainsFunc(e.t.Writes, func(w Write) bool { return b.busyKeys[w.Key] })
}

// runCommit commits a group, then starts the next one.
func (b *Batcher) runCommit(g []*pendingCommit) {
	b.commitGroup(g)
	b.mu.Lock()
	b.inFlight--
	for _, e := range g {
		for _, w := range e.t.Writes {
			delete(b.busyKeys, w.Key)
		}
	}
	b.startCommit()
	b.mu.Unlock()
	for _, e := range g {
		close(e.done)
	}
}

// commitGroup applies a group. Entries in conflict are taken out and told so, and
// the others are tried again.
func (b *Batcher) commitGroup(g []*pendingCommit) {
	for len(g) > 0 {
		r, err := b.committer.Commit(context.Background(), merge(g))
		if err != nil || len(r.Conflicts) == 0 {
			setResults(g, r, err)
			return
		}
		n := len(g)
		g = dropConflicting(g, r.Conflicts)
		if len(g) == n {
			setResults(g, r, ErrUncertain)
			return
		}
	}
}

// dropConflicting returns the entries that no conflict touches, and tells the
// others.
func dropConflicting(g []*pendingCommit, conflicts []string) []*pendingCommit {
	var rest []*pendingCommit
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
func merge(g []*pendingCommit) Transaction {
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

// setResults hands each entry of a group its part of the result.
func setResults(g []*pendingCommit, r Result, err error) {
	for _, e := range g {
		e.err = err
		n := len(e.t.Writes)
		if err == nil && len(r.Versions) >= n {
			e.r.Versions = r.Versions[:n]
			r.Versions = r.Versions[n:]
		}
	}
}
