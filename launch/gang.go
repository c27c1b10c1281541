package launch

import (
	"slices"
	"time"

	"citronbridge/track"
)

// gangWaitPercent is the part of the time that a gang's tasks wait for each other, in
// percent, after which a gang that isn't whole is stopped: the rest is for the
// stops to get through.
const gangWaitPercent = 60

// TrackGangStart notes that a gang's members are being started, or that some were found
// started after a takeover.
func (s *Launcher) TrackGangStart(st *track.Step) {
	if st.Ordered == 0 {
		st.Ordered = max(s.Now.Steady, 1)
		s.startingGangs = append(s.startingGangs, st)
	}
}

// StopIncompleteGangs stops gangs that can't be whole in time, and returns when to look again.
func (s *Launcher) StopIncompleteGangs() time.Duration {
	next := s.Now.Steady + time.Second
	for _, st := range slices.Clone(s.startingGangs) {
		if st.Ordered == 0 || s.gangResolved(st) {
			st.Ordered = 0
			continue
		}
		at := next
		if wait := s.Config.GangTimeout; wait > 0 {
			at = st.Ordered + wait*gangWaitPercent/100
		}
		if s.Now.Steady < at && !s.lacksMember(st) {
			next = min(next, at)
			continue
		}
		s.Note(st.Job, nil, nil, "gang isn't whole in time and is stopped: "+st.Key)
		s.stopGangRun(st, st.Last)
	}
	s.startingGangs = slices.DeleteFunc(s.startingGangs, func(st *track.Step) bool { return st.Ordered == 0 })
	return next
}

// gangResolved reports whether all members of a gang are confirmed as started, or none
// is any more.
func (s *Launcher) gangResolved(st *track.Step) bool {
	working, other := 0, 0
	for _, t := range st.Tasks {
		switch {
		case t.Run == nil:
		case t.Run.Phase == track.Working:
			working++
		default:
			other++
		}
	}
	return working == len(st.Tasks) || working+other == 0
}

// lacksMember reports whether a gang lacks a member that surely runs nowhere: a
// former decider hasn't started it.
func (s *Launcher) lacksMember(st *track.Step) bool {
	return slices.ContainsFunc(st.Tasks, func(t *track.Task) bool { return t.Run == nil && !t.Done && !s.MaybeRunning(t) })
}
