package repo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Owner is a row of TableOwners: the host that decides for a pool.
type Owner struct {
	Epoch int64
	Host  string
	// Boot identifies the incarnation of the host's process.
	Boot string
	// FormerOrdersUntil is when, by the store's clock, the last of all former deciders of the
	// pool stops sending orders and renewing leases, 0 if there were none. Each owner passes it on
	// to the next.
	FormerOrdersUntil time.Duration `json:",omitempty"`
}

// Heartbeat is a row of TableHeartbeats, which a decider writes every HeartbeatPeriod.
type Heartbeat struct {
	Epoch int64
	Host  string
	// N differs between consecutive heartbeats of an epoch.
	N int64
	// Waiting counts, by queue, the jobs of which no task has started. It is nil while the
	// decider doesn't know all jobs yet.
	Waiting map[string]int
	// Left means that the decider has released the pool, Retired that the pool needs no other one,
	// as it isn't configured any more and has no jobs.
	Left    bool
	Retired bool `json:",omitempty"`
	// Capacity is the processing capacity that the decider's host has for decisions,
	// in cores, 0 if the host doesn't report it.
	Capacity float64 `json:",omitempty"`
}

// Ownership holds the conditions under which the owner of a pool writes to the store.
type Ownership struct {
	// Owner requires the owner row to be unchanged since the pool was acquired. All
	// writes of the decider outside of the job partitions are conditional on it.
	Owner Condition
	// Heartbeat requires the heartbeat row to have the version of the last heartbeat.
	// Each heartbeat is conditional on the one before it. As acquiring a pool writes the
	// heartbeat row too, a former owner's next heartbeat fails.
	Heartbeat Condition
}

// Owners reads, acquires and releases the ownership of pools.
type Owners struct{ store Store }

// NewOwners returns an Owners that uses s.
func NewOwners(s Store) *Owners { return &Owners{s} }

// Read returns the owner of a pool and the version of its row, which is 0 if the pool has
// never had an owner.
func (s *Owners) Read(ctx context.Context, pool string) (Owner, int64, error) {
	p, err := s.store.List(ctx, TableOwners, PartitionOf(TableOwners, pool), pool, 1)
	if err != nil {
		return Owner{}, 0, fmt.Errorf("read owner: %w", err)
	}
	if len(p.Rows) == 0 || p.Rows[0].Key != pool {
		return Owner{}, 0, nil
	}
	var o Owner
	if err := json.Unmarshal(p.Rows[0].Value, &o); err != nil {
		return Owner{}, 0, fmt.Errorf("decode owner: %w", err)
	}
	return o, p.Rows[0].Version, nil
}

// Acquire makes self the owner of a pool if the owner row still has the given version, and the
// heartbeat row that of a heartbeat, which may be 0 for any. It returns nil, without an error, if
// another host acquired the pool first or the former owner has written another heartbeat.
func (s *Owners) Acquire(ctx context.Context, pool string, self Owner, version, heartbeatVersion int64) (*Ownership, error) {
	b, err := json.Marshal(self)
	if err != nil {
		return nil, fmt.Errorf("encode owner: %w", err)
	}
	heartbeat, err := json.Marshal(Heartbeat{Epoch: self.Epoch, Host: self.Host})
	if err != nil {
		return nil, fmt.Errorf("encode heartbeat: %w", err)
	}
	c := Change{
		If:  []Condition{hasVersion(TableOwners, pool, version)},
		Put: []Row{newRow(TableOwners, pool, b), newRow(TableHeartbeats, pool, heartbeat)},
	}
	if heartbeatVersion > 0 {
		c.If = append(c.If, hasVersion(TableHeartbeats, pool, heartbeatVersion))
	}
	a, err := s.store.Apply(ctx, c)
	if err == nil && !a.Applied {
		return nil, nil
	}
	heartbeatVersion = a.Version
	if err != nil {
		// The outcome is unknown, but the owner row shows it if it can be read. The
		// heartbeat's version stays unknown: the next heartbeat conflicts once and
		// gets it from the answer.
		o, v, e := s.Read(ctx, pool)
		if e != nil {
			return nil, fmt.Errorf("acquire pool: %w", err)
		}
		if o != self {
			return nil, nil
		}
		a.Version, heartbeatVersion = v, 0
	}
	return &Ownership{hasVersion(TableOwners, pool, a.Version), hasVersion(TableHeartbeats, pool, heartbeatVersion)}, nil
}

// ConfirmedOwnership returns the ownership of a pool whose owner row, of the given version, is one that an
// Acquire without an answer has written. The version of the heartbeat row isn't known: the next
// heartbeat conflicts once and gets it from the answer.
func ConfirmedOwnership(pool string, version int64) *Ownership {
	return &Ownership{hasVersion(TableOwners, pool, version), hasVersion(TableHeartbeats, pool, 0)}
}

// Heartbeat writes a heartbeat and reports whether the pool is still held. Without an
// error the store's answer proves the result, and the heartbeat is written if the pool is held;
// with an error the result is true, as the loss of the pool isn't proved.
func (s *Owners) Heartbeat(ctx context.Context, ownership *Ownership, b Heartbeat) (bool, error) {
	written, stored, err := s.writeHeartbeat(ctx, ownership, b)
	if err == nil && !written && stored.Epoch == b.Epoch {
		// The stored one shows that the pool was held when it was written, not that it is now.
		if written, stored, err = s.writeHeartbeat(ctx, ownership, b); err == nil && !written && stored.Epoch == b.Epoch {
			err = errHeartbeatConflict
		}
	}
	if err != nil {
		return true, err
	}
	return written, nil
}

// errHeartbeatConflict is returned if an earlier heartbeat of the same owner was carried out late,
// between the tries to write this one.
var errHeartbeatConflict = errors.New("heartbeat row was changed by an earlier heartbeat")

// writeHeartbeat tries once to write a heartbeat. If the version has changed it returns
// the stored heartbeat and sets the version for the next try. A stored heartbeat of the
// same epoch is an earlier one of this owner whose answer was lost.
func (s *Owners) writeHeartbeat(ctx context.Context, ownership *Ownership, b Heartbeat) (written bool, stored Heartbeat, err error) {
	v, err := json.Marshal(b)
	if err != nil {
		return false, stored, fmt.Errorf("encode heartbeat: %w", err)
	}
	a, err := s.store.Apply(ctx, Change{If: []Condition{ownership.Heartbeat}, Put: []Row{newRow(TableHeartbeats, ownership.Heartbeat.Key, v)}})
	if err != nil {
		return false, stored, fmt.Errorf("write heartbeat: %w", err)
	}
	if a.Applied {
		ownership.Heartbeat.Version = a.Version
		return true, stored, nil
	}
	for _, r := range a.Current {
		if r.Table == TableHeartbeats && r.Key == ownership.Heartbeat.Key {
			ownership.Heartbeat.Version = r.Version
			stored, err = DecodeHeartbeat(r.Value)
		}
	}
	return false, stored, err
}

// releaseRetryInterval is the wait before a failed try to release a pool is repeated.
const releaseRetryInterval = 100 * time.Millisecond

// Release writes the last heartbeat with Left set, after which other hosts acquire the
// pool without waiting for HeartbeatTimeout. It retries until the heartbeat is written,
// another owner has the pool, or ctx ends.
func (s *Owners) Release(ctx context.Context, ownership *Ownership, b Heartbeat) error {
	b.Left = true
	for {
		written, stored, err := s.writeHeartbeat(ctx, ownership, b)
		if err == nil && (written || stored.Left || stored.Epoch != b.Epoch) {
			return nil
		}
		if err == nil {
			// The failed write returned the current version: retry at once with it.
			continue
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(releaseRetryInterval):
		}
	}
}

// fence is a row of TableFences.
type fence struct{ Epoch int64 }

// Fence raises the fence row of a pool in a job partition to epoch, so that deciders of
// lower epochs can no longer write there. It returns the condition that the epoch's
// writes must carry, and false if a higher epoch has fenced the partition.
func (s *Owners) Fence(ctx context.Context, pool, partition string, epoch int64) (Condition, bool, error) {
	p, err := s.store.List(ctx, TableFences, partition, pool, 1)
	if err != nil {
		return Condition{}, false, fmt.Errorf("read fence: %w", err)
	}
	c := Condition{Table: TableFences, Partition: partition, Key: pool}
	if len(p.Rows) > 0 && p.Rows[0].Key == pool {
		var f fence
		if err := json.Unmarshal(p.Rows[0].Value, &f); err != nil {
			return c, false, fmt.Errorf("decode fence: %w", err)
		}
		c.Version = p.Rows[0].Version
		if f.Epoch >= epoch {
			// An equal epoch means that an earlier try succeeded but its answer
			// was lost.
			return c, f.Epoch == epoch, nil
		}
	}
	b, err := json.Marshal(fence{epoch})
	if err != nil {
		return c, false, fmt.Errorf("encode fence: %w", err)
	}
	a, err := s.store.Apply(ctx, Change{If: []Condition{c}, Put: []Row{{Table: TableFences, Partition: partition, Key: pool, Value: b}}})
	if err != nil {
		return c, false, fmt.Errorf("write fence: %w", err)
	}
	if !a.Applied {
		return c, false, fmt.Errorf("write fence: %w", errFenceConflict)
	}
	c.Version = a.Version
	return c, true, nil
}

// errFenceConflict is returned if the fence row changed between reading and writing it.
// The caller has to call Fence again.
var errFenceConflict = errors.New("fence row was changed concurrently")

// DecodeHeartbeat decodes the value of a row of TableHeartbeats.
func DecodeHeartbeat(b []byte) (Heartbeat, error) {
	var v Heartbeat
	if err := json.Unmarshal(b, &v); err != nil {
		return Heartbeat{}, fmt.Errorf("decode heartbeat: %w", err)
	}
	return v, nil
}

// HeartbeatPeriod is the interval between a decider's heartbeats, HeartbeatTimeout the time
// without a heartbeat after which another host may acquire the pool.
const (
	HeartbeatPeriod  = 400 * time.Millisecond
	HeartbeatTimeout = 1300 * time.Millisecond
)
