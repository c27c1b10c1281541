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

// memory is a store in memory whose next answers a test can spoil.
type memory struct {
	mu      sync.Mutex
	rows    map[Condition]Row
	version int64
	// spoil, if set, decides what becomes of a change: done or not, and the
	// error that is answered.
	spoil func(n int, c Change) (do bool, err error)
	n     int
}

func newMemory() *memory { return &memory{rows: map[Condition]Row{}} }

func name(table, part, key string) Condition { return Condition{Table: table, Part: part, Key: key} }

var errLost = errors.New("no answer")

func (m *memory) Apply(_ context.Context, c Change) (Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.n++
	do, err := true, error(nil)
	if m.spoil != nil {
		do, err = m.spoil(m.n, c)
	}
	var r Result
	if do {
		r = m.apply(c)
	}
	return r, err
}

// partOfChange returns the part of a change's first row.
func partOfChange(c Change) string {
	switch {
	case len(c.If) > 0:
		return c.If[0].Part
	case len(c.Put) > 0:
		return c.Put[0].Part
	}
	return c.Delete[0].Part
}

func (m *memory) apply(c Change) Result {
	part := partOfChange(c)
	var current []Row
	ok := true
	for _, i := range c.If {
		if i.Part != part {
			panic("a transaction over two parts")
		}
		r, found := m.rows[name(i.Table, i.Part, i.Key)]
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
		m.rows[name(r.Table, r.Part, r.Key)] = r
	}
	for _, r := range c.Delete {
		delete(m.rows, name(r.Table, r.Part, r.Key))
	}
	return Result{Applied: true, Version: m.version}
}

func (m *memory) List(_ context.Context, table, part, from string, limit int) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := Page{Version: m.version}
	for _, k := range slices.SortedFunc(maps.Keys(m.rows), func(a, b Condition) int { return strings.Compare(a.Key, b.Key) }) {
		if k.Table == table && k.Part == part && k.Key >= from {
			if len(p.Rows) == limit {
				p.More = true
				break
			}
			p.Rows = append(p.Rows, m.rows[k])
		}
	}
	return p, nil
}

func (m *memory) Feed(context.Context, string, int64, time.Duration) (Page, error) {
	return Page{}, errors.New("not played")
}

// out is the health of a store that answers, or doesn't.
type out bool

// Out implements Health.
func (o out) Out() bool { return bool(o) }

const jobID = "00000000000000aa"

func aJob() *work.Job {
	return &work.Job{ID: jobID, Queue: "q", Steps: []work.Step{{Count: 1}}}
}

// TestSubmitVerdicts plays each way in which a submission's write can go.
func TestSubmitVerdicts(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(n int, c Change) (bool, error)
		want  Verdict
		rows  int
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
				return true, errLost
			}
			return true, nil
		}, Done, 2},
		{"answers lost always", func(int, Change) (bool, error) { return false, errLost }, Open, 0},
		{"lost, then refused", func(n int, _ Change) (bool, error) {
			if n == 1 {
				return false, errLost
			}
			return false, ErrNotDone
		}, Open, 0},
	} {
		m := newMemory()
		m.spoil = c.spoil
		ctx, cancel := context.WithTimeout(context.Background(), 4*retryPause)
		v, _ := New(m, out(false)).Submit(ctx, aJob())
		cancel()
		if v != c.want || len(m.rows) != c.rows {
			t.Errorf("%s: %s with %d rows, not %s with %d", c.name, v, len(m.rows), c.want, c.rows)
		}
	}
}

// TestSubmitAgain hands a job in twice: the second changes nothing.
func TestSubmitAgain(t *testing.T) {
	m := newMemory()
	r := New(m, out(false))
	ctx := context.Background()
	if v, err := r.Submit(ctx, aJob()); v != Done {
		t.Fatal(v, err)
	}
	before := maps.Clone(m.rows)
	other := aJob()
	other.Spec = "other"
	if v, err := r.Submit(ctx, other); v != Done {
		t.Fatal(v, err)
	}
	if !maps.EqualFunc(before, m.rows, func(a, b Row) bool { return a.Version == b.Version }) {
		t.Error("the second submission has changed rows")
	}
}

func TestCancelVerdicts(t *testing.T) {
	m := newMemory()
	r := New(m, out(false))
	ctx := context.Background()
	if v, _ := r.Cancel(ctx, jobID); v != Absent {
		t.Errorf("an unknown job: %s", v)
	}
	r.Submit(ctx, aJob())
	for range 2 {
		if v, err := r.Cancel(ctx, jobID); v != Done {
			t.Errorf("a cancel: %s %v", v, err)
		}
	}
	if m.rows[name(TableCancels, PartOf(TableCancels, jobID), jobID)].Version == 0 {
		t.Error("the cancel isn't stored")
	}
}

// newTestWriter returns a writer of the part that jobID is in.
func newTestWriter(t *testing.T, m *memory) (*Writer, *bool) {
	part := PartOf(TableRecords, jobID)
	c, mine, err := NewOwners(m).Fence(context.Background(), "pool", part, 3)
	if err != nil || !mine {
		t.Fatal(mine, err)
	}
	deposed := false
	w := NewWriter(WriterConfig{
		Store: m, Owner: c, Deposed: func() { deposed = true }, Confirmed: func(time.Duration) {}, Failed: func(error) {},
		Now: func() time.Duration { return 0 },
	})
	return w, &deposed
}

// settle puts a value and runs the writer until it is durable or the pool is
// lost.
func settle(w *Writer, value string) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := false
	w.Put(TableRecords, jobID, []byte(value), func() { done = true; cancel() })
	w.Run(ctx)
	return done
}

// TestWriterSettlesLostAnswers loses the answer of a write that was done, and
// of one that wasn't: each value is durable once, in order.
func TestWriterSettlesLostAnswers(t *testing.T) {
	m := newMemory()
	w, _ := newTestWriter(t, m)
	for i, do := range []bool{true, false, true, true, false} {
		first := true
		m.spoil = func(int, Change) (bool, error) {
			if first {
				first = false
				return do, errLost
			}
			return true, nil
		}
		value := strings.Repeat("x", i+1)
		if !settle(w, value) {
			t.Fatal("the writer gave up")
		}
		if r := m.rows[name(TableRecords, PartOf(TableRecords, jobID), jobID)]; string(r.Value) != value {
			t.Errorf("write %d: the row is %q", i, r.Value)
		}
	}
}

// TestLateWriteOverwritesNothing carries a write out after a newer one.
func TestLateWriteOverwritesNothing(t *testing.T) {
	m := newMemory()
	w, _ := newTestWriter(t, m)
	var late Change
	m.spoil = func(_ int, c Change) (bool, error) {
		if late.Put == nil {
			late = c
			return false, errLost
		}
		return true, nil
	}
	settle(w, "old")
	settle(w, "new")
	if r := m.apply(late); r.Applied {
		t.Error("the late write was carried out")
	}
}

// TestFormerDeciderWritesNothing takes a part away from a writer.
func TestFormerDeciderWritesNothing(t *testing.T) {
	m := newMemory()
	w, deposed := newTestWriter(t, m)
	settle(w, "mine")
	s := NewOwners(m)
	part := PartOf(TableRecords, jobID)
	if _, mine, err := s.Fence(context.Background(), "pool", part, 4); err != nil || !mine {
		t.Fatal(mine, err)
	}
	if settle(w, "late") || !*deposed {
		t.Error("a former decider has written")
	}
	if _, mine, _ := s.Fence(context.Background(), "pool", part, 3); mine {
		t.Error("a former decider has the part back")
	}
}

// TestTakeAndHeartbeat plays two hosts that want one pool, and lost answers.
func TestTakeAndHeartbeat(t *testing.T) {
	m := newMemory()
	s := NewOwners(m)
	ctx := context.Background()
	a, b := Owner{1, "a", "x"}, Owner{1, "b", "y"}
	m.spoil = func(int, Change) (bool, error) { return true, errLost }
	ownership, err := s.Take(ctx, "pool", a, 0)
	if err != nil || ownership == nil {
		t.Fatal("a lost answer wasn't settled:", err)
	}
	m.spoil = nil
	if other, err := s.Take(ctx, "pool", b, 0); err != nil || other != nil {
		t.Error("two hosts have the pool:", err)
	}
	for n := range 3 {
		if held, err := s.Heartbeat(ctx, ownership, Heartbeat{Epoch: 1, Host: "a", N: int64(n)}); !held || err != nil {
			t.Error("the owner's heartbeat:", held, err)
		}
	}
	m.spoil = func(int, Change) (bool, error) { return true, errLost }
	s.Heartbeat(ctx, ownership, Heartbeat{Epoch: 1, Host: "a", N: 8})
	m.spoil = nil
	if held, _ := s.Heartbeat(ctx, ownership, Heartbeat{Epoch: 1, Host: "a", N: 9}); !held {
		t.Error("a heartbeat whose answer was lost has cost the pool")
	}
	_, v, err := s.Read(ctx, "pool")
	if err != nil {
		t.Fatal(err)
	}
	if next, err := s.Take(ctx, "pool", Owner{2, "b", "y"}, v); next == nil {
		t.Fatal("a successor can't take the pool:", err)
	}
	if held, _ := s.Heartbeat(ctx, ownership, Heartbeat{Epoch: 1, Host: "a", N: 10}); held {
		t.Error("a former owner believes that it has the pool")
	}
}

// TestLeave gives a pool up through lost answers and calls that are rejected,
// and leaves a pool that is another's alone.
func TestLeave(t *testing.T) {
	m := newMemory()
	s := NewOwners(m)
	ctx := t.Context()
	ownership, err := s.Take(ctx, "pool", Owner{1, "a", "x"}, 0)
	if err != nil || ownership == nil {
		t.Fatal(err)
	}
	former := *ownership
	// A heartbeat whose answer is lost, then one call that does nothing.
	m.spoil = func(int, Change) (bool, error) { return true, errLost }
	s.Heartbeat(ctx, ownership, Heartbeat{Epoch: 1, Host: "a", N: 1})
	calls := 0
	m.spoil = func(int, Change) (bool, error) {
		if calls++; calls == 1 {
			return false, ErrNotDone
		}
		return true, nil
	}
	if err := s.Leave(ctx, ownership, Heartbeat{Epoch: 1, Host: "a", N: -1}); err != nil {
		t.Fatal(err)
	}
	row := func() Heartbeat {
		p, err := m.List(ctx, TableHeartbeats, PartOf(TableHeartbeats, "pool"), "pool", 1)
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
	m.spoil = nil
	_, v, err := s.Read(ctx, "pool")
	if err != nil {
		t.Fatal(err)
	}
	if next, err := s.Take(ctx, "pool", Owner{2, "b", "y"}, v); next == nil {
		t.Fatal("a successor can't take the pool:", err)
	}
	if err := s.Leave(ctx, &former, Heartbeat{Epoch: 1, Host: "a", N: -1}); err != nil {
		t.Error(err)
	}
	if b := row(); b.Left || b.Epoch != 2 {
		t.Errorf("the successor's heartbeat is %+v", b)
	}
	// A context that ends ends the tries.
	m.spoil = func(int, Change) (bool, error) { return false, ErrNotDone }
	over, cancel := context.WithCancel(ctx)
	cancel()
	if err := s.Leave(over, ownership, Heartbeat{Epoch: 1, Host: "a"}); err == nil {
		t.Error("no error though nothing was written")
	}
}
