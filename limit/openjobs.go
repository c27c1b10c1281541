package limit

import "sync"

// OpenJobs counts the open jobs of each account: what was last learned, and what
// this host has accepted since.
type OpenJobs struct {
	mu     sync.Mutex
	counts map[string]int
}

// AtLimit reports whether an account has as many open jobs as the limit.
func (o *OpenJobs) AtLimit(account string, limit int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts[account] >= limit
}

// Add counts a job that was accepted.
func (o *OpenJobs) Add(account string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = map[string]int{}
	}
	o.counts[account]++
}

// Set replaces the counts by what was learned.
func (o *OpenJobs) Set(m map[string]int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts = m
}
