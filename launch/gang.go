package launch

import (
	"slices"
	"time"

	"citronbridge/track"
)

// gangWaitPercent is how much of the gang timeout, in percent, may pass before an
// incomplete gang is stopped. Started members wait at their workers for the others
// until the timeout, and the rest of it is for the stops to reach them.
const gangWaitPercent = 60

// TrackGangStart records that the start of a gang has begun: that its members are
// being started, or that some were found started after a takeover.
func (s *Launcher) TrackGangStart(st *track.Step) {
	if st.GangOrderedAt == 0 {
		st.GangOrderedAt = max(s.Now.Steady, 1)
		s.startingGangs = append(s.startingGangs, st)
	}
}

// StopIncompleteGangs stops gangs that can't be complete before their members time
// out. It returns the steady time by which it is to be called again.
func (s *Launcher) StopIncompleteGangs() time.Duration {
	next := s.Now.Steady + time.Second
	for _, st := range slices.Clone(s.startingGangs) {
		if st.GangOrderedAt == 0 || s.gangResolved(st) {
			st.GangOrderedAt = 0
			continue
		}
		at := next
		if wait := s.Config.GangTimeout; wait > 0 {
			at = st.GangOrderedAt + wait*gangWaitPercent/100
		}
		if s.Now.Steady < at && !s.lacksMember(st) {
			next = min(next, at)
			continue
		}
		s.Log(st.Job, nil, nil, "gang is incomplete and is stopped, step "+st.Key)
		s.stopGangRun(st, st.LastRun)
	}
	s.startingGangs = slices.DeleteFunc(s.startingGangs, func(st *track.Step) bool { return st.GangOrderedAt == 0 })
	return next
}

// gangResolved reports whether the start of a gang is over: all members are confirmed
// as started, or no member has a run any more.
func (s *Launcher) gangResolved(st *track.Step) bool {
	running, other := 0, 0
	for _, t := range st.Tasks {
		switch {
		case t.Run == nil:
		case t.Run.Phase == track.Running:
			running++
		default:
			other++
		}
	}
	return running == len(st.Tasks) || running+other == 0
}

// lacksMember reports whether a gang can't become complete, as a member has no run
// and no former decider can have started it.
func (s *Launcher) lacksMember(st *track.Step) bool {
	return slices.ContainsFunc(st.Tasks, func(t *track.Task) bool { return t.Run == nil && !t.Done && !s.MaybeRunning(t) })
}
