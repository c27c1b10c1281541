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

// shard is a part of the store with jobs. The decider takes each by a fence
// of its own, so that one that is away keeps nothing else back.
type shard struct {
	d    *Decider
	part string
	// writer is set before the first job of the part is taken in.
	writer *repo.Writer

	mu     sync.Mutex
	loaded bool
	// version is that of the list of jobs: a feed that tells of older rows
	// tells nothing new.
	version int64
	// ended is when the jobs whose records are final ended, in Unix
	// milliseconds.
	ended map[string]int64
	// early is what changed before the part was loaded.
	early []repo.Row
}

// load takes the part and reads its jobs, trying until it succeeds or the pool
// is lost.
func (s *shard) load() {
	for s.d.ctx.Err() == nil {
		c, mine, err := s.d.c.Owners.Fence(s.d.ctx, s.d.c.Pool, s.part, s.d.c.Owner.Epoch)
		switch {
		case err != nil:
			s.d.log.Warn().Err(err).Str("part", s.part).Msg("part can't be taken yet")
		case !mine:
			s.d.deposed()
			return
		default:
			if s.writer == nil {
				s.writer = s.d.newWriter(c)
			}
			err = s.read(s.d.ctx)
			if err == nil {
				s.writer.Run(s.d.ctx)
				return
			}
			s.d.log.Warn().Err(err).Str("part", s.part).Msg("part can't be read yet")
		}
		s.d.pause()
	}
}

// read lists the part's jobs after it was fenced: nobody else changes a record
// from then on.
func (s *shard) read(ctx context.Context) error {
	var pages [3]repo.Page
	g, ctx := errgroup.WithContext(ctx)
	for i, t := range []string{repo.TableCancels, repo.TableJobs, repo.TableRecords} {
		g.Go(func() error {
			var err error
			pages[i], err = repo.All(ctx, s.d.c.Store, t, s.part)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	records := map[string]repo.Row{}
	for _, r := range pages[2].Rows {
		records[r.Key] = r
		s.noteEnd(r)
	}
	for _, r := range pages[0].Rows {
		s.d.tell(event.JobCanceled{ID: r.Key})
	}
	for _, r := range pages[1].Rows {
		s.add(r, records[r.Key], true)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded, s.version = true, pages[1].Version
	for _, r := range s.early {
		s.addNew(r)
	}
	s.early = nil
	s.d.tell(event.PartitionLoaded{Partition: s.part})
	return nil
}

// save makes a record durable. The job's own row goes with a final one.
func (s *shard) save(e event.SaveRecord) {
	id, seq := e.ID, e.Seq
	done := func() { s.d.tell(event.RecordSaved{ID: id, Seq: seq}) }
	if !e.Final {
		s.writer.Put(repo.TableRecords, id, e.Record, done)
		return
	}
	s.writer.Put(repo.TableRecords, id, e.Record, done, repo.TableJobs)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[id] = time.Now().UnixMilli()
}

// noteEnd remembers a record that is final.
func (s *shard) noteEnd(r repo.Row) {
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
	s.ended[r.Key] = rec.Ended
}

// sweep removes the records of jobs that ended before a time, in Unix
// milliseconds, and the cancels with them.
func (s *shard) sweep(before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded {
		return
	}
	for id, at := range s.ended {
		if at < before {
			delete(s.ended, id)
			s.writer.Put(repo.TableRecords, id, nil, nil, repo.TableCancels)
		}
	}
}

// changed takes in a job's row from the feed.
func (s *shard) changed(r repo.Row) {
	if r.Deleted {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded {
		s.early = append(s.early, r)
		return
	}
	s.addNew(r)
}

// addNew passes a job on that came behind the list.
func (s *shard) addNew(r repo.Row) {
	if r.Version > s.version {
		s.add(r, repo.Row{}, false)
	}
}

// add passes a job on, unless it is another pool's.
func (s *shard) add(r, record repo.Row, inherited bool) {
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
		s.d.tell(event.JobAdded{Job: j, Record: rec, Inherited: inherited})
	}
}
