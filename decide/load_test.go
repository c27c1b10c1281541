package decide

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/event"
	"citronbridge/fakes/rows"
	"citronbridge/repo"
	"citronbridge/watch"
)

// writeWorkerRow makes a decider write a worker's row and returns the stored value.
func writeWorkerRow(t *testing.T, d *Decider, m *rows.Store, e event.RecordWorker) []byte {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d.ctx, d.events = ctx, make(chan event.Event, 1)
	d.writeWorker(e)
	go d.writer.Run(ctx)
	if got, ok := (<-d.events).(event.WorkerRecorded); !ok || got.Seq != e.Seq || got.ID != e.ID {
		t.Fatalf("got event %+v, want the WorkerRecorded of the written row", got)
	}
	p, err := m.List(ctx, repo.TableWorkers, "", repo.WorkerKey("p", e.ID), 1)
	if err != nil || len(p.Rows) != 1 {
		t.Fatalf("list worker rows: got %+v, error %v; want one row", p, err)
	}
	return p.Rows[0].Value
}

// TestLapsingWorkerRowRoundTrip guards against a successor that assumes that a
// worker's lease ends before it does. One decider writes the end of the lease,
// another host reads it later by its own estimate of the store's clock: the end
// is never too early, and unknown if the row or one of the clocks doesn't say.
func TestLapsingWorkerRowRoundTrip(t *testing.T) {
	const leaseLeft = 8 * time.Second
	now := time.Minute
	clock := func() *watch.Clock { return watch.NewClock(func() time.Duration { return now }) }
	for _, c := range []struct {
		name                 string
		writes, reads        bool
		lapsing              bool
		elapsed, least, most time.Duration
	}{
		{"in use", true, true, false, time.Second, maxLapse, maxLapse},
		{"lapsing", true, true, true, 3 * time.Second, leaseLeft - 3*time.Second, leaseLeft - 2*time.Second},
		{"long over", true, true, true, time.Minute, 0, 0},
		{"writer's clock isn't known", false, true, true, time.Minute, maxLapse, maxLapse},
		{"reader's clock isn't known", true, false, true, time.Minute, maxLapse, maxLapse},
	} {
		m := rows.New()
		writer, reader := clock(), clock()
		observe := func(k *watch.Clock) {
			if _, err := watch.Observe(clockStore{m, &now}, k, nil).List(t.Context(), "t", "", "", 1); err != nil {
				t.Fatal(err)
			}
		}
		if c.writes {
			observe(writer)
		}
		d := &Decider{c: Config{Pool: "p", Clock: writer, Store: m, Log: zerolog.Nop()}}
		d.writer = d.newWriter(repo.Condition{Table: repo.TableOwners, Key: "p"})
		row := writeWorkerRow(t, d, m, event.RecordWorker{ID: "w", Address: "a", Seq: 7, Lapsing: c.lapsing, LapsesIn: leaseLeft})
		now += c.elapsed
		if c.reads {
			observe(reader)
		}
		d.c.Clock = reader
		e := d.workerFromRow("w", row)
		if e.ID != "w" || e.Address != "a" || e.Lapsing != c.lapsing || e.LapsesIn < c.least || e.LapsesIn > c.most {
			t.Errorf("%s: %+v, want an end in %v to %v", c.name, e, c.least, c.most)
		}
	}
}

// clockStore is a store whose clock is an hour ahead of the hosts' clocks.
type clockStore struct {
	*rows.Store
	now *time.Duration
}

// List implements repo.Store.
func (s clockStore) List(ctx context.Context, table, part, from string, limit int) (repo.Page, error) {
	p, err := s.Store.List(ctx, table, part, from, limit)
	p.Now = *s.now + time.Hour
	return p, err
}

// TestUndecodableWorkerRow checks that a worker whose row can't be decoded is
// treated as one that may run any task.
func TestUndecodableWorkerRow(t *testing.T) {
	d := &Decider{c: Config{Clock: watch.NewClock(func() time.Duration { return 0 })}, log: zerolog.Nop()}
	if e := d.workerFromRow("w", []byte("10.0.0.1:80")); e.ID != "w" || e.Lapsing {
		t.Errorf("%+v", e)
	}
}
