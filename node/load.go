package node

import (
	"time"

	"citronbridge/timer"
)

// A host counts as overloaded once its process was stalled for more than overloadThreshold within
// the last overloadWindow, until the stalled time in the window falls below overloadRecovery.
const (
	overloadWindow    = time.Second
	overloadThreshold = 250 * time.Millisecond
	overloadRecovery  = 100 * time.Millisecond
)

// stallMonitor returns a function to be called every stall.Period. It measures for how long this
// process is stalled, and logs when the host becomes overloaded and when it has recovered.
func (h *Host) stallMonitor() func(time.Time) {
	var total time.Duration
	overloaded := false
	return func(time.Time) {
		h.stalls.Tick()
		now := h.stalls.TotalStalled()
		h.meter.Stalled.Add((now - total).Seconds())
		total = now
		stalled := h.stalls.StalledSince(timer.SinceBoot() - overloadWindow)
		if !overloaded && stalled > overloadThreshold || overloaded && stalled < overloadRecovery {
			overloaded = !overloaded
			h.log.Warn().Bool("overloaded", overloaded).Dur("stalled", stalled).Dur("stalledInAll", total).Msg("overload state of the host changed")
		}
	}
}
