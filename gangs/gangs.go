// Package gangs runs the jobs of a cell: it reserves and starts gangs, follows the states of
// their members, stops them and records outcomes.
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

// Depose reports, with the reason, that another decider has fenced this one, so that the cell
// is released.
func (c *Controller) Depose(reason string) { c.onDeposed(reason) }

// RequestPlan asks for a new plan. Requests that are pending are merged into one.
func (c *Controller) RequestPlan() {
	select {
	case c.PlanRequests <- struct{}{}:
	default:
	}
}

// Now returns the time of the configured timer.
func (c *Controller) Now() time.Time { return c.Config.Timer.Now() }

// AddEvent appends an event to a job's record, with this host, its epoch and the manifest
// revision. The caller holds Mu.
func (c *Controller) AddEvent(j *active.Job, what, detail string) {
	j.Record.AddEvent(jobs.Event{
		Time: c.Now(), What: what, Detail: detail, Host: c.Config.Host,
		Epoch: c.Hold.Epoch, Revision: c.Config.Revisions.Number(),
	})
}

// Fire moves a job to the state that the trigger leads to. It panics if the job's state
// doesn't permit the trigger, as that is a bug. The caller holds Mu.
func (c *Controller) Fire(j *active.Job, t jobs.Trigger) {
	if err := j.Record.Fire(t); err != nil {
		panic(err)
	}
}

// Time limits of calls, and the margin of leases.
const (
	// callTimeout bounds one call of a target or read of a row.
	callTimeout = 2 * time.Second
	// writeTimeout bounds a launch, a write of an outcome with its retries, and a read of a large
	// output.
	writeTimeout = 10 * time.Second
	// leaseMargin is by how much a lease may last longer at a target than as measured here.
	leaseMargin = time.Second
)

// Controller holds the jobs and targets of a cell for which this host decides. Mu guards what
// is declared below it.
type Controller struct {
	// Name is the cell's name. Hold is the right to decide for it, and AcquiredAt is when the
	// host got that right.
	Name       string
	Config     *setup.Config
	Hold       ledger.Ownership
	AcquiredAt time.Time
	Log        zerolog.Logger
	// Ctx is cancelled by CancelCtx when the cell is released. Work counts the goroutines that
	// still run.
	Ctx       context.Context
	CancelCtx context.CancelFunc
	Work      sync.WaitGroup
	// PlanRequests holds a token while a new plan is requested.
	PlanRequests chan struct{}

	onDeposed func(why string)

	Mu    sync.Mutex
	Jobs  map[jobs.Key]*active.Job
	Nodes map[string]*Node
	// Waits holds why jobs wait, as of the last plan.
	Waits map[jobs.Key]place.Wait
	// Departed holds the jobs that ended or moved recently. A scan that read their rows before
	// that must not add them again.
	Departed    map[jobs.Key]active.Departure
	lastAttempt int64
	// logRunTimeRatio holds, for each account, the mean logarithm of the ratio of actual to
	// declared run times.
	logRunTimeRatio map[string]float64
}

// New returns a Controller without jobs for a cell held under h. It calls onDeposed once
// another decider has fenced the cell.
func New(c *setup.Config, h ledger.Ownership, acquiredAt time.Time, onDeposed func(why string)) *Controller {
	g := &Controller{
		Name: h.Cell, Config: c, Hold: h, AcquiredAt: acquiredAt, onDeposed: onDeposed,
		Log:          c.Log.With().Str("cell", h.Cell).Int64("epoch", h.Epoch).Logger(),
		PlanRequests: make(chan struct{}, 1),
		Jobs:         map[jobs.Key]*active.Job{}, Nodes: map[string]*Node{}, Waits: map[jobs.Key]place.Wait{},
		Departed: map[jobs.Key]active.Departure{}, logRunTimeRatio: map[string]float64{},
	}
	g.Ctx, g.CancelCtx = context.WithCancel(context.Background())
	return g
}
