// Package waves performs the actions that a pool's decider requests for
// maintenance waves: it accesses the store, calls the machine service and reports
// to the operator.
package waves

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/event"
	"citronbridge/maint"
	"citronbridge/platform"
	"citronbridge/platform/cloud"
	"citronbridge/repo"
)

// Machines is a client of the machine service.
type Machines interface {
	List(ctx context.Context) ([]maint.Machine, error)
	Maintain(ctx context.Context, machine string, wave int64, holder string, token int64) (maint.Outcome, error)
}

var _ Machines = (*cloud.Client)(nil)

// Config is the configuration of a Runner.
type Config struct {
	// Host is sent to the machine service as the holder of machines.
	Host  string
	Store repo.Store
	// Owner is the condition that the pool is still owned by this decider.
	Owner    repo.Condition
	Machines Machines
	// Now returns the decider's monotonic time.
	Now func() time.Duration
	// Notify sends an event to the decider.
	Notify func(event.Event)
	// OrderDone is called with the outcome of each order.
	OrderDone func(maint.Outcome)
	// Deposed is called if a write shows that another host owns the pool.
	Deposed func()
	Log     zerolog.Logger
}

// Runner performs actions of a maint.Planner.
type Runner struct{ c Config }

// New returns a Runner.
func New(c Config) *Runner { return &Runner{c} }

// Do performs an action and notifies the decider of the result.
func (r *Runner) Do(ctx context.Context, a maint.Action) {
	switch a := a.(type) {
	case maint.ListMachines:
		sent := r.c.Now()
		l, err := r.c.Machines.List(ctx)
		if err != nil {
			r.c.Log.Warn().Err(err).Msg("machine list failed; the maintenance planner will retry")
		}
		r.c.Notify(event.MachinesListed{Machines: l, Sent: sent, Err: err})
	case maint.ReadProgress:
		p, v, err := r.readProgress(ctx, a.Wave)
		r.notifyProgress(a.Wave, p, v, err)
	case maint.WriteProgress:
		p, v, owned, err := r.writeProgress(ctx, a)
		if !owned {
			r.c.Deposed()
			return
		}
		r.notifyProgress(a.Wave, p, v, err)
	case maint.OrderMaintenance:
		o, err := r.c.Machines.Maintain(ctx, a.Machine, a.Wave, r.c.Host, a.Token)
		r.c.Log.Info().Str("machine", a.Machine).Int64("wave", a.Wave).Int64("token", a.Token).Str("outcome", string(o)).AnErr("cause", err).Msg("call to order machine maintenance ended")
		r.c.OrderDone(o)
		r.c.Notify(event.MaintenanceAnswered{Wave: a.Wave, Machine: a.Machine, Outcome: o})
	case maint.ReportStatus:
		r.reportStatus(ctx, a)
	}
}

// notifyProgress notifies the decider of a wave's progress or of an error.
func (r *Runner) notifyProgress(n int64, p maint.Progress, version int64, err error) {
	if err != nil {
		r.c.Log.Warn().Err(err).Int64("wave", n).Msg("progress of maintenance wave unknown; it will be read again")
	} else {
		r.c.Log.Info().Int64("wave", n).Int64("version", version).Interface("claims", p.Claims).Int("done", len(p.Done)).Msg("progress of maintenance wave read or written")
	}
	r.c.Notify(event.ProgressRead{Wave: n, Progress: p, Version: version, Err: err})
}

// statusRetryPause is the pause between two attempts to report a wave's status.
const statusRetryPause = 300 * time.Millisecond

// reportStatus writes the status of a wave for the operator, and retries until the
// store answers or ctx ends. Nothing is written if the pool has another owner or the
// operator has changed the wave. The status of a running wave replaces only one from
// before the operator's last change, so never that of the finished wave.
func (r *Runner) reportStatus(ctx context.Context, a maint.ReportStatus) {
	b, err := cloud.EncodeStatus(a.Wave, a.Finished)
	if err != nil {
		panic(fmt.Sprint("encode status of maintenance wave: ", err))
	}
	status := repo.Condition{Table: cloud.TableStatus, Key: cloud.WaveKey(a.Wave)}
	for ctx.Err() == nil {
		c := repo.Change{If: []repo.Condition{r.c.Owner}, Put: []repo.Row{{Table: status.Table, Key: status.Key, Value: b}}}
		if a.Version > 0 {
			c.If = append(c.If, repo.Condition{Table: platform.TableOperator, Key: status.Key, Version: a.Version})
		}
		if !a.Finished {
			c.If = append(c.If, status)
		}
		res, err := r.c.Store.Apply(ctx, c)
		if err == nil {
			if v := versionOf(res.Current, status); !res.Applied && !a.Finished && status.Version < v && v < a.Version {
				status.Version = v
				continue
			}
			r.c.Log.Info().Int64("wave", a.Wave).Bool("finished", a.Finished).Bool("written", res.Applied).Msg("status of maintenance wave written, unless superseded")
			return
		}
		r.c.Log.Warn().Err(err).Int64("wave", a.Wave).Msg("status report of maintenance wave failed; retrying")
		select {
		case <-ctx.Done():
		case <-time.After(statusRetryPause):
		}
	}
}

// versionOf returns the version of a condition's row among rows, 0 if it isn't there.
func versionOf(rows []repo.Row, c repo.Condition) int64 {
	for _, r := range rows {
		if r.Table == c.Table && r.Key == c.Key {
			return r.Version
		}
	}
	return 0
}
