package decide

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"citronbridge/event"
	"citronbridge/repo"
	"citronbridge/timer"
	"citronbridge/work"
)

// partition is one partition of the job tables. The decider fences each partition
// separately, so that an unavailable one doesn't delay the others.
type partition struct {
	d    *Decider
	name string
	// writer is set before the first job of the partition is handled. Until then it is read
	// under mu only.
	writer *repo.Writer

	// mu guards loaded, listVersion and buffered. It is held while events are enqueued, so the
	// goroutine that takes them from the queue must not lock it.
	mu     sync.Mutex
	loaded bool
	// listVersion is the store version of the list of jobs. Rows of the feed
	// that aren't newer were in the list.
	listVersion int64
	// buffered are rows that the feed reported before the partition was loaded.
	buffered []repo.Row

	// endedMu guards endedAt. Nothing that may block is done under it.
	endedMu sync.Mutex
	// endedAt holds the times at which the jobs with final records ended, in
	// Unix milliseconds, by job ID.
	endedAt map[string]int64
}

// run fences the partition, reads its jobs, retrying until that succeeds, and
// then writes its rows until the decider ends.
func (s *partition) run() {
	began := timer.SinceBoot()
	for s.d.ctx.Err() == nil {
		c, mine, err := s.d.c.Owners.Fence(s.d.ctx, s.d.c.Pool, s.name, s.d.c.Owner.Epoch)
		switch {
		case err != nil:
			s.d.log.Warn().Err(err).Str("part", s.name).Msg("partition not fenced; retrying")
		case !mine:
			s.d.ownershipLost()
			return
		default:
			if s.writer == nil {
				s.setWriter(s.d.newWriter(c))
			}
			var jobs int
			jobs, err = s.readJobs(s.d.ctx)
			if err == nil {
				s.d.log.Info().Str("part", s.name).Int("jobs", jobs).Dur("took", timer.SinceBoot()-began).Msg("jobs of the partition are loaded")
				s.writer.Run(s.d.ctx)
				return
			}
			s.d.log.Warn().Err(err).Str("part", s.name).Msg("jobs of the partition not read; retrying")
		}
		s.d.waitBeforeRetry()
	}
}

// setWriter sets the writer, which the feed of cancellations uses too.
func (s *partition) setWriter(w *repo.Writer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writer = w
}

// readJobs reads the partition's jobs. It is called once the partition is fenced,
// as no other decider can change a record from then on. It returns the number of jobs, those of
// other pools included.
func (s *partition) readJobs(ctx context.Context) (int, error) {
	var pages [3]repo.Page
	g, ctx := errgroup.WithContext(ctx)
	for i, t := range []string{repo.TableCancels, repo.TableJobs, repo.TableRecords} {
		g.Go(func() error {
			var err error
			pages[i], err = repo.ListAll(ctx, s.d.c.Store, t, s.name)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return 0, err
	}
	records := map[string]repo.Row{}
	for _, r := range pages[2].Rows {
		records[r.Key] = r
		s.trackEnded(r)
	}
	for _, r := range pages[0].Rows {
		s.jobCanceled(r)
	}
	for _, r := range pages[1].Rows {
		s.addJob(r, records[r.Key], true)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded, s.listVersion = true, pages[1].Version
	for _, r := range s.buffered {
		s.addNewer(r)
	}
	s.buffered = nil
	s.d.enqueue(event.PartitionLoaded{Partition: s.name})
	return len(pages[1].Rows), nil
}

// saveRecord makes a job's record durable. If the record is final, the job's own
// row is deleted in the same transaction.
func (s *partition) saveRecord(e event.SaveRecord) {
	id, seq := e.ID, e.Seq
	done := func() { s.d.enqueue(event.RecordSaved{ID: id, Seq: seq}) }
	if !e.Final {
		s.writer.Put(repo.TableRecords, id, e.Record, done)
		return
	}
	s.writer.Put(repo.TableRecords, id, e.Record, done, repo.TableJobs)
	s.setEnded(id, time.Now().UnixMilli())
}

// handOver makes it durable that a job belongs to another pool.
func (s *partition) handOver(e event.HandOver) {
	s.writer.PutBoth(repo.TableRecords, e.ID, e.Record, repo.TableJobs, e.Job, func() { s.d.enqueue(event.JobForeign{ID: e.ID}) })
}

// setEnded remembers when a job ended, in Unix milliseconds.
func (s *partition) setEnded(id string, at int64) {
	s.endedMu.Lock()
	defer s.endedMu.Unlock()
	s.endedAt[id] = at
}

// clearEnded forgets that a job ended: one of another account is stored under its ID now.
func (s *partition) clearEnded(id string) {
	s.endedMu.Lock()
	defer s.endedMu.Unlock()
	delete(s.endedAt, id)
}

// trackEnded remembers when the job of a final record ended, so that sweep
// deletes the record in time. Records that aren't final are ignored.
func (s *partition) trackEnded(r repo.Row) {
	rec, err := work.DecodeRecord(r.Value)
	if err != nil {
		s.d.log.Error().Err(err).Str("job", r.Key).Msg("job record can't be decoded; it won't be deleted")
		return
	}
	if !rec.State.Final() {
		return
	}
	s.writer.RecordVersion(repo.TableRecords, r.Key, r.Version)
	s.setEnded(r.Key, rec.Ended)
}

// jobCanceled handles a job's cancellation. A job that was never stored is only remembered for
// sweep, unless another account has submitted a job under its ID since.
func (s *partition) jobCanceled(r repo.Row) {
	c, err := repo.DecodeCancelRow(r.Value)
	if err != nil {
		s.d.log.Error().Err(err).Str("job", r.Key).Msg("cancellation can't be decoded; the job is cancelled all the same")
	}
	if c.Ended == 0 {
		s.d.enqueue(event.JobCanceled{ID: r.Key})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writer != nil {
		if s.writer.Version(repo.TableRecords, r.Key) > r.Version {
			return
		}
		s.writer.RecordVersion(repo.TableRecords, r.Key, r.Version)
	}
	s.setEnded(r.Key, c.Ended)
}

// sweep deletes the records and cancels of jobs that ended before a time, in Unix milliseconds.
func (s *partition) sweep(endedBefore int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded {
		return
	}
	s.endedMu.Lock()
	defer s.endedMu.Unlock()
	for id, at := range s.endedAt {
		if at < endedBefore {
			keep := func(value []byte) bool { return !endedRecord(value, endedBefore) }
			if s.writer.DeleteUnless(repo.TableRecords, id, keep, repo.TableCancels) {
				delete(s.endedAt, id)
			}
		}
	}
}

// endedRecord reports whether a record is that of a job that ended before a time, in Unix
// milliseconds.
func endedRecord(value []byte, before int64) bool {
	rec, err := work.DecodeRecord(value)
	return err == nil && rec.State.Final() && rec.Ended < before
}

// jobChanged handles a job's row from the feed.
func (s *partition) jobChanged(r repo.Row) {
	if r.Deleted {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded {
		s.buffered = append(s.buffered, r)
		return
	}
	s.addNewer(r)
}

// addNewer adds a job from the feed, unless the list of jobs held its row or the job has changed
// since: this decider may have handed it over.
func (s *partition) addNewer(r repo.Row) {
	if r.Version > s.listVersion && r.Version >= s.writer.Version(repo.TableRecords, r.Key) {
		s.addJob(r, repo.Row{}, false)
	}
}

// addMoved adds a job that was handed over, once its record is read.
func (s *partition) addMoved(r repo.Row, inherited bool) {
	for s.d.ctx.Err() == nil {
		p, err := s.d.c.Store.List(s.d.ctx, repo.TableRecords, s.name, r.Key, 1)
		if err != nil {
			s.d.log.Warn().Err(err).Str("job", r.Key).Msg("record of a job that was handed over not read; retrying")
			s.d.waitBeforeRetry()
			continue
		}
		if len(p.Rows) > 0 && p.Rows[0].Key == r.Key && p.Rows[0].Version >= r.Version {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.addJob(r, p.Rows[0], inherited)
		}
		return
	}
}

// addJob passes a job to the state machine, unless it belongs to another pool. The record is the
// zero row if it wasn't read. Inherited jobs may have tasks that a former decider started.
func (s *partition) addJob(r, record repo.Row, inherited bool) {
	j, err := work.DecodeJob(r.Value)
	if err != nil {
		s.d.log.Error().Err(err).Str("job", r.Key).Msg("job row can't be decoded; skipping this job")
		return
	}
	if j.Moves > 0 && record.Version < r.Version {
		// The record was read before the job was handed over, or not at all.
		if j.Terms.Pool == s.d.c.Pool {
			s.d.spawn(func() { s.addMoved(r, inherited) })
		} else {
			s.d.elsewhere(j.Terms.Pool)
		}
		return
	}
	rec := &work.Record{State: work.Pending, Queue: j.Queue}
	version := r.Version
	// A record that is older than the job's row is that of a cancellation by another account
	// before the job was stored. It was read before, and the job's own record has replaced it.
	if record.Value != nil && record.Version >= r.Version {
		if rec, err = work.DecodeRecord(record.Value); err != nil {
			s.d.log.Error().Err(err).Str("job", r.Key).Msg("job record can't be decoded; skipping this job")
			return
		}
		version = record.Version
	}
	// Records of earlier versions lack the account.
	rec.HasAccount, rec.Account = true, j.Tenant
	// Where the record wasn't read, its version is that of the job's row, as one
	// transaction writes both.
	if s.writer.Version(repo.TableRecords, r.Key) <= r.Version {
		s.clearEnded(r.Key)
	}
	s.writer.RecordVersion(repo.TableRecords, r.Key, version)
	pool := rec.Pool
	if pool == "" {
		pool = s.d.c.Rules().PoolOf(j)
	}
	if pool != s.d.c.Pool {
		s.d.elsewhere(pool)
		return
	}
	s.d.enqueue(event.JobAdded{Job: j, Record: rec, Inherited: inherited})
}
