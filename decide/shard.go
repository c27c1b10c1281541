package decide

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"citronbridge/event"
	"citronbridge/repo"
	"citronbridge/work"
)

// partition is a part of the store with jobs. The decider takes each by a fence
// of its own, so that one that is away keeps nothing else back.
type partition struct {
	d    *Decider
	name string
	// writer is set before the first job of the part is taken in.
	writer *repo.Writer

	mu     sync.Mutex
	loaded bool
	// listVersion is that of the list of jobs: a feed that tells of older rows
	// tells nothing new.
	listVersion int64
	// endedAt is when the jobs whose records are final ended, in Unix
	// milliseconds.
	endedAt map[string]int64
	// buffered is what changed before the part was loaded.
	buffered []repo.Row
}

// run takes the part and reads its jobs, trying until it succeeds or the pool
// is lost.
func (s *partition) run() {
	for s.d.ctx.Err() == nil {
		c, mine, err := s.d.c.Owners.Fence(s.d.ctx, s.d.c.Pool, s.name, s.d.c.Owner.Epoch)
		switch {
		case err != nil:
			s.d.log.Warn().Err(err).Str("part", s.name).Msg("part can't be taken yet")
		case !mine:
			s.d.ownershipLost()
			return
		default:
			if s.writer == nil {
				s.writer = s.d.newWriter(c)
			}
			err = s.readJobs(s.d.ctx)
			if err == nil {
				s.writer.Run(s.d.ctx)
				return
			}
			s.d.log.Warn().Err(err).Str("part", s.name).Msg("part can't be read yet")
		}
		s.d.waitBeforeRetry()
	}
}

// readJobs lists the part's jobs after it was fenced: nobody else changes a record
// from then on.
func (s *partition) readJobs(ctx context.Context) error {
	var pages [3]repo.Page
	g, ctx := errgroup.WithContext(ctx)
	for i, t := range []string{repo.TableCancels, repo.TableJobs, repo.TableRecords} {
		g.Go(func() error {
			var err error
			pages[i], err = repo.All(ctx, s.d.c.Store, t, s.name)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	records := map[string]repo.Row{}
	for _, r := range pages[2].Rows {
		records[r.Key] = r
		s.trackEnded(r)
	}
	for _, r := range pages[0].Rows {
		s.d.enqueue(event.JobCanceled{ID: r.Key})
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
	s.d.enqueue(event.PartLoaded{Part: s.name})
	return nil
}

// saveRecord makes a record durable. The job's own row goes with a final one.
func (s *partition) saveRecord(e event.Save) {
	id, seq := e.ID, e.Seq
	done := func() { s.d.enqueue(event.RecordSaved{ID: id, Seq: seq}) }
	if !e.Final {
		s.writer.Put(repo.TableRecords, id, e.Record, done)
		return
	}
	s.writer.Put(repo.TableRecords, id, e.Record, done, repo.TableJobs)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endedAt[id] = time.Now().UnixMilli()
}

// trackEnded remembers a record that is final.
func (s *partition) trackEnded(r repo.Row) {
	rec, err := work.DecodeRecord(r.Value)
	if err != nil {
		s.d.log.Error().Err(err).Str("job", r.Key).Msg("record can't be read")
		return
	}
	if !rec.State.Final() {
		return
	}
	s.writer.Known(repo.TableRecords, r.Key, r.Version)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endedAt[r.Key] = rec.Ended
}

// sweep removes the records of jobs that ended before a time, in Unix
// milliseconds, and the cancels with them.
func (s *partition) sweep(before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded {
		return
	}
	for id, at := range s.endedAt {
		if at < before {
			delete(s.endedAt, id)
			s.writer.Put(repo.TableRecords, id, nil, nil, repo.TableCancels)
		}
	}
}

// jobChanged takes in a job's row from the feed.
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

// addNewer passes a job on that came behind the list.
func (s *partition) addNewer(r repo.Row) {
	if r.Version > s.listVersion {
		s.addJob(r, repo.Row{}, false)
	}
}

// addJob passes a job on, unless it is another pool's.
func (s *partition) addJob(r, record repo.Row, inherited bool) {
	j, err := work.DecodeJob(r.Value)
	if err != nil {
		s.d.log.Error().Err(err).Str("job", r.Key).Msg("job can't be read")
		return
	}
	rec := &work.Record{State: work.Pending, Queue: j.Queue}
	version := r.Version
	if record.Value != nil {
		if rec, err = work.DecodeRecord(record.Value); err != nil {
			s.d.log.Error().Err(err).Str("job", r.Key).Msg("record can't be read")
			return
		}
		version = record.Version
	}
	// Without a record of its own: both rows of a job are written at once, so
	// they have one version.
	s.writer.Known(repo.TableRecords, r.Key, version)
	pool := rec.Pool
	if pool == "" {
		pool = s.d.c.Rules().PoolOf(j)
	}
	if pool == s.d.c.Pool {
		s.d.enqueue(event.JobAdded{Job: j, Record: rec, Inherited: inherited})
	}
}
