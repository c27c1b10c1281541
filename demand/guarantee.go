package demand

import (
	"slices"

	"citronbridge/assign"
	"citronbridge/track"
)

// reclaimDivisor is the part of the bound on reclaims, as a divisor, that work
// within a guarantee waits in its turn, for a single rack if it is slow on
// several: urgent runs are short. The rest is for runs to be stopped and orders
// to be answered.
const reclaimDivisor = 3

// coverGuarantees finds what is within each account's guarantee: of urgent runs those of
// the jobs that were taken in first, then what waits, by rank.
func coverGuarantees(p *track.Pool, units []*assign.Unit) {
	used, all := coverRuns(p)
	urgent := slices.DeleteFunc(slices.Clone(units), func(u *assign.Unit) bool { return u.Priority != 0 })
	slices.SortStableFunc(urgent, func(a, b *assign.Unit) int { return int(min(max(a.Rank-b.Rank, -1), 1)) })
	accounts := make([]string, len(urgent))
	for i, u := range urgent {
		accounts[i] = p.Jobs[u.Task(u.Indexes[0]).Job].Spec.Tenant
		all[accounts[i]] += u.Accelerators()
	}
	for i, u := range urgent {
		a := accounts[i]
		used[a] += u.Accelerators()
		if used[a] > p.Guaranteed(a) {
			// What the account asks for later doesn't pass it either.
			continue
		}
		after := p.Config.ReclaimTime / reclaimDivisor
		if u.Reclaims = u.Waited >= after; !u.Reclaims {
			p.PlaceBy(p.Now.Steady + after - u.Waited)
		}
		if all[a] <= p.Guaranteed(a) && p.Config.ReclaimTime > 0 {
			// The account asks for no more than its guarantee: the bound on
			// reclaims holds for all of it, near its data or not.
			u.RackWait = after
			u.Patience = min(u.Patience, u.RackWait)
		}
	}
}

// coverRuns marks the urgent runs beyond their account's guarantee, gangs as a
// whole, and returns the accelerators in use within it and in all, by account.
func coverRuns(p *track.Pool) (used, all map[string]int64) {
	used, all = map[string]int64{}, map[string]int64{}
	cover := func(account string, l ...*track.Run) {
		var need int64
		for _, r := range l {
			need += r.Demand.Accelerators
		}
		all[account] += need
		fits := used[account]+need <= p.Guaranteed(account)
		if fits {
			used[account] += need
		}
		for _, r := range l {
			r.Borrowed = !fits
		}
	}
	for _, j := range p.JobsByArrival {
		if p.Priority(j) != 0 {
			continue
		}
		for _, st := range j.Steps {
			var gang []*track.Run
			for _, t := range st.Tasks {
				switch {
				case t.Run == nil || t.Run.Phase == track.Stopping:
				case st.Spec.Gang:
					gang = append(gang, t.Run)
				default:
					cover(j.Spec.Tenant, t.Run)
				}
			}
			cover(j.Spec.Tenant, gang...)
		}
	}
	return used, all
}
