// Package pulse tracks the heartbeats of the pools' deciders as one host sees them: which
// decider is unresponsive, which has released its pool, and how many jobs wait.
package pulse

import (
	"sync"
	"time"

	"citronbridge/repo"
)

// maxCountAge is the platform's limit for the age of a reported count of waiting jobs.
const maxCountAge = 2 * time.Second

// OwnerChange is a change of a pool's ownership that a heartbeat has shown.
type OwnerChange struct {
	Pool string
	// Epoch and Owner are those of the heartbeat, FormerEpoch and FormerOwner those of the one
	// before it, zero if it was the first.
	Epoch, FormerEpoch int64
	Owner, FormerOwner string
	// Released means that the owner has released the pool.
	Released bool
	// Silent is how long no heartbeat of the pool had come before, 0 if it was the first.
	Silent time.Duration
}

// Tracker holds the last heartbeat of each pool's decider.
type Tracker struct {
	// OnOwnerChange, if set before the first Record, is called with each change of ownership.
	OnOwnerChange func(OwnerChange)

	mu    sync.Mutex
	pools map[string]heartbeat
	// lastAnswer is when the store last answered, answeringSince the start of the
	// period in which it has answered without a gap.
	lastAnswer, answeringSince time.Duration
	// now returns a monotonic time that includes the time of suspension.
	now func() time.Duration
	// pollPause returns how long this host currently waits between two polls of the
	// heartbeats.
	pollPause func() time.Duration
}

// heartbeat is the last heartbeat of a pool's decider.
type heartbeat struct {
	repo.Heartbeat
	// version is that of its row.
	version  int64
	received time.Duration
	// firstReceived is when the first heartbeat of the same epoch was received.
	firstReceived time.Duration
	// waiting has the last counts of waiting jobs of any decider of the pool, nil if there
	// are none. They were received at countedAt.
	waiting   map[string]int
	countedAt time.Duration
}

// New returns a Tracker without heartbeats. now returns a monotonic time that includes the
// time of suspension, pause how long the host waits between two polls of the heartbeats.
func New(now, pause func() time.Duration) *Tracker {
	// Start with the store counted as unavailable. The clock may have started with this
	// process, so that 0 would count as a recent answer.
	return &Tracker{pools: map[string]heartbeat{}, lastAnswer: now() - time.Hour, now: now, pollPause: pause}
}

// Record records the heartbeats in rows of repo.TableHeartbeats. It ignores those of former
// deciders and repeated ones, skips rows that can't be decoded, and returns the error of
// the last of these.
func (b *Tracker) Record(rows []repo.Row) error {
	changes, err := b.record(rows)
	if b.OnOwnerChange != nil {
		for _, c := range changes {
			b.OnOwnerChange(c)
		}
	}
	return err
}

// record is Record, but returns the changes of ownership.
func (b *Tracker) record(rows []repo.Row) ([]OwnerChange, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lastErr error
	var changes []OwnerChange
	for _, r := range rows {
		if r.Deleted {
			continue
		}
		v, err := repo.DecodeHeartbeat(r.Value)
		if err != nil {
			lastErr = err
			continue
		}
		if o := b.pools[r.Key]; v.Epoch > o.Epoch || (v.Epoch == o.Epoch && v.N != o.N) {
			now := b.now()
			l := heartbeat{Heartbeat: v, version: r.Version, received: now, firstReceived: now, waiting: v.Waiting, countedAt: now}
			if v.Epoch == o.Epoch {
				l.firstReceived = o.firstReceived
			}
			if v.Waiting == nil {
				l.waiting, l.countedAt = o.waiting, o.countedAt
			}
			b.pools[r.Key] = l
			if v.Epoch != o.Epoch || v.Host != o.Host || v.Left != o.Left {
				c := OwnerChange{Pool: r.Key, Epoch: v.Epoch, Owner: v.Host, Released: v.Left, FormerEpoch: o.Epoch, FormerOwner: o.Host}
				if o.received > 0 {
					c.Silent = now - o.received
				}
				changes = append(changes, c)
			}
		}
	}
	return changes, lastErr
}

// RecordAnswer records that the store has answered just now. The argument, which makes it a
// callback for follow.Follower.OnConfirmed, is ignored.
func (b *Tracker) RecordAnswer(time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if now-b.lastAnswer > repo.HeartbeatTimeout+b.pollPause() {
		b.answeringSince = now
	}
	b.lastAnswer = now
}

// UnresponsiveFor returns how long no heartbeat of a pool's decider has arrived while the
// store answered, and whether the decider has released the pool. While the store doesn't
// answer it returns 0 and false, as deciders can't write heartbeats then either.
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

// WeakerFor returns for how long heartbeats have arrived from a pool's decider that runs on
// a host of less than the given capacity, in cores. It returns 0 if the decider's capacity
// is sufficient or unknown, if it has released the pool, or if the store doesn't answer.
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

// Epoch returns the epoch of the last heartbeat of a pool's decider, 0 if none was received.
func (b *Tracker) Epoch(pool string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pools[pool].Epoch
}

// Released reports whether the decider of an epoch has released the pool.
func (b *Tracker) Released(pool string, epoch int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.pools[pool]
	return h.Left && h.Epoch == epoch
}

// LastHeartbeat returns the version of the row of the last heartbeat, and how long ago it was
// received, if that is one of the decider of an epoch. It returns false if not.
func (b *Tracker) LastHeartbeat(pool string, epoch int64) (version int64, age time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.pools[pool]
	if h.Epoch != epoch || h.version == 0 {
		return 0, 0, false
	}
	return h.version, b.now() - h.received, true
}

// Open returns the pools whose last heartbeat doesn't say that they are retired.
func (b *Tracker) Open() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var l []string
	for name, h := range b.pools {
		if !h.Retired {
			l = append(l, name)
		}
	}
	return l
}

// Waiting returns the number of waiting jobs of a queue as last counted by the deciders of its
// pool and of others that still have jobs of it. It returns false if there is no count of its pool,
// a count that matters is older than maxCountAge, or the pool's decider has released it.
func (b *Tracker) Waiting(pool, queue string) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	h := b.pools[pool]
	if h.waiting == nil || h.Left || now-h.countedAt > maxCountAge {
		return 0, false
	}
	n := h.waiting[queue]
	for name, h := range b.pools {
		switch {
		case name == pool || h.waiting[queue] == 0:
		case now-h.countedAt > maxCountAge:
			return 0, false
		default:
			n += h.waiting[queue]
		}
	}
	return n, true
}
