package launch

import (
	"slices"
	"time"

	"citronbridge/track"
)

// gangShare is the part of the time that a gang's tasks wait for each other, in
// percent, after which a gang that isn't whole is stopped: the rest is for the
// stops to get through.
const gangShare = 60

// Opens notes that a gang's members are being started, or that some were found
// started after a takeover.
func (s *Launcher) Opens(st *track.Step) {
	if st.GangOrderedAt == 0 {
		st.GangOrderedAt = max(s.Now.Steady, 1)
		s.gangs = append(s.gangs, st)
	}
}

// Gangs stops gangs that can't be whole in time, and returns when to look again.
func (s *Launcher) Gangs() time.Duration {
	next := s.Now.Steady + time.Second
	for _, st := range slices.Clone(s.gangs) {
		if st.GangOrderedAt == 0 || s.whole(st) {
			st.GangOrderedAt = 0
			continue
		}
		at := next
		if wait := s.Config.GangTimeout; wait > 0 {
			at = st.GangOrderedAt + wait*gangShare/100
		}
		if s.Now.Steady < at && !s.lacking(st) {
			next = min(next, at)
			continue
		}
		s.Log(st.Job, nil, nil, "gang isn't whole in time and is stopped: "+st.Key)
		s.breakGang(st, st.LastRun)
	}
	s.gangs = slices.DeleteFunc(s.gangs, func(st *track.Step) bool { return st.GangOrderedAt == 0 })
	return next
}

// whole reports whether all members of a gang are confirmed as started, or none
// is any more.
func (s *Launcher) whole(st *track.Step) bool {
	working, other := 0, 0
	for _, t := range st.Tasks {
		switch {
		case t.Run == nil:
		case t.Run.Phase == track.Running:
			working++
		default:
			other++
		}
	}
	return working == len(st.Tasks) || working+other == 0
}

// lacking reports whether a gang lacks a member that surely runs nowhere: a
// former decider hasn't started it.
func (s *Launcher) lacking(st *track.Step) bool {
	return slices.ContainsFunc(st.Tasks, func(t *track.Task) bool { return t.Run == nil && !t.Done && !s.MaybeRunning(t) })
}
