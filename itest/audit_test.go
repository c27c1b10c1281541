package itest

import (
	"context"
	"testing"
	"time"

	"citronbridge/client"
	"citronbridge/entry"
	"citronbridge/jobs"
)

// partialRunLimit is how long a member may run if another member of its gang never
// started: the lease of a started task until its first renewal, plus the time to
// stop it.
const partialRunLimit = 3 * time.Second

// auditResult holds the counts of an audit.
type auditResult struct {
	jobs, done, notRun, unknown, other int
	// partial counts the attempts in which only some of the members started.
	// longestPartial is the longest run of a member of such an attempt.
	partial        int
	longestPartial time.Duration
}

// attemptLog holds when the members of a gang started and ended in one attempt, according
// to the targets' logs.
type attemptLog struct {
	starts, ends map[int]time.Time
}

// groupByAttempt collects the starts and ends in l by attempt.
func groupByAttempt(l []targetEvent) map[jobs.Attempt]*attemptLog {
	m := map[jobs.Attempt]*attemptLog{}
	for _, e := range l {
		a := m[e.Task.Attempt]
		if a == nil {
			a = &attemptLog{map[int]time.Time{}, map[int]time.Time{}}
			m[e.Task.Attempt] = a
		}
		switch e.Event {
		case "Start":
			a.starts[e.Task.Member] = e.Time
		case "End":
			a.ends[e.Task.Member] = e.Time
		}
	}
	return m
}

// audit waits for the outcome of every request and checks it against the targets' logs.
func (c *cluster) audit(k *client.Client, l []*jobs.Spec) auditResult {
	t := c.t
	t.Helper()
	answers := make([]entry.Answer, len(l))
	for i, s := range l {
		var err error
		answers[i], err = k.Answer(context.Background(), s.ID, awaitTimeout)
		must(t, err)
		if answers[i].State != jobs.Finished {
			x, _ := k.Explain(context.Background(), s.ID)
			t.Fatalf("job %s has no outcome: %+v", s.ID, x)
		}
	}
	// Read the logs only now: every event behind an outcome has been logged by then.
	events := c.events()
	v := auditResult{jobs: len(l)}
	for i, s := range l {
		a := answers[i]
		attempts := groupByAttempt(events[jobs.Key{Account: a.Account, ID: s.ID}])
		v.checkJob(t, s, a.Outcome, attempts)
		if a.Outcome == jobs.Done {
			checkCompleteAnswer(t, s, &a)
		}
	}
	return v
}

// checkJob checks the outcome of a job against its attempts and adds it to the counts.
func (v *auditResult) checkJob(t testing.TB, s *jobs.Spec, o jobs.Outcome, attempts map[jobs.Attempt]*attemptLog) {
	t.Helper()
	ran := 0
	for id, a := range attempts {
		if len(a.starts) == 0 {
			continue
		}
		ran++
		if len(a.starts) < s.Shape.Members {
			v.partial++
			for m, at := range a.starts {
				d := a.ends[m].Sub(at)
				v.longestPartial = max(v.longestPartial, d)
				if a.ends[m].IsZero() || d > partialRunLimit {
					t.Errorf("job %s attempt %s: member %d of a partly started gang ran for %s", s.ID, id, m, d)
				}
			}
		}
	}
	if s.NonIdempotent && ran > 1 && !s.Checkpoints {
		t.Errorf("non-idempotent job %s ran in %d attempts", s.ID, ran)
	}
	switch o {
	case jobs.Done:
		v.done++
	case jobs.NotRun:
		v.notRun++
		if ran > 0 {
			t.Errorf("job %s has the outcome NotRun, but it started at a target", s.ID)
		}
	case jobs.Unknown:
		v.unknown++
	default:
		v.other++
	}
}
