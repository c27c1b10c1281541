package sched

import (
	"slices"
	"time"

	"citronbridge/event"
	"citronbridge/track"
	"citronbridge/work"
)

// handedOverCountTime is how long a job that was handed over still counts as waiting here. By then
// the heartbeats of its new pool's decider count it.
const handedOverCountTime = time.Second

// handedOver is a waiting job that was handed over.
type handedOver struct {
	queue string
	at    time.Duration
}

// findLeaving finds the jobs that the configuration sends to another pool.
func (s *State) findLeaving() {
	s.leaving = nil
	for _, j := range s.JobsByArrival {
		j.Leaving = j.HandingOver
		s.addLeaving(j)
	}
}

// addLeaving adds a job to those that leave if the configuration sends it to another pool.
func (s *State) addLeaving(j *track.Job) {
	if s.Rules == nil {
		return
	}
	if _, ok := s.Rules.NextPool(j.Spec, s.Config.Pool); ok {
		s.leaving = append(s.leaving, j)
	}
}

// handOver hands over the jobs that leave for another pool and of which nothing is running, or may
// be under a former decider. The others continue here until then.
func (s *State) handOver() {
	s.leaving = slices.DeleteFunc(s.leaving, func(j *track.Job) bool {
		return s.Jobs[j.Spec.ID] != j || j.HandingOver || j.Record.State.Final()
	})
	for _, j := range s.leaving {
		pool, ok := s.Rules.NextPool(j.Spec, s.Config.Pool)
		if j.Leaving = ok && !j.HasRuns() && !s.MayRun(j); !j.Leaving || j.SavedSeq < j.Seq {
			continue
		}
		moved := *j.Spec
		moved.Terms = s.Rules.Queues[j.Spec.Queue].Terms(s.Rules.Version)
		moved.Moves++
		job, err := work.EncodeJob(&moved)
		if err != nil {
			panic("encode job: " + err.Error())
		}
		rec, err := j.Record.HandedOver(pool, s.LastRunOf(j)).Encode()
		if err != nil {
			panic("encode job record: " + err.Error())
		}
		// From here on the new pool's decider may write the record.
		j.HandingOver = true
		s.Log(j, nil, nil, "handing the job over to pool "+pool)
		s.Emit(event.HandOver{ID: j.Spec.ID, Record: rec, Job: job})
	}
}

// jobForeign drops a job that belongs to another pool. None of its tasks is started here any more.
func (s *State) jobForeign(id string) {
	j := s.Jobs[id]
	if j == nil {
		return
	}
	s.Log(j, nil, nil, "job belongs to another pool; dropping it")
	for _, st := range j.Steps {
		for _, t := range st.Tasks {
			if t.Run != nil {
				s.Stop(t.Run)
			}
		}
	}
	if j.Waiting() {
		s.handedOver = append(s.handedOver, handedOver{j.Spec.Queue, s.Now.Steady})
	}
	s.ForgetJob(j)
}

// WaitingByQueue returns how many jobs have no started task, by queue, with those that were handed
// over just now.
func (s *State) WaitingByQueue() map[string]int {
	m := s.Pool.WaitingByQueue()
	s.handedOver = slices.DeleteFunc(s.handedOver, func(h handedOver) bool { return s.Now.Steady-h.at > handedOverCountTime })
	for _, h := range s.handedOver {
		m[h.queue]++
	}
	return m
}
