package demand

import (
	"slices"
	"time"

	"citronbridge/assign"
	"citronbridge/track"
)

// reclaimDivisor determines how long work within a guarantee waits for capacity to become
// free before it reclaims capacity: ReclaimTime divided by this. Waiting first pays off as
// urgent runs are short. The rest of ReclaimTime is for stopping runs and for the answers to
// orders.
const reclaimDivisor = 3

// singleRackFactor is how many times as long such work waits for a single rack, if it is slow
// on several: for as long again as it waits before it reclaims, so that it reclaims the room of
// one rack first.
const singleRackFactor = 2

// applyGuarantees decides which work is within its account's guarantee. Urgent runs are
// counted first, in the order in which their jobs arrived, then waiting urgent units by
// rank. Units within the guarantee may reclaim capacity once they have waited long enough.
func applyGuarantees(p *track.Pool, units []*assign.Unit) {
	used, total := markBorrowedRuns(p)
	urgent := slices.DeleteFunc(slices.Clone(units), func(u *assign.Unit) bool { return u.Priority != 0 })
	slices.SortStableFunc(urgent, func(a, b *assign.Unit) int { return int(min(max(a.Rank-b.Rank, -1), 1)) })
	accounts, readyFor := make([]string, len(urgent)), make([]time.Duration, len(urgent))
	for i, u := range urgent {
		id := u.TaskID(u.Indexes[0])
		j := p.Jobs[id.Job]
		accounts[i], readyFor[i] = j.Spec.Tenant, p.Now.Steady-j.Step(id.Occurrence, id.Step).ReadyAt
		total[accounts[i]] += u.Accelerators()
	}
	for i, u := range urgent {
		a := accounts[i]
		used[a] += u.Accelerators()
		if used[a] > p.Guaranteed(a) {
			// Units of the account that rank behind this one don't overtake it either, so
			// its demand stays counted.
			continue
		}
		after := p.Config.ReclaimTime / reclaimDivisor
		if u.Reclaims = readyFor[i] >= after; !u.Reclaims {
			p.PlaceBy(p.Now.Steady + after - readyFor[i])
		}
		if total[a] <= p.Guaranteed(a) && p.Config.ReclaimTime > 0 {
			// The account's demand is within its guarantee as a whole, so all of it must
			// start within ReclaimTime, whether near its data or not.
			u.SingleRackWait = singleRackFactor * after
			u.LocalityWait = min(u.LocalityWait, u.SingleRackWait)
		}
	}
}

// markBorrowedRuns marks the urgent runs that exceed their account's guarantee, gangs as a
// whole. It returns by account the accelerators in use within the guarantee, and in total.
func markBorrowedRuns(p *track.Pool) (used, total map[string]int64) {
	used, total = map[string]int64{}, map[string]int64{}
	count := func(account string, l ...*track.Run) {
		var need int64
		for _, r := range l {
			need += r.Demand.Accelerators
		}
		total[account] += need
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
					count(j.Spec.Tenant, t.Run)
				}
			}
			count(j.Spec.Tenant, gang...)
		}
	}
	return used, total
}
