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

// loaded is what is read of a pool before its decider begins.
type loaded struct {
	events []event.Event
	// The feeds follow on from these versions.
	version, servers int64
}

// load reads the pool's workers, trying until it succeeds or the pool is lost.
func (d *Decider) load() *loaded {
	for d.ctx.Err() == nil {
		l, err := d.read(d.ctx)
		if err == nil {
			return l
		}
		d.log.Warn().Err(err).Msg("pool's workers can't be read yet")
		d.pause()
	}
	return nil
}

// pause waits before another try.
func (d *Decider) pause() {
	select {
	case <-d.ctx.Done():
	case <-time.After(loadPause):
	}
}

func (d *Decider) read(ctx context.Context) (*loaded, error) {
	var workers, servers repo.Page
	g, ctx := errgroup.WithContext(ctx)
	list := func(to *repo.Page, table string) {
		g.Go(func() error {
			var err error
			*to, err = repo.All(ctx, d.c.Store, table, "")
			return err
		})
	}
	list(&workers, repo.TableWorkers)
	list(&servers, platform.TableServers)
	if err := g.Wait(); err != nil {
		return nil, err
	}
	l := &loaded{version: workers.Version, servers: servers.Version}
	for _, r := range workers.Rows {
		if pool, id := repo.SplitWorkerKey(r.Key); pool == d.c.Pool {
			d.writer.Known(r.Table, r.Key, r.Version)
			l.events = append(l.events, d.known(id, r.Value))
		}
	}
	for _, r := range servers.Rows {
		l.events = append(l.events, d.entry(r)...)
	}
	return l, nil
}

// clockSlack covers how far the clocks of hosts and of the store may run apart
// over a lease.
const clockSlack = 100 * time.Millisecond

// known converts a worker's row. Until when its lease lasts is left open if
// the store's clock isn't known.
func (d *Decider) known(id string, value []byte) event.WorkerInherited {
	w, err := repo.DecodeWorkerRow(value)
	if err != nil {
		d.log.Error().Err(err).Str("worker", id).Msg("worker's row can't be read; it may run anything")
		return event.WorkerInherited{ID: id}
	}
	e := event.WorkerInherited{ID: id, Address: w.Address, Lapsing: w.Lapsing, LapsesIn: maxLapse}
	if now, ok := d.c.Clock.AtLeast(); ok && w.Lapsing && w.LapsesAt > 0 {
		e.LapsesIn = max(w.LapsesAt-now, 0)
	}
	return e
}

// maxLapse is longer than any lease.
const maxLapse = time.Hour

// record writes a worker's row.
func (d *Decider) record(e event.RecordWorker) {
	w := repo.WorkerRow{Address: e.Address, Lapsing: e.Lapsing}
	if now, ok := d.c.Clock.AtMost(); ok && e.Lapsing {
		w.LapsesAt = now + e.LapsesIn + clockSlack
	}
	b, err := json.Marshal(w)
	if err != nil {
		panic("worker's row can't be encoded: " + err.Error())
	}
	d.writer.Put(repo.TableWorkers, repo.WorkerKey(d.c.Pool, e.ID), b, func() { d.tell(event.WorkerRecorded{ID: e.ID, Seq: e.Seq}) })
}

// entry converts a row of the registry.
func (d *Decider) entry(r repo.Row) []event.Event {
	if r.Deleted {
		delete(d.listed, r.Key)
		return []event.Event{event.WorkerUnlisted{ID: r.Key}}
	}
	e, err := roster.Decode(r.Key, r.Value)
	if err != nil || e.Pool != d.c.Pool {
		d.odd(r.Key, err)
		if d.listed[r.Key] {
			delete(d.listed, r.Key)
			return []event.Event{event.WorkerUnlisted{ID: r.Key}}
		}
		return nil
	}
	delete(d.dropped, r.Key)
	d.listed[r.Key] = true
	return []event.Event{event.WorkerListed{Worker: e.Worker}}
}

// maxDropped bounds the entries whose reason is remembered.
const maxDropped = 1000

// odd counts an entry that can't be used, and logs it once for each reason. The
// error is nil for another pool's.
func (d *Decider) odd(key string, err error) {
	if err == nil {
		return
	}
	d.c.Meter.Malformed.WithLabelValues("registry").Inc()
	if why := err.Error(); d.dropped[key] != why && len(d.dropped) < maxDropped {
		d.dropped[key] = why
		d.log.Warn().Str("key", key).Err(err).Msg("registry entry can't be used")
	}
}

// follow passes on what changes in the pool.
func (d *Decider) follow(l *loaded) {
	f := func(w follow.Follower, after int64) {
		w.Store, w.Wait, w.Now = d.c.Store, feedWait, timer.Boot
		w.Lost = func(err error) { d.log.Warn().Err(err).Str("table", w.Table).Msg("feed is lost") }
		d.goes(func() { w.Run(d.ctx, after) })
	}
	jobs := func(rows []repo.Row) {
		for _, r := range rows {
			if s := d.shards[r.Part]; s != nil {
				s.changed(r)
			}
		}
	}
	cancels := func(rows []repo.Row) {
		for _, r := range rows {
			if !r.Deleted {
				d.tell(event.JobCanceled{ID: r.Key})
			}
		}
	}
	f(follow.Follower{Table: repo.TableJobs, Spread: true, Listed: jobs, Changed: jobs}, l.version)
	f(follow.Follower{Table: repo.TableCancels, Spread: true, Listed: cancels, Changed: cancels}, l.version)
	pause := func() time.Duration { return registryPause }
	f(follow.Follower{Table: platform.TableServers, Pause: pause, Listed: d.relisted, Changed: func(rows []repo.Row) {
		for _, r := range rows {
			for _, e := range d.entry(r) {
				d.tell(e)
			}
		}
	}}, l.servers)
}

// relisted takes in the whole registry anew.
func (d *Decider) relisted(rows []repo.Row) {
	before := d.listed
	d.listed = map[string]bool{}
	for _, r := range rows {
		for _, e := range d.entry(r) {
			d.tell(e)
		}
	}
	for id := range before {
		if !d.listed[id] {
			d.tell(event.WorkerUnlisted{ID: id})
		}
	}
}
