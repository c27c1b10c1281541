package loads

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"citronbridge/trace"
	"citronbridge/units"
	"citronbridge/work"
)

// Log messages from which a load is recorded.
const (
	// JobTakenIn is logged by a decider for each job that it receives.
	JobTakenIn = "job taken in"
	// JobCanceled is logged by a decider for a job that was cancelled.
	JobCanceled = "job ends as Canceled"
)

// Arrival is what a decider logs of a job that it receives, in addition to the queue and the
// account.
type Arrival struct {
	// Accepted is in Unix milliseconds.
	Accepted   int64
	Priority   int
	Stretch    float64
	Slack      time.Duration
	Guaranteed int64
	Steps      []work.Step
}

// NewArrival returns the arrival of a job whose account is guaranteed so many accelerators.
func NewArrival(j *work.Job, guaranteed int64) Arrival {
	return Arrival{j.Accepted, j.Terms.Priority, j.Terms.Stretch, j.Terms.Slack, guaranteed, j.Steps}
}

// recorded is what the log lines tell of a job.
type recorded struct {
	id, queue, account string
	Arrival
	canceledAt time.Time
}

// Record returns the load of a pool that the log lines of its deciders describe, except for the
// workers, of which they tell nothing. Queues and accounts are numbered in place of their names,
// the most urgent queue and the largest guarantee first. Periodic jobs count once.
func Record(lines []trace.Line) *Load {
	l := &Load{}
	jobs := collectJobs(lines)
	if len(jobs) == 0 {
		return l
	}
	queueNames, accountNames := l.addQueues(jobs), l.addAccounts(jobs)
	first := jobs[0].Accepted
	for _, r := range jobs {
		at := time.Duration(r.Accepted-first) * time.Millisecond
		j := Job{At: units.Duration(at), Queue: queueNames[r.queue], Account: accountNames[r.account], Steps: r.Steps}
		if !r.canceledAt.IsZero() {
			j.CanceledAfter = units.Duration(max(r.canceledAt.Sub(time.UnixMilli(r.Accepted)), time.Millisecond))
		}
		l.Jobs = append(l.Jobs, j)
	}
	return l
}

// collectJobs returns the jobs that the log lines tell of, in order of their acceptance. A
// successor logs the open jobs again, which count once.
func collectJobs(lines []trace.Line) []*recorded {
	var l []*recorded
	byID := map[string]*recorded{}
	for _, x := range lines {
		if x.Text != JobTakenIn || byID[x.Job] != nil {
			continue
		}
		a, ok := arrivalOf(x)
		if !ok {
			continue
		}
		q, _ := x.Fields["queue"].(string)
		n, _ := x.Fields["account"].(string)
		byID[x.Job] = &recorded{id: x.Job, queue: q, account: n, Arrival: a}
		l = append(l, byID[x.Job])
	}
	for _, x := range lines {
		if r := byID[x.Job]; x.Text == JobCanceled && r != nil && r.canceledAt.IsZero() {
			r.canceledAt = x.Time
		}
	}
	slices.SortFunc(l, func(a, b *recorded) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.id, b.id))
	})
	return l
}

// addQueues adds the queues of the jobs, numbered, and returns their numbers by name.
func (l *Load) addQueues(jobs []*recorded) map[string]string {
	m := map[string]Queue{}
	for _, r := range jobs {
		m[r.queue] = Queue{Name: r.queue, Priority: r.Priority, Stretch: r.Stretch, Slack: units.Duration(r.Slack), Worth: 1}
	}
	l.Queues = slices.SortedFunc(maps.Values(m), func(a, b Queue) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Name, b.Name))
	})
	return number(l.Queues, "q", func(q *Queue) *string { return &q.Name })
}

// addAccounts is addQueues for accounts.
func (l *Load) addAccounts(jobs []*recorded) map[string]string {
	m := map[string]Account{}
	for _, r := range jobs {
		m[r.account] = Account{Name: r.account, Guaranteed: r.Guaranteed}
	}
	l.Accounts = slices.SortedFunc(maps.Values(m), func(a, b Account) int {
		return cmp.Or(cmp.Compare(b.Guaranteed, a.Guaranteed), cmp.Compare(a.Name, b.Name))
	})
	return number(l.Accounts, "a", func(a *Account) *string { return &a.Name })
}

// number replaces the names in a list by numbers behind a prefix, and returns them by name.
func number[T any](l []T, prefix string, name func(*T) *string) map[string]string {
	m := map[string]string{}
	for i := range l {
		n := name(&l[i])
		m[*n] = prefix + strconv.Itoa(i)
		*n = m[*n]
	}
	return m
}

// arrivalOf returns the arrival that a log line holds, and false if it holds none.
func arrivalOf(x trace.Line) (Arrival, bool) {
	var a Arrival
	b, err := json.Marshal(x.Fields["arrival"])
	if err != nil || json.Unmarshal(b, &a) != nil || len(a.Steps) == 0 {
		return Arrival{}, false
	}
	return a, true
}
