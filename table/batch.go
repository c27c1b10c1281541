package table

import (
	"context"
	"slices"
	"sync"
)

// maxCommitsInFlight is the most commits that a Batcher has in flight at once.
const maxCommitsInFlight = 4

// committer commits one transaction.
type committer interface {
	Commit(ctx context.Context, t Transaction) (Result, error)
}

var _ committer = (*Client)(nil)

// Batcher combines transactions that arrive while commits are in flight into one transaction, so
// that many small transactions need only a few calls of the table service.
type Batcher struct {
	committer committer

	mu    sync.Mutex
	queue []*pendingCommit
	// inFlight is the number of commits in flight, and busyKeys holds the keys that they write.
	inFlight int
	busyKeys map[string]bool
}

// pendingCommit is a queued or running transaction. Its result is set when done is closed.
type pendingCommit struct {
	transaction Transaction
	done        chan struct{}
	result      Result
	err         error
}

// NewBatcher returns a Batcher that commits to c.
func NewBatcher(c committer) *Batcher { return &Batcher{committer: c, busyKeys: map[string]bool{}} }

// Commit applies t, possibly in one transaction with others. A conflict of another one doesn't
// affect t. If ctx ends first, the error is ErrUncertain, as t may still be committed. t may have
// up to MaxWrites writes; a larger one is never sent and stays queued.
func (b *Batcher) Commit(ctx context.Context, t Transaction) (Result, error) {
	e := &pendingCommit{transaction: t, done: make(chan struct{})}
	b.mu.Lock()
	b.queue = append(b.queue, e)
	b.startCommit()
	b.mu.Unlock()
	select {
	case <-e.done:
		return e.result, e.err
	case <-ctx.Done():
		return Result{}, commitError(true, ctx.Err())
	}
}

// startCommit starts to commit queued transactions, if any can be and fewer than maxCommitsInFlight
// commits are in flight. The caller holds b.mu.
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

// nextGroup removes transactions from the queue that can be committed as one: together they have at
// most MaxWrites writes, and no two of them and no commit in flight write the same key. The caller
// holds b.mu.
func (b *Batcher) nextGroup() []*pendingCommit {
	var g, rest []*pendingCommit
	n := 0
	for _, e := range b.queue {
		if n+len(e.transaction.Writes) > MaxWrites || b.writesBusyKey(e) {
			rest = append(rest, e)
			continue
		}
		for _, w := range e.transaction.Writes {
			b.busyKeys[w.Key] = true
		}
		n += len(e.transaction.Writes)
		g = append(g, e)
	}
	b.queue = rest
	return g
}

// writesBusyKey reports whether e writes a key that a commit in flight or an earlier transaction of
// the group writes. The caller holds b.mu.
func (b *Batcher) writesBusyKey(e *pendingCommit) bool {
	return slices.ContainsFunc(e.transaction.Writes, func(w Write) bool { return b.busyKeys[w.Key] })
}

// runCommit commits a group, starts the next one, and then wakes the callers of Commit.
func (b *Batcher) runCommit(g []*pendingCommit) {
	b.commitGroup(g)
	b.mu.Lock()
	b.inFlight--
	for _, e := range g {
		for _, w := range e.transaction.Writes {
			delete(b.busyKeys, w.Key)
		}
	}
	b.startCommit()
	b.mu.Unlock()
	for _, e := range g {
		close(e.done)
	}
}

// commitGroup applies a group as one transaction. If conditions don't hold, it removes the
// transactions that have them, records their conflicts and tries again with the others.
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
			// No condition of the group has one of the conflicting keys, so the answer is invalid,
			// and trying again could loop forever.
			setResults(g, r, ErrUncertain)
			return
		}
	}
}

// dropConflicting returns the transactions without a condition on any of the conflicting keys. It
// records the conflicts of the others as their results.
func dropConflicting(g []*pendingCommit, conflicts []string) []*pendingCommit {
	var rest []*pendingCommit
	for _, e := range g {
		for _, c := range e.transaction.Conditions {
			if slices.Contains(conflicts, c.Key) {
				e.result.Conflicts = append(e.result.Conflicts, c.Key)
			}
		}
		if len(e.result.Conflicts) == 0 {
			rest = append(rest, e)
		}
	}
	return rest
}

// merge combines the transactions of a group into one. A condition that several of them have, such
// as that on a fence row, occurs once.
func merge(g []*pendingCommit) Transaction {
	var t Transaction
	seen := map[Condition]bool{}
	for _, e := range g {
		t.Writes = append(t.Writes, e.transaction.Writes...)
		for _, c := range e.transaction.Conditions {
			if !seen[c] {
				seen[c] = true
				t.Conditions = append(t.Conditions, c)
			}
		}
	}
	return t
}

// setResults records the result of a commit in each transaction of the group. The versions in r
// are in the order of the merged writes.
func setResults(g []*pendingCommit, r Result, err error) {
	for _, e := range g {
		e.err = err
		n := len(e.transaction.Writes)
		if err == nil && len(r.Versions) >= n {
			e.result.Versions = r.Versions[:n]
			r.Versions = r.Versions[n:]
		}
	}
}
