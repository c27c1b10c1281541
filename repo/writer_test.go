package repo

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestInvalidRowBlocksNoOther guards against a row that the store rejects, such as one that is
// too large, and that keeps all other rows of its partition from being written.
func TestInvalidRowBlocksNoOther(t *testing.T) {
	const large = "too large"
	m := newMemoryStore()
	w, deposed := newTestWriter(t, m)
	rejects := true
	m.intercept = func(_ int, c Change) (bool, error) {
		if rejects && slices.ContainsFunc(c.Put, func(r Row) bool { return string(r.Value) == large }) {
			return false, fmt.Errorf("apply: %w", ErrInvalid)
		}
		return true, nil
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*invalidRetryInterval)
	defer cancel()
	durable := make(chan string, 10)
	// All rows are in the partition of the writer.
	var keys []string
	for i := 0; len(keys) < 5; i++ {
		if k := fmt.Sprintf("%016x", i); PartitionOf(TableRecords, k) == PartitionOf(TableRecords, jobID) {
			keys = append(keys, k)
		}
	}
	put := func(value string) {
		w.Put(TableRecords, keys[0], []byte(value), func() { durable <- value })
		keys = keys[1:]
	}
	for _, v := range []string{"a", large, "b"} {
		put(v)
	}
	go w.Run(ctx)
	next := func() string {
		select {
		case v := <-durable:
			return v
		case <-ctx.Done():
			return "nothing"
		}
	}
	if a, b := next(), next(); a != "a" || b != "b" {
		t.Fatalf("durable: %s and %s, want a and b", a, b)
	}
	put("c")
	if v := next(); v != "c" {
		t.Fatalf("durable after the rejected row: %s, want c", v)
	}
	m.mu.Lock()
	rejects = false
	m.mu.Unlock()
	if v := next(); v != large || *deposed {
		t.Errorf("durable once the store accepts the row: %s; deposed %v", v, *deposed)
	}
	// A newer value takes the place of a rejected one, and both callers are told.
	m.mu.Lock()
	rejects = true
	m.mu.Unlock()
	w.Put(TableRecords, keys[0], []byte(large), func() { durable <- "first" })
	time.Sleep(invalidRetryInterval / 2)
	w.Put(TableRecords, keys[0], []byte("small"), func() { durable <- "second" })
	got := []string{next(), next()}
	slices.Sort(got)
	if !slices.Equal(got, []string{"first", "second"}) {
		t.Errorf("told of durable rows: %v", got)
	}
	time.Sleep(invalidRetryInterval)
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.rows[rowID(TableRecords, PartitionOf(TableRecords, keys[0]), keys[0])]; string(r.Value) != "small" {
		t.Errorf("the stored row is %q, want the newer value", r.Value)
	}
}
