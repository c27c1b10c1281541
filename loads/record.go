package loads

import (
	"cmp"
	"encoding/json"
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

// Record returns the load of a pool that the log lines of its deciders describe, except for the
// workers, of which they tell nothing. Queues and accounts are numbered in place of their names,
// the most urgent queue and the largest guarantee first. Periodic jobs count once.
func Record(lines []trace.Line) *Load {
	l := &Load{}
	first := int64(0)
	canceled := map[string]time.Time{}
	arrivals := map[string]Arrival{}
	var ids []string
	queues, accounts := map[string]Queue{}, map[string]Account{}
	queueOf, accountOf := map[string]string{}, map[string]string{}
	for _, x := range lines {
		switch x.Text {
		case JobCanceled:
			if canceled[x.Job].IsZero() {
				canceled[x.Job] = x.Time
			}
		case JobTakenIn:
			a, ok := arrivalOf(x)
			if _, known := arrivals[x.Job]; !ok || known {
				// A successor logs the open jobs again.
				continue
			}
			ids = append(ids, x.Job)
			arrivals[x.Job] = a
			if first == 0 || a.Accepted < first {
				first = a.Accepted
			}
			q, _ := x.Fields["queue"].(string)
			n, _ := x.Fields["account"].(string)
			queueOf[x.Job], accountOf[x.Job] = q, n
			queues[q] = Queue{Name: q, Priority: a.Priority, Stretch: a.Stretch, Slack: units.Duration(a.Slack), Worth: 1}
			accounts[n] = Account{Name: n, Guaranteed: a.Guaranteed}
		}
	}
	for _, q := range queues {
		l.Queues = append(l.Queues, q)
	}
	slices.SortFunc(l.Queues, func(a, b Queue) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Name, b.Name))
	})
	for _, a := range accounts {
		l.Accounts = append(l.Accounts, a)
	}
	slices.SortFunc(l.Accounts, func(a, b Account) int {
		return cmp.Or(cmp.Compare(b.Guaranteed, a.Guaranteed), cmp.Compare(a.Name, b.Name))
	})
	numbers := map[string]string{}
	for i := range l.Queues {
		numbers["queue "+l.Queues[i].Name] = "q" + strconv.Itoa(i)
		l.Queues[i].Name = "q" + strconv.Itoa(i)
	}
	for i := range l.Accounts {
		numbers["account "+l.Accounts[i].Name] = "a" + strconv.Itoa(i)
		l.Accounts[i].Name = "a" + strconv.Itoa(i)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(arrivals[a].Accepted, arrivals[b].Accepted), cmp.Compare(a, b))
	})
	for _, id := range ids {
		a := arrivals[id]
		at := time.Duration(a.Accepted-first) * time.Millisecond
		j := Job{At: units.Duration(at), Queue: numbers["queue "+queueOf[id]], Account: numbers["account "+accountOf[id]], Steps: a.Steps}
		if c := canceled[id]; !c.IsZero() {
			j.CanceledAfter = units.Duration(max(c.Sub(time.UnixMilli(a.Accepted)), time.Millisecond))
		}
		l.Jobs = append(l.Jobs, j)
	}
	return l
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
