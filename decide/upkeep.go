package decide

import (
	"context"
	"time"

	"citronbridge/event"
	"citronbridge/platform/cloud"
	"citronbridge/upkeep"
)

// Machines is the service of machines.
type Machines interface {
	List(ctx context.Context) ([]upkeep.Machine, error)
	Upkeep(ctx context.Context, machine string, wave int64, holder string, token int64) (upkeep.Outcome, error)
}

var _ Machines = (*cloud.Client)(nil)

// WaveAsked passes a wave of upkeep on.
func (d *Decider) WaveAsked(w upkeep.Wave) { d.tell(event.WaveAsked{Wave: w}) }

// WaveDropped passes on that a wave was taken back.
func (d *Decider) WaveDropped(n int64) { d.tell(event.WaveDropped{Wave: n}) }

// upkeep carries out a step of a wave.
func (d *Decider) upkeep(a upkeep.Action) {
	switch a := a.(type) {
	case upkeep.List:
		d.goes(func() {
			sent := d.clock().Steady
			l, err := d.c.Machines.List(d.ctx)
			if err != nil {
				d.log.Warn().Err(err).Msg("machines can't be listed")
			}
			d.tell(event.MachinesListed{Machines: l, Sent: sent, Err: err})
		})
	case upkeep.Read:
		d.goes(func() {
			p, v, err := d.c.Owners.Progress(d.ctx, a.Wave)
			d.progress(a.Wave, p, v, err)
		})
	case upkeep.Write:
		d.goes(func() {
			p, v, held, err := d.c.Owners.SetProgress(d.ctx, d.c.Ownership, a.Wave, a.Progress, a.Version)
			if !held {
				d.deposed()
				return
			}
			d.progress(a.Wave, p, v, err)
		})
	case upkeep.Order:
		d.order("upkeep", func() (event.Event, event.Outcome) {
			o, err := d.c.Machines.Upkeep(d.ctx, a.Machine, a.Wave, d.c.Owner.Host, a.Token)
			d.log.Info().Str("machine", a.Machine).Int64("wave", a.Wave).Int64("token", a.Token).Str("outcome", string(o)).AnErr("cause", err).Msg("upkeep ordered")
			return event.UpkeepAnswered{Wave: a.Wave, Machine: a.Machine, Outcome: o}, event.Outcome(o)
		})
	case upkeep.Tell:
		d.goes(func() { d.tellOperator(a) })
	}
}

// progress passes on how a wave is.
func (d *Decider) progress(n int64, p upkeep.Progress, version int64, err error) {
	if err != nil {
		d.log.Warn().Err(err).Int64("wave", n).Msg("progress of a wave isn't known")
	} else {
		d.log.Info().Int64("wave", n).Int64("version", version).Interface("claims", p.Claims).Int("done", len(p.Done)).Msg("progress of a wave")
	}
	d.tell(event.ProgressRead{Wave: n, Progress: p, Version: version, Err: err})
}

// tellPause is kept between two tries to tell the operator.
const tellPause = 300 * time.Millisecond

// tellOperator tells how a wave is, trying until that succeeds or the pool is
// lost.
func (d *Decider) tellOperator(a upkeep.Tell) {
	b, err := cloud.EncodeStatus(a.Wave, a.Finished)
	if err != nil {
		panic(err.Error())
	}
	for d.ctx.Err() == nil {
		err := d.c.Owners.Tell(d.ctx, d.c.Ownership, cloud.TableStatus, cloud.WaveKey(a.Wave), b, !a.Finished)
		if err == nil {
			d.log.Info().Int64("wave", a.Wave).Bool("finished", a.Finished).Msg("operator is told of a wave")
			return
		}
		d.log.Warn().Err(err).Int64("wave", a.Wave).Msg("operator can't be told of a wave yet")
		select {
		case <-d.ctx.Done():
		case <-time.After(tellPause):
		}
	}
}
