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

// TestDeleteUnless guards against a deletion of a row that others have replaced since: before the
// deletion is sent, while it is sent, or known to the writer before.
func TestDeleteUnless(t *testing.T) {
	for _, x := range []struct {
		name string
		// unknown is set if the writer doesn't know the row's version.
		unknown bool
		// replaced is when the row is replaced: "before" the deletion is queued, "queued" with
		// the new version reported to the writer, or "sent", with the deletion's answer lost.
		replaced string
		kept     bool
	}{
		{"as known", false, "", false}, {"unknown version", true, "", false}, {"replaced before", false, "before", true}, {"replaced, unknown version", true, "before", true},
		{"replaced when queued", false, "queued", true}, {"replaced when sent", false, "sent", true},
	} {
		m := newMemoryStore()
		w, _ := newTestWriter(t, m)
		put := func(value string) int64 {
			return m.apply(Change{Put: []Row{newRow(TableRecords, jobID, []byte(value)), newRow(TableCancels, jobID, []byte("{}"))}}).Version
		}
		v := put("old")
		if !x.unknown {
			w.RecordVersion(TableRecords, jobID, v)
		}
		if x.replaced == "before" {
			put("new")
		}
		if !w.DeleteUnless(TableRecords, jobID, func(b []byte) bool { return string(b) == "new" }, TableCancels) {
			t.Fatal("the deletion isn't queued")
		}
		if w.DeleteUnless(TableRecords, jobID, nil) {
			t.Error("a second deletion is queued")
		}
		if x.replaced == "queued" {
			w.RecordVersion(TableRecords, jobID, put("new"))
		}
		m.calls = 0
		m.intercept = func(n int, _ Change) (bool, error) {
			if x.replaced == "sent" && n == 1 {
				put("new")
				return false, errAnswerLost
			}
			return true, nil
		}
		// The row of another job is written in the same or in a later transaction.
		other := "00000000000000a0"
		for i := 0; PartitionOf(TableRecords, other) != PartitionOf(TableRecords, jobID); i++ {
			other = fmt.Sprintf("%016x", 0xa0+i)
		}
		ctx, cancel := context.WithCancel(t.Context())
		w.Put(TableRecords, other, []byte("other"), cancel)
		w.Run(ctx)
		cancel()
		row, stored := m.rows[rowID(TableRecords, PartitionOf(TableRecords, jobID), jobID)]
		if _, canceled := m.rows[rowID(TableCancels, PartitionOf(TableCancels, jobID), jobID)]; stored != x.kept || canceled != x.kept || x.kept && string(row.Value) != "new" {
			t.Errorf("%s: row stored %v with %q, cancellation %v, want %v", x.name, stored, row.Value, canceled, x.kept)
		}
		if len(m.rows) < 2 {
			t.Errorf("%s: the other row isn't stored", x.name)
		}
	}
}

// TestPutReplacesDeletion checks that a row that is written while its deletion is queued is
// written, and its cancellation kept.
func TestPutReplacesDeletion(t *testing.T) {
	m := newMemoryStore()
	w, _ := newTestWriter(t, m)
	v := m.apply(Change{Put: []Row{newRow(TableRecords, jobID, []byte("old")), newRow(TableCancels, jobID, []byte("{}"))}}).Version
	w.RecordVersion(TableRecords, jobID, v)
	w.DeleteUnless(TableRecords, jobID, func([]byte) bool { return false }, TableCancels)
	if !putAndRun(w, "new") {
		t.Fatal("the value isn't durable")
	}
	row := m.rows[rowID(TableRecords, PartitionOf(TableRecords, jobID), jobID)]
	if _, ok := m.rows[rowID(TableCancels, PartitionOf(TableCancels, jobID), jobID)]; string(row.Value) != "new" || !ok {
		t.Errorf("the row is %q; cancellation kept: %v", row.Value, ok)
	}
}
