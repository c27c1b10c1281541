// Package pulse holds what a host has heard of the deciders' heartbeats: who is
// silent, who has left, and how many jobs wait.
package pulse

import (
	"sync"
	"time"

	"citronbridge/repo"
)

// maxCountAge is how old the count of waiting jobs may be when it is shown; the
// platform's bound.
const maxCountAge = 2 * time.Second

// Tracker is what a host has heard of the deciders.
type Tracker struct {
	mu    sync.Mutex
	pools map[string]heartbeat
	// lastAnswer is when the store last answered, since is when it began to answer
	// without a gap.
	lastAnswer, answeringSince time.Duration
	// now tells a steady time, suspended time included.
	now func() time.Duration
	// pollPause is how long this host waits between looks.
	pollPause func() time.Duration
}

// heartbeat is the last heartbeat of a pool's decider.
type heartbeat struct {
	repo.Heartbeat
	received time.Duration
	// firstReceived is when the decider was first heard.
	firstReceived time.Duration
}

// New returns what a host has heard before the store's first answer.
func New(now, pause func() time.Duration) *Tracker {
	// The clock may have begun with this process.
	return &Tracker{pools: map[string]heartbeat{}, lastAnswer: now() - time.Hour, now: now, pollPause: pause}
}

// Record takes in rows of heartbeats. It returns the last error.
func (b *Tracker) Record(rows []repo.Row) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	var failed error
	for _, r := range rows {
		if r.Deleted {
			continue
		}
		v, err := repo.DecodeHeartbeat(r.Value)
		if err != nil {
			failed = err
			continue
		}
		if o := b.pools[r.Key]; v.Epoch > o.Epoch || (v.Epoch == o.Epoch && v.N != o.N) {
			now := b.now()
			l := heartbeat{v, now, now}
			if v.Epoch == o.Epoch {
				l.firstReceived = o.firstReceived
			}
			b.pools[r.Key] = l
		}
	}
	return failed
}

// RecordAnswer notes that the store answers.
func (b *Tracker) RecordAnswer(time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if now-b.lastAnswer > repo.HeartbeatTimeout+b.pollPause() {
		b.answeringSince = now
	}
	b.lastAnswer = now
}

// UnresponsiveFor returns how long a pool's decider has been silent while the store
// answered, and whether it has given the pool up.
func (b *Tracker) UnresponsiveFor(pool string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if now-b.lastAnswer > repo.HeartbeatTimeout+b.pollPause() {
		return 0, false
	}
	h, ok := b.pools[pool]
	return now - max(h.received, b.answeringSince), ok && h.Left
}

// WeakerFor returns for how long a pool's decider has been heard, if that is on a host
// of less than a capacity, in cores. Else it returns 0.
func (b *Tracker) WeakerFor(pool string, capacity float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	h := b.pools[pool]
	if now-b.lastAnswer > repo.HeartbeatTimeout+b.pollPause() || h.Left || h.Capacity == 0 || h.Capacity >= capacity {
		return 0
	}
	return now - max(h.firstReceived, b.answeringSince)
}

// Epoch returns the epoch of the last heartbeat of a pool's decider, 0 if none
// was heard.
func (b *Tracker) Epoch(pool string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pools[pool].Epoch
}

// Released reports whether the decider of an epoch has given the pool up.
func (b *Tracker) Released(pool string, epoch int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.pools[pool]
	return h.Left && h.Epoch == epoch
}

// Waiting returns a queue's count as the pool's decider last told it.
func (b *Tracker) Waiting(pool, queue string) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.pools[pool]
	if !ok || h.Left || b.now()-h.received > maxCountAge {
		return 0, false
	}
	return h.Waiting[queue], true
}
