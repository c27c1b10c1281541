// Package maint takes the machines of a pool through waves of maintenance: which
// one is next, when it may begin, and how far each is. It is a state machine
// without clock or I/O.
package maint

import (
	"slices"
	"time"
)

// Wave is the operator's request that machines have their maintenance.
type Wave struct {
	Number   int64
	Machines []string
	// Within is the time that the whole wave should take.
	Within time.Duration
	// Cap bounds the machines of the wave that are down at once.
	Cap int
}

// State is what the platform says of a machine.
type State string

// States of a machine.
const (
	Up            State = "Up"
	Moving        State = "Moving"
	InMaintenance State = "InWork"
	Down          State = "Down"
)

// Machine is what the platform's list says of a machine.
type Machine struct {
	ID, Pool string
	State    State
	// Worker is the ID of its worker, empty if it has none.
	Worker string
}

// Claim is the decider that leads a machine, which takes one of its wave's
// slots from before its order until it is back.
type Claim struct {
	Pool  string
	Epoch int64
	// Begun says that the machine has had its order.
	Begun bool `json:",omitempty"`
	// Worker is the one that was drained for it: a successor doesn't see it on
	// the machine any more. It is empty in rows of older versions.
	Worker string `json:",omitempty"`
}

// Progress is the durable state of a wave. Deciders of several pools share it.
type Progress struct {
	Claims map[string]Claim `json:",omitempty"`
	// Done lists the machines that are back.
	Done []string `json:",omitempty"`
}

// Outcome is how an order came out.
type Outcome string

// Outcomes of orders.
const (
	// Begun: the machine has its maintenance now, or had it before.
	Begun Outcome = "Begun"
	// Busy: the machine isn't up, or leaves.
	Busy Outcome = "Busy"
	// Fenced: a later claim has been used.
	Fenced Outcome = "Fenced"
	// NotInWave: the machine doesn't exist, or isn't of the wave.
	NotInWave Outcome = "Unwanted"
	// NoAnswer: the order may have been, or may still be, carried out.
	NoAnswer Outcome = "NoAnswer"
)

// Config is what a Book works by.
type Config struct {
	Pool  string
	Epoch int64
	// TakeoverPause is how long after a takeover no order is given, so that a former
	// decider's are over; the platform's bound.
	TakeoverPause time.Duration
	// MaintenanceTime is how long an maintenance takes.
	MaintenanceTime time.Duration
}

// Times of waves.
const (
	// listPeriod is how often the machines are listed while a wave is under
	// way; the platform bounds such readings of all hosts together.
	listPeriod = time.Second
	// readPeriod is how often progress is read that others may have changed.
	readPeriod = 2 * time.Second
	// retryPause is kept between two orders for one machine.
	retryPause = time.Second
	// returnSlack is waited beyond an maintenance's time before the list is believed.
	returnSlack = 250 * time.Millisecond
)

// Actions of a Book.
type (
	// ListMachines asks for the list of machines.
	ListMachines struct{}
	// ReadProgress asks for a wave's progress.
	ReadProgress struct{ Wave int64 }
	// WriteProgress asks for a wave's progress to be written if its row still has a
	// version, 0 for none.
	WriteProgress struct {
		Wave     int64
		Progress Progress
		Version  int64
	}
	// OrderMaintenance asks for the maintenance of a machine. Tokens rise with each claim.
	OrderMaintenance struct {
		Wave    int64
		Machine string
		Token   int64
	}
	// ReportStatus asks for the operator to be told how a wave is.
	ReportStatus struct {
		Wave     int64
		Finished bool
	}
)

// Action is one of the types above.
type Action interface{ action() }

func (ListMachines) action()     {}
func (ReadProgress) action()     {}
func (WriteProgress) action()    {}
func (OrderMaintenance) action() {}
func (ReportStatus) action()     {}

// machineProgress is how far a machine of this decider is.
type machineProgress struct {
	// worker is what is drained, leaving since when.
	worker     string
	drainStart time.Duration
	// token is what orders carry, 0 until the claim is durable; refused is the
	// highest that was refused.
	token, refusedToken int64
	// orderInFlight says that an order has no answer yet, orderAt the earliest time
	// of the next.
	orderInFlight bool
	nextOrder     time.Duration
	// begunAt is when the maintenance had begun, 0 before.
	begunAt time.Duration
}

// waveState is a wave under way.
type waveState struct {
	Wave
	progress Progress
	// done has the machines that are back, as progress lists them.
	done map[string]bool
	// version is that of the row, known says that it was read.
	version int64
	loaded  bool
	// inFlight says that a read or a write has no answer yet.
	inFlight   bool
	nextRead   time.Duration
	inProgress map[string]*machineProgress
	// notInWave machines aren't of the wave, as the platform says.
	notInWave          map[string]bool
	reported, finished bool
}

// Planner holds the waves of a pool's decider.
type Planner struct {
	c          Config
	acquiredAt time.Duration
	waves      map[int64]*waveState
	numbers    []int64

	machines map[string]Machine
	// listedAt is when the list was asked for that machines is, 0 for none.
	listedAt     time.Duration
	listInFlight bool
	nextList     time.Duration
}

// New returns a Book of a decider that has taken its pool just now.
func New(c Config, now time.Duration) *Planner {
	return &Planner{c: c, acquiredAt: now, waves: map[int64]*waveState{}, machines: map[string]Machine{}}
}

// SetWave takes in a wave, new, changed or told again.
func (b *Planner) SetWave(w Wave) {
	if o := b.waves[w.Number]; o != nil {
		if !slices.Equal(o.Machines, w.Machines) || o.Cap != w.Cap || o.Within != w.Within {
			o.Wave, o.finished = w, false
		}
		return
	}
	b.waves[w.Number] = &waveState{Wave: w, inProgress: map[string]*machineProgress{}, notInWave: map[string]bool{}}
	b.numbers = append(b.numbers, w.Number)
	slices.Sort(b.numbers)
}

// RemoveWave forgets a wave that the operator has taken back.
func (b *Planner) RemoveWave(n int64) {
	delete(b.waves, n)
	b.numbers = slices.DeleteFunc(b.numbers, func(o int64) bool { return o == n })
}

// HandleMachines takes in the list of machines that was asked for at a time. It returns
// the workers that surely live no more, as their machines have others.
func (b *Planner) HandleMachines(l []Machine, sent, now time.Duration, err error) []string {
	b.listInFlight, b.nextList = false, now+listPeriod
	if err != nil {
		return nil
	}
	b.listedAt = max(sent, 1)
	var replaced []string
	before := b.machines
	b.machines = map[string]Machine{}
	for _, m := range l {
		b.machines[m.ID] = m
		b.updateWorker(m)
		if o := before[m.ID].Worker; o != "" && m.Worker != "" && m.Worker != o {
			replaced = append(replaced, o)
		}
	}
	for _, w := range b.waves {
		for id, c := range w.progress.Claims {
			if o := b.machines[id].Worker; o != "" && c.Worker != "" && c.Worker != o {
				replaced = append(replaced, c.Worker)
			}
		}
	}
	slices.Sort(replaced)
	return slices.Compact(replaced)
}

// updateWorker notes the worker of a machine whose maintenance hasn't begun.
func (b *Planner) updateWorker(m Machine) {
	for _, w := range b.waves {
		if x := w.inProgress[m.ID]; x != nil && x.begunAt == 0 && m.Worker != "" {
			x.worker = m.Worker
		}
	}
}

// HandleProgress takes in a wave's progress as its row says it.
func (b *Planner) HandleProgress(n int64, p Progress, version int64, now time.Duration, err error) {
	w := b.waves[n]
	if w == nil {
		return
	}
	w.inFlight, w.nextRead = false, now+readPeriod
	if err != nil {
		// A write may have been carried out: what the row says counts.
		w.loaded, w.nextRead = false, now+retryPause
		return
	}
	if version < w.version {
		return
	}
	w.progress, w.version, w.loaded = p, version, true
	w.done = map[string]bool{}
	for _, id := range p.Done {
		w.done[id] = true
	}
	for id, x := range w.inProgress {
		c, ok := p.Claims[id]
		switch {
		case ok && b.ownsClaim(c) && x.token <= x.refusedToken:
			x.token = version
		case !ok && x.token > 0 || ok && !b.ownsClaim(c):
			delete(w.inProgress, id)
		}
	}
	for id, c := range p.Claims {
		if !b.ownsClaim(c) || w.inProgress[id] != nil {
			continue
		}
		// Claimed by a former decider of the pool, or by a write of this one
		// whose answer was lost.
		w.inProgress[id] = &machineProgress{token: version, drainStart: now, worker: b.machines[id].Worker}
		if c.Begun {
			w.inProgress[id].begunAt = max(now, 1)
		}
	}
}

// HandleOrderOutcome takes in how an order came out.
func (b *Planner) HandleOrderOutcome(n int64, machine string, o Outcome, now time.Duration) {
	w := b.waves[n]
	if w == nil || w.inProgress[machine] == nil {
		return
	}
	x := w.inProgress[machine]
	x.orderInFlight, x.nextOrder = false, now+retryPause
	switch o {
	case Begun:
		x.begunAt = max(now, 1)
	case Fenced:
		// A later claim has been used: if it isn't another decider's, this one
		// claims the machine anew.
		w.nextRead, x.refusedToken = now, x.token
	case NotInWave:
		w.notInWave[machine] = true
	}
}

// ownsClaim reports whether a claim is this decider's.
func (b *Planner) ownsClaim(c Claim) bool { return c.Pool == b.c.Pool && c.Epoch == b.c.Epoch }

// Draining returns the workers that are being drained, and those whose maintenance
// has begun, and since when.
func (b *Planner) Draining() map[string]time.Duration {
	l := map[string]time.Duration{}
	for _, n := range b.numbers {
		for _, x := range b.waves[n].inProgress {
			if x.worker != "" {
				l[x.worker] = x.drainStart
			}
		}
	}
	return l
}

// WorkerOf returns a machine's worker, or "".
func (b *Planner) WorkerOf(machine string) string { return b.machines[machine].Worker }

// DrainTimeout returns how long a worker may take to be drained: a wave's time is
// shared by the rounds that its cap asks for.
func (b *Planner) DrainTimeout(worker string) time.Duration {
	for _, n := range b.numbers {
		w := b.waves[n]
		for _, x := range w.inProgress {
			if x.worker == worker {
				rounds := (len(w.Machines) + w.slots() - 1) / w.slots()
				return max(w.Within/time.Duration(max(rounds, 1))-b.c.MaintenanceTime-listPeriod, 0)
			}
		}
	}
	return 0
}

// slots is how many machines may be down at once.
func (w *waveState) slots() int { return max(w.Cap, 1) }
