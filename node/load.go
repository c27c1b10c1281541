package node

import (
	"time"

	"citronbridge/timer"
)

// overloadSpan is over how long standstills are summed up. A host is overloaded
// from overloadFrom of it on until it is below overloadTo.
const (
	overloadSpan = time.Second
	overloadFrom = 250 * time.Millisecond
	overloadTo   = 100 * time.Millisecond
)

// watchLoad returns what is to be called regularly: it measures how much this
// process stands still, and logs when that becomes much and when it is over.
func (h *Host) watchLoad() func(time.Time) {
	var total time.Duration
	overloaded := false
	return func(time.Time) {
		h.stalls.Tick()
		now := h.stalls.TotalStalled()
		h.meter.Stalled.Add((now - total).Seconds())
		total = now
		stood := h.stalls.StalledSince(timer.SinceBoot() - overloadSpan)
		if !overloaded && stood > overloadFrom || overloaded && stood < overloadTo {
			overloaded = !overloaded
			h.log.Warn().Bool("overloaded", overloaded).Dur("stalled", stood).Dur("stalledInAll", total).Msg("load of the host")
		}
	}
}
