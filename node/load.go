package node

import (
	"time"

	"citronbridge/timer"
)

// overloadSpan is over how long standstills are summed up. A host is overloaded
// from overloadFrom of it on until it is below overloadTo.
const (
	overloadWindow    = time.Second
	overloadThreshold = 250 * time.Millisecond
	overloadRecovery  = 100 * time.Millisecond
)

// stallMonitor returns what is to be called regularly: it measures how much this
// process stands still, and logs when that becomes much and when it is over.
func (h *Host) stallMonitor() func(time.Time) {
	var total time.Duration
	overloaded := false
	return func(time.Time) {
		h.stalls.Tick()
		now := h.stalls.Total()
		h.meter.Stalled.Add((now - total).Seconds())
		total = now
		stalled := h.stalls.Since(timer.Boot() - overloadWindow)
		if !overloaded && stalled > overloadThreshold || overloaded && stalled < overloadRecovery {
			overloaded = !overloaded
			h.log.Warn().Bool("overloaded", overloaded).Dur("stalled", stalled).Dur("stalledInAll", total).Msg("load of the host")
		}
	}
}
