package place

import (
	"cmp"
	"slices"
	"strings"

	"citronbridge/jobs"
)

// Weights of what stopping a job loses.
const (
	// checkpointedLoss and restartedLoss weigh the work of a job that goes on
	// where it stopped, and of one that starts again, in percent.
	checkpointedLoss = 5
	restartedLoss    = 100
)

// victims finds borrowers whose end frees the needed room at each target, the
// least costly first. It reports whether that is possible.
func (b *board) victims(need map[string]jobs.Room) ([]*Job, bool) {
	ids := make([]string, 0, len(need))
	for id := range need {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	freed := map[string]jobs.Room{}
	chosen := map[*Job]bool{}
	var v []*Job
	for _, id := range ids {
		p := b.at[id]
		for !need[id].Fits(p.free.Plus(p.ending).Plus(freed[id])) {
			j := b.cheapest(id, chosen)
			if j == nil {
				return nil, false
			}
			chosen[j] = true
			v = append(v, j)
			for _, t := range j.Targets {
				freed[t] = freed[t].Plus(j.Spec.Task())
			}
		}
	}
	return v, true
}

// cheapest returns the borrower at a target whose stop loses least.
func (b *board) cheapest(id string, chosen map[*Job]bool) *Job {
	var best *Job
	for _, j := range b.at[id].jobs {
		if chosen[j] || !b.yields(j) {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(b.loss(j, id), b.loss(best, id)),
			strings.Compare(j.Spec.Key().String(), best.Spec.Key().String())) < 0 {
			best = j
		}
	}
	return best
}

// yields reports whether a job may be stopped for a guarantee.
func (b *board) yields(j *Job) bool {
	if j.Starting || j.Stopping || b.stopped[j.Spec.Key()] || j.fixed() {
		return false
	}
	return j.Guarantee == "" || b.seats[j.Guarantee] == nil
}

// loss returns the accelerator seconds that stopping a job loses, for each
// accelerator that it frees at the target.
func (b *board) loss(j *Job, id string) float64 {
	w := restartedLoss
	if j.Spec.Checkpoints {
		w = checkpointedLoss
	}
	ran := max(b.in.Now.Sub(j.Started).Seconds(), 0) + 1
	here := 0
	for _, t := range j.Targets {
		if t == id {
			here += j.Spec.Shape.Each.Accelerators
		}
	}
	return float64(w) * ran * float64(max(j.Spec.Shape.Accelerators(), 1)) / float64(max(here, 1))
}

// stop counts a job as ending.
func (b *board) stop(j *Job) {
	b.stopped[j.Spec.Key()] = true
	for _, id := range j.Targets {
		if p := b.at[id]; p != nil {
			p.ending = p.ending.Plus(j.Spec.Task())
		}
	}
}
