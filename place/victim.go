package place

import (
	"cmp"
	"slices"
	"strings"

	"citronbridge/jobs"
	"citronbridge/state"
)

// selectVictims selects borrowers to stop so that the needed room becomes free at each target,
// those that lose least first. It returns false if stopping borrowers can't free enough.
func (b *planner) selectVictims(need map[string]jobs.Room) ([]*state.Job, bool) {
	ids := make([]string, 0, len(need))
	for id := range need {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	freed := map[string]jobs.Room{}
	chosen := map[*state.Job]bool{}
	var v []*state.Job
	for _, id := range ids {
		p := b.TargetByID[id]
		for !need[id].Fits(p.Free.Plus(p.Ending).Plus(freed[id])) {
			j := b.cheapestVictim(id, chosen)
			if j == nil {
				return nil, false
			}
			chosen[j] = true
			v = append(v, j)
			for _, t := range j.Targets {
				freed[t] = freed[t].Plus(j.Spec.TaskRoom())
			}
		}
	}
	return v, true
}

// cheapestVictim returns the borrower at a target that loses least by being stopped, or nil.
// It skips jobs that are chosen already.
func (b *planner) cheapestVictim(id string, chosen map[*state.Job]bool) *state.Job {
	var best *state.Job
	for _, j := range b.TargetByID[id].Jobs {
		if chosen[j] || !b.preemptible(j) {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(b.PreemptionLoss(j, id), b.PreemptionLoss(best, id)),
			strings.Compare(j.Spec.Key().String(), best.Spec.Key().String())) < 0 {
			best = j
		}
	}
	return best
}

// preemptible reports whether a job may be stopped for a guarantee: it is running, isn't being
// stopped already, can be stopped without being lost, and isn't charged to a guarantee that is
// backed.
func (b *planner) preemptible(j *state.Job) bool {
	if j.Starting || j.Stopping || b.Stopped[j.Spec.Key()] || j.NonPreemptible() {
		return false
	}
	return j.Guarantee == "" || b.Backing[j.Guarantee] == nil
}
