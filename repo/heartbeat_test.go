package repo

import "testing"

// TestHeartbeatAfterLostAnswer guards against a heartbeat that counts as written although only an
// earlier one is, from which a successor counts how long the owner has been silent.
func TestHeartbeatAfterLostAnswer(t *testing.T) {
	m := newMemoryStore()
	s := NewOwners(m)
	self := Owner{Epoch: 1, Host: "a", Boot: "x"}
	o, err := s.Acquire(t.Context(), "pool", self, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	m.intercept = func(int, Change) (bool, error) { return true, errAnswerLost }
	s.Heartbeat(t.Context(), o, Heartbeat{Epoch: 1, Host: "a", N: 1})
	m.intercept = nil
	if held, err := s.Heartbeat(t.Context(), o, Heartbeat{Epoch: 1, Host: "a", N: 2}); !held || err != nil {
		t.Fatal("the owner's heartbeat failed:", held, err)
	}
	if b := storedHeartbeat(t, m); b.N != 2 {
		t.Errorf("the stored heartbeat is %d, want 2", b.N)
	}
}

// TestAcquireAfterNewHeartbeat guards against a successor that takes an owner for silent since a
// heartbeat that wasn't its last.
func TestAcquireAfterNewHeartbeat(t *testing.T) {
	m := newMemoryStore()
	s := NewOwners(m)
	o, err := s.Acquire(t.Context(), "pool", Owner{Epoch: 1, Host: "a", Boot: "x"}, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	known := o.Heartbeat.Version
	if held, err := s.Heartbeat(t.Context(), o, Heartbeat{Epoch: 1, Host: "a", N: 1}); !held || err != nil {
		t.Fatal(held, err)
	}
	successor := Owner{Epoch: 2, Host: "b", Boot: "y"}
	if n, err := s.Acquire(t.Context(), "pool", successor, o.Owner.Version, known); n != nil || err != nil {
		t.Error("the pool is acquired after another heartbeat:", err)
	}
	if n, err := s.Acquire(t.Context(), "pool", successor, o.Owner.Version, o.Heartbeat.Version); n == nil {
		t.Error("the pool isn't acquired after the last heartbeat:", err)
	}
}

// storedHeartbeat returns the heartbeat in the store.
func storedHeartbeat(t *testing.T, m *memoryStore) Heartbeat {
	t.Helper()
	p, err := m.List(t.Context(), TableHeartbeats, "", "pool", 1)
	if err != nil || len(p.Rows) != 1 {
		t.Fatal(p, err)
	}
	b, err := DecodeHeartbeat(p.Rows[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
