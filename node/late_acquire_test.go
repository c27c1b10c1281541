package node

import (
	"context"
	"testing"

	"citronbridge/repo"
)

// lateStore is a store that carries out the first change only when the test says so.
type lateStore struct {
	repo.Store
	late *repo.Change
	done bool
}

// Apply implements repo.Store.
func (s *lateStore) Apply(ctx context.Context, c repo.Change) (repo.Result, error) {
	if !s.done {
		s.done, s.late = true, &c
		return repo.Result{}, context.DeadlineExceeded
	}
	return s.Store.Apply(ctx, c)
}

// TestAcquireCarriedOutLate is TestAcquireWithoutAnswer for an acquisition that the store carries
// out after the owner has been read again.
func TestAcquireCarriedOutLate(t *testing.T) {
	h, p := newHost(t)
	m := &lateStore{Store: h.store}
	h.owners = repo.NewOwners(m)
	c := &candidate{pool: "pool", acquiring: true}
	h.pools["pool"] = c
	h.tryAcquire(t.Context(), c, takeoverReason{unresponsive: true}, 0)
	if c.decider != nil || m.late == nil {
		t.Fatal("the pool was acquired without an answer")
	}
	if a, err := h.store.Apply(t.Context(), *m.late); err != nil || !a.Applied {
		t.Fatal(a, err)
	}
	electAfterHeartbeat(t, h, p, c)
	if c.decider == nil {
		t.Fatal("the host owns the pool and runs no decider")
	}
	c.decider.Stop(t.Context())
}
