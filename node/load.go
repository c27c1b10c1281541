package node

import (
	"context"
	"time"

	"citronbridge/platform"
	"citronbridge/repo"
	"citronbridge/sched"
	"citronbridge/timer"
	"citronbridge/work"
)

// loaded is a pool's state as read at a takeover.
type loaded struct {
	events []sched.Event
	// The feeds follow on from these versions.
	jobs, cancels, servers int64
}

// load reads the pool's state, trying until it succeeds or the pool is lost.
func (d *decider) load() *loaded {
	for d.ctx.Err() == nil {
		l, err := d.read(d.ctx)
		if err == nil {
			return l
		}
		d.log.Warn().Err(err).Msg("pool's state can't be read yet")
		select {
		case <-d.ctx.Done():
		case <-time.After(loadPause):
		}
	}
	return nil
}

func (d *decider) read(ctx context.Context) (*loaded, error) {
	l := &loaded{}
	workers, err := repo.All(ctx, d.h.store, repo.TableWorkers)
	if err != nil {
		return nil, err
	}
	for _, r := range workers.Rows {
		if pool, id := repo.SplitWorkerKey(r.Key); pool == d.pool {
			d.writer.Known(r.Table, r.Key, r.Version)
			l.events = append(l.events, sched.WorkerKnown{ID: id, Address: string(r.Value)})
		}
	}
	servers, err := repo.All(ctx, d.h.store, platform.TableServers)
	if err != nil {
		return nil, err
	}
	l.servers = servers.Version
	for _, r := range servers.Rows {
		l.events = append(l.events, d.entry(r)...)
	}
	// Cancels before jobs and records: what is missed here is in the feeds.
	cancels, err := repo.All(ctx, d.h.store, repo.TableCancels)
	if err != nil {
		return nil, err
	}
	l.cancels = cancels.Version
	jobs, err := repo.All(ctx, d.h.store, repo.TableJobs)
	if err != nil {
		return nil, err
	}
	l.jobs = jobs.Version
	records, err := repo.All(ctx, d.h.store, repo.TableRecords)
	if err != nil {
		return nil, err
	}
	byID := map[string]repo.Row{}
	for _, r := range records.Rows {
		byID[r.Key] = r
	}
	for _, r := range jobs.Rows {
		if e, ok := d.job(r, byID[r.Key], true); ok {
			l.events = append(l.events, e)
		}
	}
	for _, r := range cancels.Rows {
		l.events = append(l.events, sched.JobCanceled{ID: r.Key})
	}
	return l, nil
}

// job converts a job's rows. It is false for jobs of other pools.
func (d *decider) job(r, record repo.Row, inherited bool) (sched.JobAdded, bool) {
	j, err := work.DecodeJob(r.Value)
	if err != nil {
		d.log.Error().Err(err).Str("job", r.Key).Msg("job can't be read")
		return sched.JobAdded{}, false
	}
	rec := &work.Record{State: work.Pending, Queue: j.Queue}
	if record.Value != nil {
		if rec, err = work.DecodeRecord(record.Value); err != nil {
			d.log.Error().Err(err).Str("job", r.Key).Msg("record can't be read")
			return sched.JobAdded{}, false
		}
		d.writer.Known(repo.TableRecords, r.Key, record.Version)
	} else {
		// Both rows of a job are written at once, so they have one version.
		d.writer.Known(repo.TableRecords, r.Key, r.Version)
	}
	pool := rec.Pool
	if pool == "" {
		if q := d.h.gate.Rules().Queues[j.Queue]; q != nil {
			pool = q.Pool
		}
	}
	return sched.JobAdded{Job: j, Record: rec, Inherited: inherited}, pool == d.pool
}

// entry converts a row of the registry.
func (d *decider) entry(r repo.Row) []sched.Event {
	if r.Deleted {
		delete(d.listed, r.Key)
		return []sched.Event{sched.WorkerUnlisted{ID: r.Key}}
	}
	e, err := platform.DecodeEntry(r.Key, r.Value)
	if err != nil || e.Pool != d.pool {
		if err != nil {
			d.log.Warn().Err(err).Msg("registry entry can't be used")
		}
		if d.listed[r.Key] {
			delete(d.listed, r.Key)
			return []sched.Event{sched.WorkerUnlisted{ID: r.Key}}
		}
		return nil
	}
	d.listed[r.Key] = true
	return []sched.Event{sched.WorkerListed{Worker: e.Worker}}
}

// follow passes on what changes in the pool.
func (d *decider) follow(l *loaded) {
	f := func(table string, after int64, listed, changed func([]repo.Row)) {
		w := &repo.Follower{
			Store: d.h.store, Table: table, Wait: feedWait, Now: timer.Boot, Listed: listed, Changed: changed,
			Lost: func(err error) { d.log.Warn().Err(err).Str("table", table).Msg("feed is lost") },
		}
		d.goes(func() { w.Run(d.ctx, after) })
	}
	jobs := func(rows []repo.Row) {
		for _, r := range rows {
			if r.Deleted {
				continue
			}
			if e, ok := d.job(r, repo.Row{}, false); ok {
				d.tell(e)
			}
		}
	}
	cancels := func(rows []repo.Row) {
		for _, r := range rows {
			if !r.Deleted {
				d.tell(sched.JobCanceled{ID: r.Key})
			}
		}
	}
	f(repo.TableJobs, l.jobs, jobs, jobs)
	f(repo.TableCancels, l.cancels, cancels, cancels)
	f(platform.TableServers, l.servers, d.relisted, func(rows []repo.Row) {
		for _, r := range rows {
			for _, e := range d.entry(r) {
				d.tell(e)
			}
		}
	})
}

// relisted takes in the whole registry anew.
func (d *decider) relisted(rows []repo.Row) {
	before := d.listed
	d.listed = map[string]bool{}
	for _, r := range rows {
		for _, e := range d.entry(r) {
			d.tell(e)
		}
	}
	for id := range before {
		if !d.listed[id] {
			d.tell(sched.WorkerUnlisted{ID: id})
		}
	}
}
