package repo

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"citronbridge/work"
)

// memoryStore is an in-memory Store into which tests inject failures and lost answers.
type memoryStore struct {
	mu      sync.Mutex
	rows    map[Condition]Row
	version int64
	// intercept, if set, decides for the nth change whether it is applied and which
	// error the caller gets.
	intercept func(n int, c Change) (apply bool, err error)
	calls     int
}

func newMemoryStore() *memoryStore { return &memoryStore{rows: map[Condition]Row{}} }

func rowID(t, p, k string) Condition { return Condition{Table: t, Partition: p, Key: k} }

var errAnswerLost = errors.New("answer lost")

func (m *memoryStore) Apply(_ context.Context, c Change) (Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	apply, err := true, error(nil)
	if m.intercept != nil {
		apply, err = m.intercept(m.calls, c)
	}
	var r Result
	if apply {
		r = m.apply(c)
	}
	return r, err
}

// partitionOfChange returns the partition of a change's first row.
func partitionOfChange(c Change) string {
	switch {
	case len(c.If) > 0:
		return c.If[0].Partition
	case len(c.Put) > 0:
		return c.Put[0].Partition
	}
	return c.Delete[0].Partition
}

func (m *memoryStore) apply(c Change) Result {
	partition := partitionOfChange(c)
	var current []Row
	ok := true
	for _, i := range c.If {
		if i.Partition != partition {
			panic("transaction spans two partitions")
		}
		r, found := m.rows[rowID(i.Table, i.Partition, i.Key)]
		if found {
			current = append(current, r)
		}
		ok = ok && r.Version == i.Version
	}
	if !ok {
		return Result{Current: current}
	}
	m.version++
	for _, r := range c.Put {
		r.Version = m.version
		m.rows[rowID(r.Table, r.Partition, r.Key)] = r
	}
	for _, r := range c.Delete {
		delete(m.rows, rowID(r.Table, r.Partition, r.Key))
	}
	return Result{Applied: true, Version: m.version}
}

func (m *memoryStore) List(_ context.Context, table, partition, from string, limit int) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := Page{Version: m.version}
	for _, k := range slices.SortedFunc(maps.Keys(m.rows), func(a, b Condition) int { return strings.Compare(a.Key, b.Key) }) {
		if k.Table == table && k.Partition == partition && k.Key >= from {
			if len(p.Rows) == limit {
				p.More = true
				break
			}
			p.Rows = append(p.Rows, m.rows[k])
		}
	}
	return p, nil
}

func (m *memoryStore) Feed(context.Context, string, int64, time.Duration) (Page, error) {
	return Page{}, errors.New("feeds are not implemented")
}

// fixedHealth is a Health that always reports the same state, true for unavailable.
type fixedHealth bool

// Unavailable implements Health.
func (o fixedHealth) Unavailable() bool { return bool(o) }

const jobID = "00000000000000aa"

// anyone is a caller without a key on the public queue of testJob.
var anyone = Caller{PublicQueue: "q"}

func testJob() *work.Job {
	return &work.Job{ID: jobID, Queue: "q", Steps: []work.Step{{Count: 1}}}
}

// TestSubmitVerdicts checks the verdict of Submit, and the rows it leaves, for each
// sequence of refused writes and lost answers.
func TestSubmitVerdicts(t *testing.T) {
	for _, c := range []struct {
		name      string
		intercept func(n int, c Change) (bool, error)
		want      Verdict
		rows      int
	}{
		{"done", nil, Done, 2},
		{"refused once", func(n int, _ Change) (bool, error) {
			if n == 1 {
				return false, ErrNotDone
			}
			return true, nil
		}, Done, 2},
		{"refused always", func(int, Change) (bool, error) { return false, ErrNotDone }, NotRun, 0},
		{"answer lost once", func(n int, _ Change) (bool, error) {
			if n == 1 {
				return true, errAnswerLost
			}
			return true, nil
		}, Done, 2},
		{"answers lost always", func(int, Change) (bool, error) { return false, errAnswerLost }, Ambiguous, 0},
		{"lost, then refused", func(n int, _ Change) (bool, error) {
			if n == 1 {
				return false, errAnswerLost
			}
			return false, ErrNotDone
		}, Ambiguous, 0},
	} {
		m := newMemoryStore()
		m.intercept = c.intercept
		ctx, cancel := context.WithTimeout(context.Background(), 4*retryInterval)
		v, _ := New(m, fixedHealth(false)).Submit(ctx, anyone, testJob())
		cancel()
		if v != c.want || len(m.rows) != c.rows {
			t.Errorf("%s: verdict %s with %d rows, want %s with %d", c.name, v, len(m.rows), c.want, c.rows)
		}
	}
}

// TestResubmitChangesNothing checks that a second submission under the same ID leaves the
// stored job as it is, even if its specification differs.
func TestResubmitChangesNothing(t *testing.T) {
	m := newMemoryStore()
	r := New(m, fixedHealth(false))
	ctx := context.Background()
	if v, err := r.Submit(ctx, anyone, testJob()); v != Done {
		t.Fatal(v, err)
	}
	before := maps.Clone(m.rows)
	other := testJob()
	other.Spec = "other"
	if v, err := r.Submit(ctx, anyone, other); v != Done {
		t.Fatal(v, err)
	}
	if !maps.EqualFunc(before, m.rows, func(a, b Row) bool { return a.Version == b.Version }) {
		t.Error("the second submission changed stored rows")
	}
}

func TestCancelVerdicts(t *testing.T) {
	m := newMemoryStore()
	r := New(m, fixedHealth(false))
	ctx := context.Background()
	if v, _ := r.Cancel(ctx, anyone, "00000000000000bb"); v != Absent {
		t.Errorf("cancelling an unknown job: %s", v)
	}
	r.Submit(ctx, anyone, testJob())
	for range 2 {
		if v, err := r.Cancel(ctx, anyone, jobID); v != Done {
			t.Errorf("cancelling the job: %s %v", v, err)
		}
	}
	if m.rows[rowID(TableCancels, PartitionOf(TableCancels, jobID), jobID)].Version == 0 {
		t.Error("the cancellation isn't stored")
	}
}

// newTestWriter returns a writer that has fenced the partition of jobID with epoch 3, and
// a flag that is set once it is deposed.
func newTestWriter(t *testing.T, m *memoryStore) (*Writer, *bool) {
	partition := PartitionOf(TableRecords, jobID)
	c, fenced, err := NewOwners(m).Fence(context.Background(), "pool", partition, 3)
	if err != nil || !fenced {
		t.Fatal(fenced, err)
	}
	deposed := false
	w := NewWriter(WriterConfig{
		Store: m, Owner: c, OnDeposed: func() { deposed = true }, OnConfirmed: func(time.Duration) {}, OnError: func(error) {},
		Now: func() time.Duration { return 0 },
	})
	return w, &deposed
}

// putAndRun writes a value of the record of jobID and runs the writer until the value is
// durable or the writer is deposed. It reports whether the value is durable.
func putAndRun(w *Writer, value string) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := false
	w.Put(TableRecords, jobID, []byte(value), func() { done = true; cancel() })
	w.Run(ctx)
	return done
}

// TestWriterResolvesLostAnswers loses the answers of writes that were applied and of some
// that weren't, and checks that each value becomes durable once, in order.
func TestWriterResolvesLostAnswers(t *testing.T) {
	m := newMemoryStore()
	w, _ := newTestWriter(t, m)
	for i, apply := range []bool{true, false, true, true, false} {
		first := true
		m.intercept = func(int, Change) (bool, error) {
			if first {
				first = false
				return apply, errAnswerLost
			}
			return true, nil
		}
		value := strings.Repeat("x", i+1)
		if !putAndRun(w, value) {
			t.Fatal("the writer stopped before the value was durable")
		}
		if r := m.rows[rowID(TableRecords, PartitionOf(TableRecords, jobID), jobID)]; string(r.Value) != value {
			t.Errorf("write %d: the stored value is %q", i, r.Value)
		}
	}
}

// TestLateWriteOverwritesNothing applies a delayed write after a newer one and checks that
// its conditions fail.
func TestLateWriteOverwritesNothing(t *testing.T) {
	m := newMemoryStore()
	w, _ := newTestWriter(t, m)
	var delayed Change
	m.intercept = func(_ int, c Change) (bool, error) {
		if delayed.Put == nil {
			delayed = c
			return false, errAnswerLost
		}
		return true, nil
	}
	putAndRun(w, "old")
	putAndRun(w, "new")
	if r := m.apply(delayed); r.Applied {
		t.Error("the delayed write was applied over a newer one")
	}
}

// TestFormerDeciderWritesNothing fences a partition with a higher epoch and checks that
// the former decider's writer is deposed and can't fence the partition again.
func TestFormerDeciderWritesNothing(t *testing.T) {
	m := newMemoryStore()
	w, deposed := newTestWriter(t, m)
	putAndRun(w, "mine")
	s := NewOwners(m)
	partition := PartitionOf(TableRecords, jobID)
	if _, fenced, err := s.Fence(context.Background(), "pool", partition, 4); err != nil || !fenced {
		t.Fatal(fenced, err)
	}
	if putAndRun(w, "late") || !*deposed {
		t.Error("a former decider has written after it was fenced")
	}
	if _, fenced, _ := s.Fence(context.Background(), "pool", partition, 3); fenced {
		t.Error("a former decider has fenced the partition again")
	}
}

// TestAcquireAndHeartbeat lets two hosts compete for a pool while answers get lost, and
// checks that only one owns it and that a former owner's heartbeat fails.
func TestAcquireAndHeartbeat(t *testing.T) {
	m := newMemoryStore()
	s := NewOwners(m)
	ctx := context.Background()
	a, b := Owner{Epoch: 1, Host: "a", Boot: "x"}, Owner{Epoch: 1, Host: "b", Boot: "y"}
	m.intercept = func(int, Change) (bool, error) { return true, errAnswerLost }
	ownership, err := s.Acquire(ctx, "pool", a, 0, 0)
	if err != nil || ownership == nil {
		t.Fatal("the pool isn't acquired though only the answer was lost:", err)
	}
	m.intercept = nil
	if other, err := s.Acquire(ctx, "pool", b, 0, 0); err != nil || other != nil {
		t.Error("a second host has acquired the pool too:", err)
	}
	for n := range 3 {
		if held, err := s.Heartbeat(ctx, ownership, Heartbeat{Epoch: 1, Host: "a", N: int64(n)}); !held || err != nil {
			t.Error("the owner's heartbeat failed:", held, err)
		}
	}
	m.intercept = func(int, Change) (bool, error) { return true, errAnswerLost }
	s.Heartbeat(ctx, ownership, Heartbeat{Epoch: 1, Host: "a", N: 8})
	m.intercept = nil
	if held, _ := s.Heartbeat(ctx, ownership, Heartbeat{Epoch: 1, Host: "a", N: 9}); !held {
		t.Error("the pool counts as lost after a heartbeat whose answer was lost")
	}
	_, v, err := s.Read(ctx, "pool")
	if err != nil {
		t.Fatal(err)
	}
	if successor, err := s.Acquire(ctx, "pool", Owner{Epoch: 2, Host: "b", Boot: "y"}, v, 0); successor == nil {
		t.Fatal("a successor can't acquire the pool:", err)
	}
	if held, _ := s.Heartbeat(ctx, ownership, Heartbeat{Epoch: 1, Host: "a", N: 10}); held {
		t.Error("a former owner's heartbeat reports the pool as held")
	}
}

// TestRelease releases a pool in spite of lost answers and rejected calls, and checks that
// a former owner's release doesn't change the successor's heartbeat.
func TestRelease(t *testing.T) {
	m := newMemoryStore()
	s := NewOwners(m)
	ctx := t.Context()
	ownership, err := s.Acquire(ctx, "pool", Owner{Epoch: 1, Host: "a", Boot: "x"}, 0, 0)
	if err != nil || ownership == nil {
		t.Fatal(err)
	}
	former := *ownership
	// The answer of one heartbeat is lost, then the store rejects one call.
	m.intercept = func(int, Change) (bool, error) { return true, errAnswerLost }
	s.Heartbeat(ctx, ownership, Heartbeat{Epoch: 1, Host: "a", N: 1})
	calls := 0
	m.intercept = func(int, Change) (bool, error) {
		if calls++; calls == 1 {
			return false, ErrNotDone
		}
		return true, nil
	}
	if err := s.Release(ctx, ownership, Heartbeat{Epoch: 1, Host: "a", N: -1}); err != nil {
		t.Fatal(err)
	}
	row := func() Heartbeat {
		p, err := m.List(ctx, TableHeartbeats, PartitionOf(TableHeartbeats, "pool"), "pool", 1)
		if err != nil || len(p.Rows) == 0 {
			t.Fatal("no heartbeat", err)
		}
		b, err := DecodeHeartbeat(p.Rows[0].Value)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	if b := row(); !b.Left || b.Epoch != 1 {
		t.Errorf("the last heartbeat is %+v", b)
	}
	m.intercept = nil
	_, v, err := s.Read(ctx, "pool")
	if err != nil {
		t.Fatal(err)
	}
	if successor, err := s.Acquire(ctx, "pool", Owner{Epoch: 2, Host: "b", Boot: "y"}, v, 0); successor == nil {
		t.Fatal("a successor can't acquire the pool:", err)
	}
	if err := s.Release(ctx, &former, Heartbeat{Epoch: 1, Host: "a", N: -1}); err != nil {
		t.Error(err)
	}
	if b := row(); b.Left || b.Epoch != 2 {
		t.Errorf("the successor's heartbeat is %+v", b)
	}
	// The retries end with the context.
	m.intercept = func(int, Change) (bool, error) { return false, ErrNotDone }
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	if err := s.Release(cancelled, ownership, Heartbeat{Epoch: 1, Host: "a"}); err == nil {
		t.Error("no error though nothing was written")
	}
}
