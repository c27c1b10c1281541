package work

import (
	"strings"
	"time"
)

// Rules is the configuration in force: queues, pools and client accounts.
type Rules struct {
	// Version rises with each change, by varying amounts.
	Version int64
	Queues  map[string]*Queue
	Pools   map[string]*Pool
	// Accounts are by name.
	Accounts map[string]*Account
	Limits   Limits

	routes        []*Queue
	accountsByKey map[string]*Account
}

// Queue accepts jobs and determines the pool that runs them.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a call: its host, and a prefix of its
	// path.
	Host, Prefix string
	Pool         string
	// Priority 0 is the most urgent. Its jobs may preempt those of less urgent
	// queues.
	Priority int
	// MaxAttempts is the number of failed runs of a task, or of a gang, at which the
	// job fails.
	MaxAttempts int
	// Stretch and Slack determine the time in which a job should be done: Stretch
	// times the job's critical path, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Timeout limits the duration of one call.
	Timeout time.Duration
	// Public queues accept calls without a key.
	Public bool
	// Advice is set if steps may run only on workers that the advice service
	// allows.
	Advice bool
}

// Terms are the properties of a queue that apply to its jobs.
type Terms struct {
	Pool string
	// Version is that of the configuration from which the terms are, 0 if unknown.
	Version     int64 `json:",omitempty"`
	Priority    int
	MaxAttempts int
	Stretch     float64       `json:",omitempty"`
	Slack       time.Duration `json:",omitempty"`
	Advice      bool          `json:",omitempty"`
}

// Terms returns the queue's terms in a version of the configuration.
func (q *Queue) Terms(version int64) Terms {
	return Terms{q.Pool, version, q.Priority, q.MaxAttempts, q.Stretch, q.Slack, q.Advice}
}

// Queue returns a queue with these terms and the given name that accepts no calls.
func (t Terms) Queue(name string) *Queue {
	return &Queue{Name: name, Pool: t.Pool, Priority: t.Priority, MaxAttempts: t.MaxAttempts, Stretch: t.Stretch, Slack: t.Slack, Advice: t.Advice}
}

// PoolOf returns the pool that a job is in while its record names none. It is that of the job's
// terms, so that all deciders agree even if their configurations differ. Jobs that were accepted
// by a host without terms are in their queue's pool.
func (r *Rules) PoolOf(j *Job) string {
	if q := r.Queues[j.Queue]; q != nil && j.Terms.Pool == "" {
		return q.Pool
	}
	return j.Terms.Pool
}

// NextPool returns the pool that a job is to be handed over to, and false if it is to stay in its
// own. A configuration that isn't newer than the job's terms decides nothing.
func (r *Rules) NextPool(j *Job, own string) (string, bool) {
	q := r.Queues[j.Queue]
	if q == nil || q.Pool == own || r.Version <= j.Terms.Version {
		return "", false
	}
	return q.Pool, true
}

// Pool is a set of workers that run the jobs of the same queues.
type Pool struct {
	Name string
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Guaranteed is the number of accelerators that are guaranteed to the account
	// at all times for jobs of priority 0.
	Guaranteed int64
}

// Limits are limits on client calls.
type Limits struct {
	// BodyBytes is the greatest length of a call's body in bytes, 0 if the
	// configuration sets no limit.
	BodyBytes int64
}

// Index builds the indexes for Route and AccountOf. It must be called once, before
// the rules are used.
func (r *Rules) Index() {
	r.accountsByKey = map[string]*Account{}
	for _, a := range r.Accounts {
		for _, k := range a.Keys {
			r.accountsByKey[k] = a
		}
	}
	r.routes = r.routes[:0]
	for _, q := range r.Queues {
		r.routes = append(r.routes, q)
	}
}

// Route returns the queue for a host whose Prefix is the longest one that path
// begins with, or nil if there is none.
func (r *Rules) Route(host, path string) *Queue {
	var best *Queue
	for _, q := range r.routes {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// Guaranteed returns the sum of the accelerators guaranteed to all accounts.
func (r *Rules) Guaranteed() int64 {
	var n int64
	for _, a := range r.Accounts {
		n += a.Guaranteed
	}
	return n
}

// AccountOf returns the account that the key belongs to, or nil.
func (r *Rules) AccountOf(key string) *Account { return r.accountsByKey[key] }
