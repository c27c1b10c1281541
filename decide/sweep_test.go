package decide

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/event"
	"citronbridge/fakes/rows"
	"citronbridge/repo"
)

// available is a repo.Health of a store that answers.
type available struct{}

func (available) Unavailable() bool { return false }

// TestSweepOfUnsubmittedJobs guards against rows that are never deleted: those of jobs that
// were cancelled before they were stored, of which a decider learns from the feed, before or
// after it has loaded the partition.
func TestSweepOfUnsubmittedJobs(t *testing.T) {
	const id = "00000000000000aa"
	for _, loaded := range []bool{false, true} {
		m := rows.New()
		if v, err := repo.New(m, available{}).Cancel(t.Context(), repo.Caller{PublicQueue: "q"}, id); v != repo.Absent {
			t.Fatal(v, err)
		}
		before := m.CallCount()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		d := &Decider{c: Config{Pool: "p", Store: m}, log: zerolog.Nop(), ctx: ctx, cancel: cancel, events: make(chan event.Event, 1)}
		s := &partition{d: d, name: repo.PartitionOf(repo.TableRecords, id), endedAt: map[string]int64{}, loaded: loaded}
		s.writer = d.newWriter(repo.Condition{Table: repo.TableFences, Partition: s.name, Key: "p"})
		list := func(table string) []repo.Row {
			p, err := m.List(ctx, table, s.name, "", 10)
			if err != nil {
				t.Fatal(err)
			}
			return p.Rows
		}
		for _, r := range list(repo.TableCancels) {
			s.jobCanceled(r)
		}
		s.loaded = true
		s.sweep(time.Now().Add(-time.Minute).UnixMilli())
		if len(s.endedAt) != 1 {
			t.Fatalf("loaded %v: the decider doesn't know of the cancellation, or has swept it too soon", loaded)
		}
		s.sweep(time.Now().Add(time.Minute).UnixMilli())
		go s.writer.Run(ctx)
		for ctx.Err() == nil && len(list(repo.TableRecords))+len(list(repo.TableCancels)) > 0 {
			time.Sleep(time.Millisecond)
		}
		if ctx.Err() != nil || len(d.events) > 0 {
			t.Errorf("loaded %v: rows are left after %d store calls; %d events", loaded, m.CallCount()-before, len(d.events))
		}
		cancel()
	}
}
