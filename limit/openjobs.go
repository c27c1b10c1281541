package limit

import "sync"

// OpenJobs estimates the number of open jobs of each account: the count that was last reported
// to this host, and the jobs that this host has accepted since.
type OpenJobs struct {
	mu     sync.Mutex
	counts map[string]int
}

// AtLimit reports whether an account has limit open jobs or more.
func (o *OpenJobs) AtLimit(account string, limit int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts[account] >= limit
}

// Add counts a job that this host has accepted.
func (o *OpenJobs) Add(account string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = map[string]int{}
	}
	o.counts[account]++
}

// Set replaces all counts by newly reported ones. It keeps m, which the caller must
// not use afterwards.
func (o *OpenJobs) Set(m map[string]int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts = m
}
