package state

import "citronbridge/jobs"

// Usage is what accounts, callers and kinds hold: the room that each account borrows, the
// slots and accelerators of each caller, and the accelerators of each kind.
type Usage struct {
	Borrowed map[string]jobs.Room
	Callers  map[CallerKey]int
	Kinds    map[string]int
}

// CallerKey identifies a caller of an account.
type CallerKey struct{ Account, Caller string }

func newUsage() Usage {
	return Usage{map[string]jobs.Room{}, map[CallerKey]int{}, map[string]int{}}
}

// Add adds the whole gang of a request, as borrowed room if guarantee is empty.
func (u *Usage) Add(s *jobs.Spec, guarantee string) {
	r := s.TaskRoom().Times(s.Shape.Members)
	if guarantee == "" {
		u.Borrowed[s.Account] = u.Borrowed[s.Account].Plus(r)
	}
	u.Callers[CallerKey{s.Account, s.Caller}] += r.Slots + r.Accelerators
	u.Kinds[s.Kind] += r.Accelerators
}

// DominantShare returns the largest share of the total that r has of accelerators, processors
// or memory.
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
