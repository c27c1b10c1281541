package decide

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/event"
	"citronbridge/fakes/rows"
	"citronbridge/repo"
	"citronbridge/work"
)

// newTestPartition returns the loaded and fenced partition of a job at the decider of a pool. The
// decider doesn't run.
func newTestPartition(t *testing.T, m *rows.Store, pool, id string, r *work.Rules) *partition {
	t.Helper()
	d := &Decider{c: Config{Pool: pool, Store: m, Owners: repo.NewOwners(m), Rules: func() *work.Rules { return r }}, log: zerolog.Nop(), ctx: t.Context(), events: make(chan event.Event, 10)}
	s := &partition{d: d, name: repo.PartitionOf(repo.TableRecords, id), endedAt: map[string]int64{}, loaded: true}
	c, mine, err := d.c.Owners.Fence(t.Context(), pool, s.name, 1)
	if err != nil || !mine {
		t.Fatal(mine, err)
	}
	s.writer = d.newWriter(c)
	return s
}

// submitJob stores a job and returns its row, as the feed has it.
func submitJob(t *testing.T, m *rows.Store, j *work.Job) repo.Row {
	t.Helper()
	if v, err := repo.New(m, available{}).Submit(t.Context(), repo.Caller{}, j); v != repo.Done {
		t.Fatal(v, err)
	}
	return storedRow(t, m, repo.TableJobs, j.ID)
}

// storedRow returns a row of a job.
func storedRow(t *testing.T, m *rows.Store, table, id string) repo.Row {
	t.Helper()
	p, err := m.List(t.Context(), table, repo.PartitionOf(table, id), id, 1)
	if err != nil || len(p.Rows) != 1 {
		t.Fatal(p, err)
	}
	return p.Rows[0]
}

// nextEvent returns the next event of a partition's decider, nil if there is none for long.
func nextEvent(s *partition) event.Event {
	select {
	case e := <-s.d.events:
		return e
	case <-time.After(10 * time.Second):
		return nil
	}
}

// TestJobOfNewerConfiguration guards against a job that the deciders of two pools run: one of them
// doesn't have the configuration yet that adds the other pool, and sends the queue there.
func TestJobOfNewerConfiguration(t *testing.T) {
	m := rows.New()
	former := &work.Rules{Version: 1, Queues: map[string]*work.Queue{"q": {Name: "q", Pool: "old"}}, Pools: map[string]*work.Pool{"old": {Name: "old"}}}
	newer := &work.Rules{Version: 2, Queues: map[string]*work.Queue{"q": {Name: "q", Pool: "new"}}, Pools: map[string]*work.Pool{"old": {Name: "old"}, "new": {Name: "new"}}}
	j := &work.Job{ID: "00000000000000aa", Queue: "q", Steps: []work.Step{{Count: 1}}, Terms: newer.Queues["q"].Terms(newer.Version)}
	row := submitJob(t, m, j)
	for _, c := range []struct {
		pool  string
		rules *work.Rules
		takes bool
	}{{"old", former, false}, {"old", newer, false}, {"new", newer, true}} {
		s := newTestPartition(t, m, c.pool, j.ID, c.rules)
		s.jobChanged(row)
		if takes := len(s.d.events) > 0; takes != c.takes {
			t.Errorf("the decider of pool %q with configuration %d takes the job: %v, want %v", c.pool, c.rules.Version, takes, c.takes)
		}
	}
}

// TestJobClaimedByTwoPools guards against the same whatever leads two deciders to take a job: only
// the first to record it as its own may start tasks.
func TestJobClaimedByTwoPools(t *testing.T) {
	m := rows.New()
	j := &work.Job{ID: "00000000000000aa", Queue: "q", Steps: []work.Step{{Count: 1}}}
	row := submitJob(t, m, j)
	claim := func(pool string) event.Event {
		s := newTestPartition(t, m, pool, j.ID, &work.Rules{})
		s.writer.RecordVersion(repo.TableRecords, j.ID, row.Version)
		rec := &work.Record{State: work.Running, Queue: "q", Pool: pool}
		b, err := rec.Encode()
		if err != nil {
			t.Fatal(err)
		}
		go s.writer.Run(t.Context())
		s.saveRecord(event.SaveRecord{ID: j.ID, Seq: 1, Record: b})
		return nextEvent(s)
	}
	if e, ok := claim("first").(event.RecordSaved); !ok {
		t.Errorf("the first claim is followed by %+v, want RecordSaved", e)
	}
	if e, ok := claim("second").(event.JobForeign); !ok || e.ID != j.ID {
		t.Errorf("the second claim is followed by %+v, want JobForeign", e)
	}
	rec, err := work.DecodeRecord(storedRow(t, m, repo.TableRecords, j.ID).Value)
	if err != nil || rec.Pool != "first" {
		t.Errorf("the job is recorded as that of pool %q (error %v), want the first", rec.Pool, err)
	}
}

// lossyStore is a store that loses the answer to a change and carries out no other before it is told
// to.
type lossyStore struct {
	repo.Store
	lost, resume chan struct{}
}

// Apply implements repo.Store.
func (s lossyStore) Apply(ctx context.Context, c repo.Change) (repo.Result, error) {
	select {
	case <-s.resume:
		return s.Store.Apply(ctx, c)
	default:
	}
	if _, err := s.Store.Apply(ctx, c); err != nil {
		return repo.Result{}, err
	}
	close(s.lost)
	<-s.resume
	return repo.Result{}, context.DeadlineExceeded
}

// TestHandOverWithoutAnswer guards against a hand-over that is repeated after its answer was lost,
// and overwrites what the new pool has recorded since.
func TestHandOverWithoutAnswer(t *testing.T) {
	for _, state := range []work.State{work.Running, work.Succeeded} {
		m := rows.New()
		j := &work.Job{ID: "00000000000000aa", Queue: "q", Steps: []work.Step{{Count: 1}}, Terms: work.Terms{Pool: "old", Version: 1}}
		row := submitJob(t, m, j)
		from := newTestPartition(t, m, "old", j.ID, &work.Rules{})
		lossy := lossyStore{m, make(chan struct{}), make(chan struct{})}
		from.d.c.Store = lossy
		c, _, err := from.d.c.Owners.Fence(t.Context(), "old", from.name, 1)
		if err != nil {
			t.Fatal(err)
		}
		from.writer = from.d.newWriter(c)
		from.writer.RecordVersion(repo.TableRecords, j.ID, row.Version)
		go from.writer.Run(t.Context())
		moved := *j
		moved.Terms, moved.Moves = work.Terms{Pool: "new", Version: 2}, 1
		job, err := work.EncodeJob(&moved)
		if err != nil {
			t.Fatal(err)
		}
		rec := (&work.Record{State: work.Running, Queue: "q"}).HandedOver("new", 7)
		value, err := rec.Encode()
		if err != nil {
			t.Fatal(err)
		}
		from.handOver(event.HandOver{ID: j.ID, Record: value, Job: job})
		<-lossy.lost

		to := newTestPartition(t, m, "new", j.ID, &work.Rules{})
		go to.writer.Run(t.Context())
		to.jobChanged(storedRow(t, m, repo.TableJobs, j.ID))
		added, ok := nextEvent(to).(event.JobAdded)
		if !ok || added.Record.LastRun != 7 || added.Job.Moves != 1 {
			t.Fatalf("the new pool's decider gets %+v", added)
		}
		added.Record.State = state
		if value, err = added.Record.Encode(); err != nil {
			t.Fatal(err)
		}
		to.saveRecord(event.SaveRecord{ID: j.ID, Seq: 1, Record: value, Final: state.Final()})
		if e, ok := nextEvent(to).(event.RecordSaved); !ok {
			t.Fatalf("%+v, want RecordSaved", e)
		}
		want := storedRow(t, m, repo.TableRecords, j.ID)

		close(lossy.resume)
		if e, ok := nextEvent(from).(event.JobForeign); !ok || e.ID != j.ID {
			t.Errorf("the former pool's decider gets %+v, want JobForeign", e)
		}
		if now := storedRow(t, m, repo.TableRecords, j.ID); now.Version != want.Version {
			t.Errorf("the record of a job that is %s was overwritten: %s", state, now.Value)
		}
		// The feed may repeat rows from before the hand-over.
		from.jobChanged(row)
		if len(from.d.events) > 0 {
			t.Error("the former pool's decider takes the job again")
		}
	}
}
