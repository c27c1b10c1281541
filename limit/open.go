package limit

import "sync"

// Open counts the open jobs of each account: what was last learned, and what
// this host has accepted since.
type Open struct {
	mu    sync.Mutex
	known map[string]int
}

// Full reports whether an account has as many open jobs as the limit.
func (o *Open) Full(account string, limit int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.known[account] >= limit
}

// Add counts a job that was accepted.
func (o *Open) Add(account string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.known == nil {
		o.known = map[string]int{}
	}
	o.known[account]++
}

// Set replaces the counts by what was learned.
func (o *Open) Set(m map[string]int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known = m
}
