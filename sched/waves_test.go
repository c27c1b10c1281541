package sched

import (
	"errors"
	"fmt"
	"time"

	"citronbridge/event"
	"citronbridge/fakes/model"
	"citronbridge/maint"
	"citronbridge/work"
)

// waveOf is of how many schedules one has a wave of maintenance.
const waveOf = 3

// askForWave asks for the maintenance of all machines.
func (w *world) askForWave() {
	v := maint.Wave{N: 7, Within: w.between(10*time.Second, 60*time.Second), Cap: 1 + w.rng.IntN(3)}
	for _, m := range w.cluster.Machines {
		v.Machines = append(v.Machines, m.ID)
	}
	w.wave = &v
	w.cluster.Waves[v.N] = model.Wave{N: v.N, Machines: v.Machines, Cap: v.Cap}
	w.cluster.OnReplacement = func(old, x *model.Worker) {
		w.log("JOINED %s after %s", x.ID, old.ID)
		w.after(w.between(0, 800*time.Millisecond), func() {
			w.unlist(old.ID)
			w.list(x.ID)
		})
	}
	w.log("WAVE %+v", v)
	w.tell(always(event.WaveAsked{Wave: v}))
}

// drained checks an maintenance that begins on time: it ends no long-running task
// beyond the budget of its step.
func (w *world) drained(x *model.Worker) {
	w.log("MAINTENANCE of %s", x.ID)
	runs, _, _ := x.Hold(1<<60, 0, 0)
	for _, r := range runs {
		id, err := work.ParseTaskID(r.Task)
		if err != nil {
			w.fail("task name %q", r.Task)
			return
		}
		w.stopping(x, id, r.Run)
	}
}

var errAway = errors.New("the service is away")

// maintenance carries out a step of a wave, with what the network does to it.
func (p *player) maintenance(a maint.Action) {
	w := p.w
	away := func() bool { return !w.storeUp || p.cut || w.now < p.paused || w.disturbed(0.05) }
	soon := func(f func()) { w.after(w.between(time.Millisecond, 8*time.Millisecond), f) }
	read := func(n int64, failed bool) {
		e := event.ProgressRead{Wave: n, Progress: w.progress, Version: w.version}
		if failed {
			e = event.ProgressRead{Wave: n, Err: errAway}
		}
		soon(func() { p.take(e) })
	}
	switch a := a.(type) {
	case maint.List:
		sent := w.now
		soon(func() {
			e := event.MachinesListed{Sent: sent}
			if w.disturbed(0.1) {
				e.Err = errAway
			}
			for _, m := range w.cluster.Machines {
				e.Machines = append(e.Machines, maint.Machine{ID: m.ID, Pool: m.Pool, State: states[w.cluster.State(m)], Worker: m.Worker})
			}
			soon(func() { p.take(e) })
		})
	case maint.Read:
		soon(func() { read(a.Wave, away()) })
	case maint.Write:
		soon(func() {
			switch {
			case away():
				read(a.Wave, true)
			case !p.owned():
				p.dead = true
			case a.Version != w.version:
				read(a.Wave, false)
			default:
				// Every change gets a higher version, also of other rows.
				w.progress, w.version = a.Progress, w.version+int64(1+w.rng.IntN(5))
				w.log("PROGRESS %d by %d: %+v", w.version, p.epoch, w.progress)
				read(a.Wave, w.disturbed(0.1))
			}
		})
	case maint.Order:
		p.machine(a)
	case maint.Tell:
		if !a.Finished {
			return
		}
		w.finished = true
		for _, m := range w.wave.Machines {
			if !w.cluster.MaintenanceBegun(m, a.Wave) {
				w.fail("MIXED: the wave is over, and %s has had no maintenance", m)
			}
		}
	}
}

var (
	states   = map[string]maint.State{"up": maint.Up, "upkeep": maint.InMaintenance, "down": maint.Down}
	outcomes = map[string]maint.Outcome{"": maint.Begun, "fence": maint.Fenced, "busy": maint.Busy, "wave": maint.Unwanted, "none": maint.Unwanted}
)

// machine carries an order for a machine out, late or without an answer at
// times.
func (p *player) machine(a maint.Order) {
	w := p.w
	holder := fmt.Sprint("decider ", p.epoch)
	answer := func(o maint.Outcome, after time.Duration) {
		w.after(after, func() { p.take(event.MaintenanceAnswered{Wave: a.Wave, Machine: a.Machine, Outcome: o}) })
	}
	do := func(late bool) string {
		w.cluster.OnMaintenance = nil
		if !late {
			w.cluster.OnMaintenance = w.drained
		}
		return w.cluster.Maintain(a.Machine, a.Wave, holder, a.Token)
	}
	switch {
	case w.disturbed(0.05):
		answer(maint.NoAnswer, time.Second)
	case w.disturbed(0.1):
		answer(maint.NoAnswer, time.Second)
		w.after(w.between(time.Second, 12*time.Second), func() {
			w.log("late order for %s by %d", a.Machine, p.epoch)
			do(true)
		})
	default:
		w.after(w.between(time.Millisecond, 8*time.Millisecond), func() {
			o := outcomes[do(false)]
			if w.disturbed(0.1) {
				answer(maint.NoAnswer, time.Second)
				return
			}
			answer(o, w.between(time.Millisecond, 8*time.Millisecond))
		})
	}
}
