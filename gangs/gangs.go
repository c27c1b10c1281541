// Package gangs leads the jobs of a cell through their lives: it reserves and
// starts gangs, watches over their members, stops them and records outcomes.
package gangs

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/active"
	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/place"
	"citronbridge/setup"
)

// Lost gives the cell up because another decider has fenced this one.
func (c *Gangs) Lost(why string) { c.deposed(why) }

// Wake asks for a new plan.
func (c *Gangs) Wake() {
	select {
	case c.Dirty <- struct{}{}:
	default:
	}
}

// Now returns the time.
func (c *Gangs) Now() time.Time { return c.Config.Timer.Now() }

// Event adds to a job's explanation. The lock is held.
func (c *Gangs) Event(j *active.Job, what, detail string) {
	j.Record.Log(jobs.Event{
		Time: c.Now(), What: what, Detail: detail, Host: c.Config.Host,
		Epoch: c.Hold.Epoch, Revision: c.Config.Book.Number(),
	})
}

// Fire moves a job. A move that its state forbids is a bug. The lock is held.
func (c *Gangs) Fire(j *active.Job, t jobs.Trigger) {
	if err := j.Record.Fire(t); err != nil {
		panic(err)
	}
}

// Bounds of calls.
const (
	callTimeout = 2 * time.Second
	// writeTimeout bounds the steps around a write, retries included.
	writeTimeout = 10 * time.Second
	// leaseMargin is what a lease may last longer at a target than here.
	leaseMargin = time.Second
)

// Gangs is the jobs and targets of a cell that this host decides for, under one
// lock.
type Gangs struct {
	// Name is the cell's. Hold is the right to decide for it, Taken when it was
	// taken.
	Name   string
	Config *setup.Config
	Hold   ledger.Ownership
	Taken  time.Time
	Log    zerolog.Logger
	// Ctx ends, by End, when the cell is given up. Work counts what still runs.
	Ctx  context.Context
	End  context.CancelFunc
	Work sync.WaitGroup
	// Dirty holds a token when a new plan is wanted.
	Dirty chan struct{}

	deposed func(why string)

	Mu    sync.Mutex
	Jobs  map[jobs.Key]*active.Job
	Nodes map[string]*Node
	// Waits says why jobs wait, by the last plan.
	Waits map[jobs.Key]place.Wait
	// Recent holds the jobs that ended or moved, so that a scan that read their
	// rows before doesn't bring them back.
	Recent   map[jobs.Key]active.Departure
	attempts int64
	declared map[string]float64
}

// New returns the empty gangs of a cell held under h. They call deposed once
// another decider has fenced the cell.
func New(c *setup.Config, h ledger.Ownership, taken time.Time, deposed func(why string)) *Gangs {
	g := &Gangs{
		Name: h.Cell, Config: c, Hold: h, Taken: taken, deposed: deposed,
		Log:   c.Log.With().Str("cell", h.Cell).Int64("epoch", h.Epoch).Logger(),
		Dirty: make(chan struct{}, 1),
		Jobs:  map[jobs.Key]*active.Job{}, Nodes: map[string]*Node{}, Waits: map[jobs.Key]place.Wait{},
		Recent: map[jobs.Key]active.Departure{}, declared: map[string]float64{},
	}
	g.Ctx, g.End = context.WithCancel(context.Background())
	return g
}
