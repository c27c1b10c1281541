// Package waves carries out what a pool's decider wants done for waves of
// maintenance: in the table service, at the service of machines and towards the
// operator.
package waves

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/event"
	"citronbridge/maint"
	"citronbridge/platform/cloud"
	"citronbridge/repo"
)

// Machines is the service of machines.
type Machines interface {
	List(ctx context.Context) ([]maint.Machine, error)
	Maintain(ctx context.Context, machine string, wave int64, holder string, token int64) (maint.Outcome, error)
}

var _ Machines = (*cloud.Client)(nil)

// Config is what a Runner needs.
type Config struct {
	// Host names the holder of machines.
	Host  string
	Store repo.Store
	// Owner is what the pool is held by.
	Owner    repo.Condition
	Machines Machines
	// Now tells the decider's steady time.
	Now func() time.Duration
	// Notify passes events on to the decider.
	Notify func(event.Event)
	// OrderDone is told how each order came out.
	OrderDone func(maint.Outcome)
	// Deposed is called if the pool is another host's.
	Deposed func()
	Log     zerolog.Logger
}

// Runner carries out actions.
type Runner struct{ c Config }

// New returns a Runner.
func New(c Config) *Runner { return &Runner{c} }

// Do carries out an action, and tells the decider what came of it.
func (r *Runner) Do(ctx context.Context, a maint.Action) {
	switch a := a.(type) {
	case maint.ListMachines:
		sent := r.c.Now()
		l, err := r.c.Machines.List(ctx)
		if err != nil {
			r.c.Log.Warn().Err(err).Msg("machines can't be listed")
		}
		r.c.Notify(event.MachinesListed{Machines: l, Sent: sent, Err: err})
	case maint.ReadProgress:
		p, v, err := r.readProgress(ctx, a.Wave)
		r.notifyProgress(a.Wave, p, v, err)
	case maint.WriteProgress:
		p, v, held, err := r.writeProgress(ctx, a)
		if !held {
			r.c.Deposed()
			return
		}
		r.notifyProgress(a.Wave, p, v, err)
	case maint.OrderMaintenance:
		o, err := r.c.Machines.Maintain(ctx, a.Machine, a.Wave, r.c.Host, a.Token)
		r.c.Log.Info().Str("machine", a.Machine).Int64("wave", a.Wave).Int64("token", a.Token).Str("outcome", string(o)).AnErr("cause", err).Msg("maintenance ordered")
		r.c.OrderDone(o)
		r.c.Notify(event.MaintenanceAnswered{Wave: a.Wave, Machine: a.Machine, Outcome: o})
	case maint.ReportStatus:
		r.reportStatus(ctx, a)
	}
}

// notifyProgress passes on how a wave is.
func (r *Runner) notifyProgress(n int64, p maint.Progress, version int64, err error) {
	if err != nil {
		r.c.Log.Warn().Err(err).Int64("wave", n).Msg("progress of a wave isn't known")
	} else {
		r.c.Log.Info().Int64("wave", n).Int64("version", version).Interface("claims", p.Claims).Int("done", len(p.Done)).Msg("progress of a wave")
	}
	r.c.Notify(event.ProgressRead{Wave: n, Progress: p, Version: version, Err: err})
}

// statusRetryPause is kept between two tries to tell the operator.
const statusRetryPause = 300 * time.Millisecond

// reportStatus tells how a wave is, trying until that succeeds or ctx ends. That
// it is under way is told once.
func (r *Runner) reportStatus(ctx context.Context, a maint.ReportStatus) {
	b, err := cloud.EncodeStatus(a.Wave, a.Finished)
	if err != nil {
		panic(fmt.Sprint("status of a wave: ", err))
	}
	c := repo.Change{If: []repo.Condition{r.c.Owner}, Put: []repo.Row{{Table: cloud.TableStatus, Key: cloud.WaveKey(a.Wave), Value: b}}}
	if !a.Finished {
		c.If = append(c.If, repo.Condition{Table: cloud.TableStatus, Key: cloud.WaveKey(a.Wave)})
	}
	for ctx.Err() == nil {
		_, err := r.c.Store.Apply(ctx, c)
		if err == nil {
			r.c.Log.Info().Int64("wave", a.Wave).Bool("finished", a.Finished).Msg("operator is told of a wave")
			return
		}
		r.c.Log.Warn().Err(err).Int64("wave", a.Wave).Msg("operator can't be told of a wave yet")
		select {
		case <-ctx.Done():
		case <-time.After(statusRetryPause):
		}
	}
}
