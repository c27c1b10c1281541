// Package limit refuses requests that exceed the limits of an account or of one of its
// callers, before they cost a write to the table service.
package limit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"citronbridge/jobs"
	"citronbridge/rules"
)

const (
	shardCount = 16
	// maxCallers limits the callers for which a shard holds a bucket.
	maxCallers = 4096
	// acceleratorsPerToken is the number of requested accelerators that cost one token in
	// addition to that of the request itself.
	acceleratorsPerToken = 8
)

// Limiter limits the rate of requests by a token bucket for each account and each caller.
type Limiter struct {
	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	accounts map[string]*bucket
	callers  map[callerKey]*bucket
}

type callerKey struct{ account, caller string }

type bucket struct {
	*rate.Limiter
	lastUsed time.Time
}

// New returns a Limiter with full buckets.
func New() *Limiter {
	d := &Limiter{}
	for i := range d.shards {
		d.shards[i].accounts = map[string]*bucket{}
		d.shards[i].callers = map[callerKey]*bucket{}
	}
	return d
}

// Cost returns the number of tokens that a request takes.
func Cost(s *jobs.Spec) int { return 1 + s.Shape.Accelerators()/acceleratorsPerToken }

// Refusal says which limit a request exceeds, and after what time a retry can succeed.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// TakeTokens takes the tokens of a request from the buckets of its account and its caller. If
// either has too few it takes none and returns a Refusal. The limits are divided evenly among
// the given number of hosts, as each host counts only its own requests.
func (d *Limiter) TakeTokens(s *jobs.Spec, l rules.Limits, hosts int, now time.Time) *Refusal {
	l = l.WithDefaults()
	h := &d.shards[xxhash.Sum64String(s.Account)%shardCount]
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account(s.Account)
	a.setLimit(l.RequestsPerSecond, l.Burst, hosts, now)
	c := h.caller(callerKey{s.Account, s.Caller}, now)
	c.setLimit(l.CallerRequestsPerSecond, l.CallerBurst, hosts, now)
	n := Cost(s)
	if w := c.timeUntil(n, now); w > 0 {
		return &Refusal{"CallerRate", w}
	}
	if w := a.timeUntil(n, now); w > 0 {
		return &Refusal{"AccountRate", w}
	}
	c.AllowN(now, min(n, c.Burst()))
	a.AllowN(now, min(n, a.Burst()))
	return nil
}

func (h *shard) account(name string) *bucket {
	b := h.accounts[name]
	if b == nil {
		b = &bucket{}
		h.accounts[name] = b
	}
	return b
}

func (h *shard) caller(k callerKey, now time.Time) *bucket {
	b := h.callers[k]
	if b == nil {
		if len(h.callers) >= maxCallers {
			h.evict(now)
		}
		b = &bucket{}
		h.callers[k] = b
	}
	b.lastUsed = now
	return b
}

// evict removes the callers whose bucket is full again, as a new bucket is full too. If there
// are none it removes the caller that has been idle longest.
func (h *shard) evict(now time.Time) {
	var oldest callerKey
	var oldestUse time.Time
	for k, b := range h.callers {
		if b.TokensAt(now) >= float64(b.Burst()) {
			delete(h.callers, k)
			continue
		}
		if oldestUse.IsZero() || b.lastUsed.Before(oldestUse) {
			oldest, oldestUse = k, b.lastUsed
		}
	}
	if len(h.callers) >= maxCallers {
		delete(h.callers, oldest)
	}
}

// setLimit sets the bucket to this host's share of a limit.
func (b *bucket) setLimit(perSecond, burst, hosts int, now time.Time) {
	hosts = max(hosts, 1)
	r, n := rate.Limit(float64(perSecond)/float64(hosts)), max(burst/hosts, 1)
	if b.Limiter == nil {
		b.Limiter = rate.NewLimiter(r, n)
		return
	}
	if b.Limit() != r {
		b.SetLimitAt(now, r)
	}
	if b.Burst() != n {
		b.SetBurstAt(now, n)
	}
}

// timeUntil returns how long it takes until the bucket holds n tokens, or is full for a request
// that costs more than the bucket can hold.
func (b *bucket) timeUntil(n int, now time.Time) time.Duration {
	missing := float64(min(n, b.Burst())) - b.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(b.Limit()) * float64(time.Second))
}
