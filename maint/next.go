package maint

import (
	"maps"
	"slices"
	"time"
)

// Pool gives a Planner access to the state of the pool's workers.
type Pool interface {
	// Loss returns the work that is lost if the worker is drained at once, in
	// core-seconds, and false if the worker can't be drained now.
	Loss(worker string) (float64, bool)
	// Drained reports whether the maintenance of the worker's machine may begin.
	Drained(worker string) bool
	// Needed reports whether the worker has room for work that must not wait any
	// longer, so that it must not be drained.
	Needed(worker string) bool
}

// Next returns the actions that are due now, and when to call it again.
func (b *Planner) Next(p Pool, now time.Duration) ([]Action, time.Duration) {
	var l []Action
	next := now + time.Hour
	active := false
	for _, n := range b.numbers {
		w := b.waves[n]
		if w.finished {
			continue
		}
		active = true
		l = append(l, b.waveActions(w, p, now)...)
	}
	if !active {
		return l, next
	}
	if !b.listInFlight && now >= b.nextList {
		b.listInFlight = true
		l = append(l, ListMachines{})
	}
	return l, now + pollPeriod
}

// pollPeriod is how often active waves are checked for due actions.
const pollPeriod = 100 * time.Millisecond

// waveActions returns the actions that are due for one wave.
func (b *Planner) waveActions(w *waveState, p Pool, now time.Duration) []Action {
	var l []Action
	if !w.reported {
		w.reported = true
		l = append(l, ReportStatus{Wave: w.Number, Version: w.Version})
	}
	if w.inFlight {
		return l
	}
	if !w.loaded || now >= w.nextRead {
		if now >= w.nextRead {
			w.inFlight = true
			l = append(l, ReadProgress{w.Number})
		}
		return l
	}
	if b.listedAt == 0 || b.listedAt < w.knownAt {
		// The list may lack machines that were added for the wave.
		return l
	}
	b.startDrains(w, p, now)
	if c, ok := b.nextProgress(w, p, now); ok {
		w.inFlight = true
		return append(l, WriteProgress{w.Number, c, w.version})
	}
	l = append(l, b.dueOrders(w, p, now)...)
	if b.complete(w) {
		w.finished = true
		l = append(l, ReportStatus{Wave: w.Number, Version: w.Version, Finished: true})
	}
	return l
}

// responsibleFor reports whether a machine still needs the wave's maintenance and
// belongs to this decider's pool.
func (b *Planner) responsibleFor(w *waveState, id string) bool {
	m, ok := b.machines[id]
	return ok && m.Pool == b.c.Pool && !w.notInWave[id] && !w.done[id]
}

// startDrains starts to drain the workers of as many machines as the wave has free
// slots, those with the least loss first. It first cancels the drains without a
// claim whose machines are no longer up or whose workers are needed.
func (b *Planner) startDrains(w *waveState, p Pool, now time.Duration) {
	maps.DeleteFunc(w.inProgress, func(id string, x *machineProgress) bool {
		return x.token == 0 && (!b.responsibleFor(w, id) || b.machines[id].State != Up || p.Needed(x.worker))
	})
	free := w.slots() - len(w.progress.Claims)
	for id, x := range w.inProgress {
		if _, claimed := w.progress.Claims[id]; !claimed && x.token == 0 {
			free--
		}
	}
	if free <= 0 {
		return
	}
	type candidate struct {
		id   string
		loss float64
	}
	var l []candidate
	for _, id := range w.Machines {
		m := b.machines[id]
		if !b.responsibleFor(w, id) || m.State != Up || m.Worker == "" || b.maintained(id) || p.Needed(m.Worker) {
			continue
		}
		if _, claimed := w.progress.Claims[id]; claimed {
			continue
		}
		if loss, ok := p.Loss(m.Worker); ok {
			l = append(l, candidate{id, loss})
		}
	}
	slices.SortStableFunc(l, func(x, y candidate) int {
		switch {
		case x.loss < y.loss:
			return -1
		case x.loss > y.loss:
			return 1
		}
		return 0
	})
	for _, c := range l[:min(free, len(l))] {
		w.inProgress[c.id] = &machineProgress{drainStart: now, worker: b.machines[c.id].Worker}
	}
}

// maintained reports whether the machine is being drained or maintained for any
// wave.
func (b *Planner) maintained(id string) bool {
	for _, n := range b.numbers {
		if b.waves[n].inProgress[id] != nil {
			return true
		}
	}
	return false
}

// nextProgress returns the progress to write, and false if nothing has changed.
// Machines that are up again release their slots, drained ones acquire one, and
// claims of a former decider of the pool are renewed by this one.
func (b *Planner) nextProgress(w *waveState, p Pool, now time.Duration) (Progress, bool) {
	c := Progress{Claims: maps.Clone(w.progress.Claims), Done: slices.Clone(w.progress.Done)}
	if c.Claims == nil {
		c.Claims = map[string]Claim{}
	}
	changed := false
	for id, o := range c.Claims {
		if o.Pool == b.c.Pool && o.Epoch < b.c.Epoch {
			o.Epoch = b.c.Epoch
			c.Claims[id], changed = o, true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.inProgress)) {
		x := w.inProgress[id]
		m := b.machines[id]
		returned := x.begunAt > 0 && b.listedAt >= x.begunAt+b.c.MaintenanceTime+returnSlack && m.State == Up
		removed := b.listedAt > x.drainStart && w.gone(id)
		switch {
		case x.token > 0 && x.token <= x.refusedToken:
			changed = true
		case x.begunAt > 0 && !c.Claims[id].Begun && !returned:
			c.Claims[id], changed = Claim{b.c.Pool, b.c.Epoch, true, c.Claims[id].Worker}, true
		case x.token > 0 && (returned || removed || w.notInWave[id]):
			delete(c.Claims, id)
			if returned {
				c.Done = append(c.Done, id)
			}
			changed = true
		case x.token == 0 && len(c.Claims) < w.slots() && p.Drained(x.worker):
			c.Claims[id], changed = Claim{Pool: b.c.Pool, Epoch: b.c.Epoch, Worker: x.worker}, true
		}
	}
	slices.Sort(c.Done)
	return c, changed
}

// dueOrders returns the orders that are due for one wave.
func (b *Planner) dueOrders(w *waveState, p Pool, now time.Duration) []Action {
	if now < b.acquiredAt+b.c.TakeoverPause {
		return nil
	}
	var l []Action
	for _, id := range slices.Sorted(maps.Keys(w.inProgress)) {
		x := w.inProgress[id]
		if x.token <= x.refusedToken || x.begunAt > 0 || x.orderInFlight || now < x.nextOrder {
			continue
		}
		// The former decider may have sent the order of a claim that was taken
		// over. The machine is down then, and repeating the order shows whether
		// its maintenance has begun.
		if b.machines[id].State == Up && !p.Drained(x.worker) {
			continue
		}
		x.orderInFlight, x.orderedAt = true, now
		l = append(l, OrderMaintenance{w.Number, id, x.token})
	}
	return l
}

// complete reports whether all machines of a wave that still exist are up again after
// their maintenance. Whether others are gone is asked once the last of these is up.
func (b *Planner) complete(w *waveState) bool {
	if len(w.progress.Claims) > 0 {
		return false
	}
	for _, id := range w.Machines {
		if w.notInWave[id] || w.done[id] {
			continue
		}
		if !w.gone(id) || b.listedAt < w.changedAt {
			return false
		}
	}
	return true
}
