package demand

import (
	"fmt"
	"testing"
)

// BenchmarkTrackWaits plans for 300 waiting jobs of a queue with advice on 3000 idle workers, none
// of which has a ticket.
func BenchmarkTrackWaits(b *testing.B) {
	for _, advised := range []bool{true, false} {
		b.Run(fmt.Sprint("advised ", advised), func(b *testing.B) {
			var jobs []string
			for i := range 300 {
				jobs = append(jobs, fmt.Sprintf("%016x", i+1))
			}
			p := waitingPool(3000, jobs...)
			for _, w := range p.WorkersByID {
				w.Used.Accelerators = 2
				w.Capacity.MilliCPU = 1000
			}
			p.Rules.Queues["advised"].Advice = advised
			units := Units(p)
			workers, _ := Workers(p)
			for b.Loop() {
				TrackWaits(p, units, workers)
			}
		})
	}
}
