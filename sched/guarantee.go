package sched

import (
	"slices"

	"citronbridge/assign"
)

// reclaimAfter is the part of the bound on reclaims, as a divisor, that work
// within a guarantee waits in its turn, for a single rack if it is slow on
// several: urgent runs are short. The rest is for runs to be stopped and orders
// to be answered.
const reclaimAfter = 3

// cover finds what is within each account's guarantee: of urgent runs those of
// the jobs that were taken in first, then what waits, by rank.
func (s *State) cover(units []*assign.Unit) {
	used, all := s.coverRuns()
	urgent := slices.DeleteFunc(slices.Clone(units), func(u *assign.Unit) bool { return u.Priority != 0 })
	slices.SortStableFunc(urgent, func(a, b *assign.Unit) int { return int(min(max(a.Rank-b.Rank, -1), 1)) })
	accounts := make([]string, len(urgent))
	for i, u := range urgent {
		accounts[i] = s.jobs[u.Task(u.Indexes[0]).Job].spec.Tenant
		all[accounts[i]] += u.Accelerators()
	}
	for i, u := range urgent {
		a := accounts[i]
		used[a] += u.Accelerators()
		if used[a] > s.guaranteed(a) {
			// What the account asks for later doesn't pass it either.
			continue
		}
		after := s.c.Reclaim / reclaimAfter
		if u.Reclaims = u.Waited >= after; !u.Reclaims {
			s.placeBy(s.now.Steady + after - u.Waited)
		}
		if all[a] <= s.guaranteed(a) && s.c.Reclaim > 0 {
			// The account asks for no more than its guarantee: the bound on
			// reclaims holds for all of it, near its data or not.
			u.RackWait = after
			u.Patience = min(u.Patience, u.RackWait)
		}
	}
}

// coverRuns marks the urgent runs beyond their account's guarantee, gangs as a
// whole, and returns the accelerators in use within it and in all, by account.
func (s *State) coverRuns() (used, all map[string]int64) {
	used, all = map[string]int64{}, map[string]int64{}
	cover := func(account string, l ...*run) {
		var need int64
		for _, r := range l {
			need += r.demand.Accelerators
		}
		all[account] += need
		fits := used[account]+need <= s.guaranteed(account)
		if fits {
			used[account] += need
		}
		for _, r := range l {
			r.borrowed = !fits
		}
	}
	for _, j := range s.order {
		if j.priority(s.rules) != 0 {
			continue
		}
		for _, st := range j.steps {
			var gang []*run
			for _, t := range st.tasks {
				switch {
				case t.run == nil || t.run.phase == stopping:
				case st.spec.Gang:
					gang = append(gang, t.run)
				default:
					cover(j.spec.Tenant, t.run)
				}
			}
			cover(j.spec.Tenant, gang...)
		}
	}
	return used, all
}

// guaranteed returns an account's guaranteed accelerators.
func (s *State) guaranteed(account string) int64 {
	if a := s.rules.Accounts[account]; a != nil {
		return a.Guaranteed
	}
	return 0
}
