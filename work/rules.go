package work

import (
	"strings"
	"time"
)

// Rules is the configuration in force: queues, pools and client accounts.
type Rules struct {
	// Version rises with each change, in uneven steps.
	Version int64
	Queues  map[string]*Queue
	Pools   map[string]*Pool
	// Accounts are by name.
	Accounts map[string]*Account
	Limits   Limits

	routes        []*Queue
	accountsByKey map[string]*Account
}

// Queue takes jobs and names the pool that runs them.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a call.
	Host, Prefix string
	Pool         string
	// Priority 0 comes first and may stop others.
	Priority int
	// MaxAttempts is how many runs of a task may fail.
	MaxAttempts int
	// Stretch times the longest chain of work, and Slack, is the time in
	// which a job should be done.
	Stretch float64
	Slack   time.Duration
	// Timeout bounds one call.
	Timeout time.Duration
	// Public queues take calls without a key.
	Public bool
	// Advice, if set, says that steps may run only where the advice service
	// allows it.
	Advice bool
}

// Terms is what a queue says of its jobs.
type Terms struct {
	Pool        string
	Priority    int
	MaxAttempts int
	Stretch     float64       `json:",omitempty"`
	Slack       time.Duration `json:",omitempty"`
	Advice      bool          `json:",omitempty"`
}

// Terms returns what the queue says of its jobs.
func (q *Queue) Terms() Terms {
	return Terms{q.Pool, q.Priority, q.MaxAttempts, q.Stretch, q.Slack, q.Advice}
}

// Queue returns a queue of a name with these terms that takes no calls.
func (t Terms) Queue(name string) *Queue {
	return &Queue{Name: name, Pool: t.Pool, Priority: t.Priority, MaxAttempts: t.MaxAttempts, Stretch: t.Stretch, Slack: t.Slack, Advice: t.Advice}
}

// PoolOf returns the pool that a job belongs to that nothing was started of:
// that of its terms, so that all deciders agree whatever their configuration,
// or the queue's where the configuration has that pool no more.
func (r *Rules) PoolOf(j *Job) string {
	if r.Pools[j.Terms.Pool] != nil {
		return j.Terms.Pool
	}
	if q := r.Queues[j.Queue]; q != nil {
		return q.Pool
	}
	return j.Terms.Pool
}

// Pool is a number of workers for the same queues.
type Pool struct {
	Name string
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Guaranteed accelerators are the account's at all times, for jobs of
	// priority 0.
	Guaranteed int64
}

// Limits bound calls of clients.
type Limits struct {
	// BodyBytes bounds a call's body, 0 if the configuration doesn't.
	BodyBytes int64
}

// Index prepares the look-ups. It is called once, before the rules are used.
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

// Route returns the queue with the longest prefix of path for a host, or nil.
func (r *Rules) Route(host, path string) *Queue {
	var best *Queue
	for _, q := range r.routes {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// Guaranteed returns the accelerators that all accounts are guaranteed.
func (r *Rules) Guaranteed() int64 {
	var n int64
	for _, a := range r.Accounts {
		n += a.Guaranteed
	}
	return n
}

// AccountOf returns the account that a key belongs to, or nil.
func (r *Rules) AccountOf(key string) *Account { return r.accountsByKey[key] }
