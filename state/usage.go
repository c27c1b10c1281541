package state

import "citronbridge/jobs"

// Usage is what accounts, callers and kinds hold.
type Usage struct {
	Borrowed map[string]jobs.Room
	Callers  map[CallerKey]int
	Kinds    map[string]int
}

type CallerKey struct{ Account, Caller string }

func newUsage() Usage {
	return Usage{map[string]jobs.Room{}, map[CallerKey]int{}, map[string]int{}}
}

func (u *Usage) Add(s *jobs.Spec, guarantee string) {
	r := s.TaskRoom().Times(s.Shape.Members)
	if guarantee == "" {
		u.Borrowed[s.Account] = u.Borrowed[s.Account].Plus(r)
	}
	u.Callers[CallerKey{s.Account, s.Caller}] += r.Slots + r.Accelerators
	u.Kinds[s.Kind] += r.Accelerators
}

// DominantShare returns the dominant share of the total that r is.
func DominantShare(r, total jobs.Room) float64 {
	f := func(a, b int64) float64 {
		if b == 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	return max(
		f(int64(r.Accelerators), int64(total.Accelerators)),
		f(int64(r.Processors), int64(total.Processors)),
		f(int64(r.Memory), int64(total.Memory)),
	)
}
