package decide

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/sync/errgroup"

	"citronbridge/event"
	"citronbridge/follow"
	"citronbridge/platform"
	"citronbridge/platform/roster"
	"citronbridge/repo"
	"citronbridge/timer"
)

// snapshot is the state of a pool's workers as read before its decider starts.
type snapshot struct {
	// events describe the workers to the state machine.
	events []event.Event
	// version and registryVersion are the store versions of the two listings: the feeds of jobs and
	// cancels continue from the first, the feed of the registry from the second.
	version, registryVersion int64
}

// loadWorkers reads the pool's workers and retries until that succeeds. It
// returns nil if the decider ends first.
func (d *Decider) loadWorkers() *snapshot {
	for d.ctx.Err() == nil {
		l, err := d.readWorkers(d.ctx)
		if err == nil {
			return l
		}
		d.log.Warn().Err(err).Msg("workers of the pool not read; retrying")
		d.waitBeforeRetry()
	}
	return nil
}

// waitBeforeRetry waits for loadRetryPause, or until the decider ends.
func (d *Decider) waitBeforeRetry() {
	select {
	case <-d.ctx.Done():
	case <-time.After(loadRetryPause):
	}
}

// readWorkers reads the rows of workers that former deciders have used, and the
// registry of workers.
func (d *Decider) readWorkers(ctx context.Context) (*snapshot, error) {
	var workers, servers, speeds repo.Page
	g, ctx := errgroup.WithContext(ctx)
	list := func(to *repo.Page, table string) {
		g.Go(func() error {
			var err error
			*to, err = repo.ListAll(ctx, d.c.Store, table, "")
			return err
		})
	}
	list(&workers, repo.TableWorkers)
	list(&servers, platform.TableServers)
	list(&speeds, repo.TableSpeeds)
	if err := g.Wait(); err != nil {
		return nil, err
	}
	l := &snapshot{version: workers.Version, registryVersion: servers.Version}
	for _, r := range workers.Rows {
		if pool, id := repo.SplitWorkerKey(r.Key); pool == d.c.Pool {
			d.writer.RecordVersion(r.Table, r.Key, r.Version)
			l.events = append(l.events, d.workerFromRow(id, r.Value))
		}
	}
	for _, r := range speeds.Rows {
		if pool, _ := repo.SplitWorkerKey(r.Key); pool == d.c.Pool {
			d.writer.RecordVersion(r.Table, r.Key, r.Version)
			l.events = append(l.events, d.speedsFromRow(r))
		}
	}
	for _, r := range servers.Rows {
		l.events = append(l.events, d.registryEvents(r)...)
	}
	return l, nil
}

// clockSlack covers how far the clocks of hosts and of the store may drift apart during a lease.
const clockSlack = 100 * time.Millisecond

// workerFromRow converts a worker's row. If the store's clock isn't known, or the
// row has no end of the lease, LapsesIn is maxLapse.
func (d *Decider) workerFromRow(id string, value []byte) event.WorkerInherited {
	w, err := repo.DecodeWorkerRow(value)
	if err != nil {
		d.log.Error().Err(err).Str("worker", id).Msg("worker row can't be decoded; assuming that the worker may run any task")
		return event.WorkerInherited{ID: id}
	}
	e := event.WorkerInherited{ID: id, Address: w.Address, Lapsing: w.Lapsing, LapsesIn: maxLapse}
	if now, ok := d.c.Clock.AtLeast(); ok && w.Lapsing && w.LapsesAt > 0 {
		e.LapsesIn = max(w.LapsesAt-now, 0)
	}
	return e
}

// maxLapse stands for an unknown end of a lease. It is longer than any lease.
const maxLapse = time.Hour

// writeWorker writes a worker's row. The end of a lapsing lease is stored by the
// store's clock, as late as it may be, so that other hosts can read it.
func (d *Decider) writeWorker(e event.RecordWorker) {
	w := repo.WorkerRow{Address: e.Address, Lapsing: e.Lapsing}
	if now, ok := d.c.Clock.AtMost(); ok && e.Lapsing {
		w.LapsesAt = now + e.LapsesIn + clockSlack
	}
	b, err := json.Marshal(w)
	if err != nil {
		panic("worker's row can't be encoded: " + err.Error())
	}
	d.writer.Put(repo.TableWorkers, repo.WorkerKey(d.c.Pool, e.ID), b, func() { d.enqueue(event.WorkerRecorded{ID: e.ID, Seq: e.Seq}) })
}

// registryEvents converts a row of the registry to events, none if the row isn't
// a usable entry of this pool and wasn't one before.
func (d *Decider) registryEvents(r repo.Row) []event.Event {
	if r.Deleted {
		delete(d.listed, r.Key)
		return []event.Event{event.WorkerUnlisted{ID: r.Key}}
	}
	e, err := roster.Decode(r.Key, r.Value)
	if err != nil || e.Pool != d.c.Pool {
		d.rejectEntry(r.Key, err)
		if d.listed[r.Key] {
			delete(d.listed, r.Key)
			return []event.Event{event.WorkerUnlisted{ID: r.Key}}
		}
		return nil
	}
	delete(d.rejected, r.Key)
	d.listed[r.Key] = true
	return []event.Event{event.WorkerListed{Worker: e.Worker}}
}

// maxRejected bounds the number of rejected entries whose reason is remembered.
const maxRejected = 1000

// rejectEntry counts a registry entry that can't be used and logs it, but not again for the same
// reason. It does nothing if err is nil, as the entry belongs to another pool then.
func (d *Decider) rejectEntry(key string, err error) {
	if err == nil {
		return
	}
	d.c.Meter.Malformed.WithLabelValues("registry").Inc()
	if reason := err.Error(); d.rejected[key] != reason && len(d.rejected) < maxRejected {
		d.rejected[key] = reason
		d.log.Warn().Str("key", key).Err(err).Msg("registry entry is malformed; ignoring this worker")
	}
}

// followTables follows the feeds of jobs, cancels and the registry, and passes
// their changes to the partitions and the state machine.
func (d *Decider) followTables(l *snapshot) {
	start := func(w follow.Follower, after int64) {
		w.Store, w.Wait, w.Now = d.c.Store, feedWait, timer.SinceBoot
		w.OnFailure = func(err error) { d.log.Warn().Err(err).Str("table", w.Table).Msg("store feed failed; retrying") }
		d.spawn(func() { w.Run(d.ctx, after) })
	}
	jobs := func(rows []repo.Row) {
		for _, r := range rows {
			if s := d.partitions[r.Partition]; s != nil {
				s.jobChanged(r)
			}
		}
	}
	cancels := func(rows []repo.Row) {
		for _, r := range rows {
			if s := d.partitions[r.Partition]; s != nil && !r.Deleted {
				s.jobCanceled(r)
			}
		}
	}
	start(follow.Follower{Table: repo.TableJobs, Partitioned: true, OnList: jobs, OnChange: jobs}, l.version)
	start(follow.Follower{Table: repo.TableCancels, Partitioned: true, OnList: cancels, OnChange: cancels}, l.version)
	pause := func() time.Duration { return registryPollPause }
	start(follow.Follower{Table: platform.TableServers, Pause: pause, OnList: d.reloadRegistry, OnChange: func(rows []repo.Row) {
		for _, r := range rows {
			for _, e := range d.registryEvents(r) {
				d.enqueue(e)
			}
		}
	}}, l.registryVersion)
}

// reloadRegistry handles a complete listing of the registry: workers that were
// listed before and are missing from it are reported as unlisted.
func (d *Decider) reloadRegistry(rows []repo.Row) {
	wasListed := d.listed
	d.listed = map[string]bool{}
	for _, r := range rows {
		for _, e := range d.registryEvents(r) {
			d.enqueue(e)
		}
	}
	for id := range wasListed {
		if !d.listed[id] {
			d.enqueue(event.WorkerUnlisted{ID: id})
		}
	}
}
