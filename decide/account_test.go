package decide

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/event"
	"citronbridge/fakes/rows"
	"citronbridge/repo"
	"citronbridge/work"
)

// TestJobStoredAfterForeignCancel guards against a job that isn't run, or whose record is deleted
// while it runs, as another account cancelled an unknown job under its ID before. A decider learns
// of the cancel, the job and the time to delete the cancel's rows in any order; a letter of each
// order stands for one of them:
//
//	C the feed's row of the cancel     J the feed's row of the job
//	L a takeover's lists, of which that of the records is older than that of the jobs
//	F the same with fresh lists        S a sweep after the rows' retention
func TestJobStoredAfterForeignCancel(t *testing.T) {
	const id = "00000000000000aa"
	for _, order := range []string{"CJ", "JC", "J", "CJS", "JCS", "CSJ", "SCJ", "L", "LS", "LCS", "CLS", "LJCS", "F", "FS", "CFS", "FCS", "FJCS", "CSJS"} {
		t.Run(order, func(t *testing.T) {
			m := rows.New()
			r := repo.New(m, available{})
			if v, err := r.Cancel(t.Context(), repo.Caller{Account: "b"}, id); v != repo.Absent {
				t.Fatal(v, err)
			}
			list := func(table string) repo.Row {
				p, err := m.List(t.Context(), table, "", "", 10)
				if err != nil {
					t.Fatal(err)
				}
				for _, r := range p.Rows {
					return r
				}
				return repo.Row{}
			}
			canceled, oldRecord := list(repo.TableCancels), list(repo.TableRecords)
			j := &work.Job{ID: id, Queue: "q", Tenant: "a", Steps: []work.Step{{Count: 1}}, Terms: work.Terms{Pool: "p"}}
			if v, err := r.Submit(t.Context(), repo.Caller{Account: "a"}, j); v != repo.Done {
				t.Fatal(v, err)
			}
			job, record := list(repo.TableJobs), list(repo.TableRecords)

			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			rules := &work.Rules{Pools: map[string]*work.Pool{"p": {Name: "p"}}}
			d := &Decider{
				c: Config{Pool: "p", Store: m, Rules: func() *work.Rules { return rules }}, log: zerolog.Nop(), ctx: ctx, cancel: cancel, events: make(chan event.Event, 10),
			}
			s := &partition{d: d, name: repo.PartitionOf(repo.TableRecords, id), endedAt: map[string]int64{}, loaded: true}
			s.writer = d.newWriter(repo.Condition{Table: repo.TableFences, Partition: s.name, Key: "p"})
			for _, c := range order {
				switch c {
				case 'C':
					s.jobCanceled(canceled)
				case 'J':
					s.jobChanged(job)
				case 'L', 'F':
					if c == 'F' {
						oldRecord = record
					}
					s.trackEnded(oldRecord)
					if c == 'L' {
						s.jobCanceled(canceled)
					}
					s.addJob(job, oldRecord, true)
				case 'S':
					s.sweep(time.Now().Add(time.Minute).UnixMilli())
				}
			}
			added := 0
			for len(d.events) > 0 {
				e, ok := (<-d.events).(event.JobAdded)
				if !ok || e.Record.State != work.Pending || e.Record.Account != "a" || !e.Record.HasAccount {
					t.Errorf("event %+v", e)
				}
				added++
			}
			if added == 0 {
				t.Error("the job isn't run")
			}
			// A write that is queued last becomes durable after the sweeps.
			go s.writer.Run(ctx)
			written := make(chan struct{})
			s.writer.Put(repo.TableWorkers, "p/w", []byte("{}"), func() { close(written) })
			select {
			case <-written:
			case <-ctx.Done():
				t.Fatal("nothing is written")
			}
			if now := list(repo.TableRecords); now.Version != record.Version {
				t.Errorf("the record has version %d, want %d", now.Version, record.Version)
			}
		})
	}
}

// TestAccountOfInheritedRecord guards against a decider that writes records of earlier versions
// without the account again, which only the job's row has.
func TestAccountOfInheritedRecord(t *testing.T) {
	const id = "00000000000000aa"
	for _, account := range []string{"a", ""} {
		d := &Decider{c: Config{Pool: "p", Store: rows.New()}, log: zerolog.Nop(), ctx: t.Context(), events: make(chan event.Event, 1)}
		s := &partition{d: d, name: repo.PartitionOf(repo.TableRecords, id), endedAt: map[string]int64{}}
		s.writer = d.newWriter(repo.Condition{Table: repo.TableFences, Partition: s.name, Key: "p"})
		job := fmt.Sprintf(`{"ID":%q,"Queue":"q","Tenant":%q,"Steps":[{"Count":1}]}`, id, account)
		s.addJob(repo.Row{Key: id, Value: []byte(job), Version: 3}, repo.Row{Key: id, Value: []byte(`{"State":"Running","Queue":"q","Pool":"p"}`), Version: 4}, true)
		e := (<-d.events).(event.JobAdded)
		e.Record.State = work.Succeeded
		b, err := e.Record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		r, err := work.DecodeRecord(b)
		if err != nil {
			t.Fatal(err)
		}
		if submitter, ok := r.Submitter(); !ok || submitter != work.SubmitterOf(account, "q") {
			t.Errorf("account %q: the final record has the submitter %+v, known: %v", account, submitter, ok)
		}
	}
}
