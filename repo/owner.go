package repo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Owner is the row that says who decides for a pool.
type Owner struct {
	Epoch int64
	Host  string
	// Boot tells the lives of a host's process apart.
	Boot string
}

// Heartbeat is the row that a decider writes regularly.
type Heartbeat struct {
	Epoch int64
	Host  string
	N     int64
	// Waiting counts by queue the jobs of which no task has started.
	Waiting map[string]int
	// Left says that the decider has given the pool up.
	Left bool
	// Capacity is what the decider's host can use to decide, in cores, 0 if it
	// doesn't say.
	Capacity float64 `json:",omitempty"`
}

// Ownership is what a host holds a pool by.
type Ownership struct {
	// Owner is the version of the owner's row: what the decider writes beside
	// jobs is conditional on it.
	Owner Condition
	// Heartbeat is the version of the last heartbeat, which each one is conditional on.
	// Taking the pool writes both rows.
	Heartbeat Condition
}

// Owners reads and takes the ownership of pools.
type Owners struct{ store Store }

// NewOwners returns Owners on a store.
func NewOwners(s Store) *Owners { return &Owners{s} }

// Read returns who decides for a pool. The version is 0 if nobody has.
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

// Acquire makes me the owner of a pool after the owner whose row has a version.
// It returns nil if another host was first.
func (s *Owners) Acquire(ctx context.Context, pool string, self Owner, version int64) (*Ownership, error) {
	b, err := json.Marshal(self)
	if err != nil {
		return nil, fmt.Errorf("encode owner: %w", err)
	}
	heartbeat, err := json.Marshal(Heartbeat{Epoch: self.Epoch, Host: self.Host})
	if err != nil {
		return nil, fmt.Errorf("encode heartbeat: %w", err)
	}
	a, err := s.store.Apply(ctx, Change{
		If:  []Condition{hasVersion(TableOwners, pool, version)},
		Put: []Row{newRow(TableOwners, pool, b), newRow(TableHeartbeats, pool, heartbeat)},
	})
	if err == nil && !a.Applied {
		return nil, nil
	}
	heartbeatVersion := a.Version
	if err != nil {
		// The answer is lost: the row tells, if it can be read. The version
		// of the heartbeat is learnt from the first try to write the next.
		o, v, e := s.Read(ctx, pool)
		if e != nil {
			return nil, fmt.Errorf("take pool: %w", err)
		}
		if o != self {
			return nil, nil
		}
		a.Version, heartbeatVersion = v, 0
	}
	return &Ownership{hasVersion(TableOwners, pool, a.Version), hasVersion(TableHeartbeats, pool, heartbeatVersion)}, nil
}

// Heartbeat writes a heartbeat and returns whether the pool is still held. The answer
// proves it, or its opposite.
func (s *Owners) Heartbeat(ctx context.Context, ownership *Ownership, b Heartbeat) (bool, error) {
	written, stored, err := s.writeHeartbeat(ctx, ownership, b)
	if err != nil {
		return true, err
	}
	return written || stored.Epoch == b.Epoch, nil
}

// writeHeartbeat tries to write a heartbeat. If it wasn't written it returns the row as
// it is: an earlier heartbeat of the same epoch is one whose answer was lost.
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

// releaseRetryInterval is kept between two tries to give a pool up.
const releaseRetryInterval = 100 * time.Millisecond

// Release writes the last heartbeat, by which other hosts take the pool at once,
// trying until it is written, the pool is another's or ctx ends.
func (s *Owners) Release(ctx context.Context, ownership *Ownership, b Heartbeat) error {
	b.Left = true
	for {
		written, stored, err := s.writeHeartbeat(ctx, ownership, b)
		if err == nil && (written || stored.Left || stored.Epoch != b.Epoch) {
			return nil
		}
		if err == nil {
			// The row's version is known now.
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

// Fence gives an epoch the right to write a part of jobs, and takes it from
// all before. It returns the condition to write under, and false if a higher
// epoch has the part.
func (s *Owners) Fence(ctx context.Context, pool, part string, epoch int64) (Condition, bool, error) {
	p, err := s.store.List(ctx, TableFences, part, pool, 1)
	if err != nil {
		return Condition{}, false, fmt.Errorf("read fence: %w", err)
	}
	c := Condition{Table: TableFences, Partition: part, Key: pool}
	if len(p.Rows) > 0 && p.Rows[0].Key == pool {
		var f fence
		if err := json.Unmarshal(p.Rows[0].Value, &f); err != nil {
			return c, false, fmt.Errorf("decode fence: %w", err)
		}
		c.Version = p.Rows[0].Version
		if f.Epoch >= epoch {
			// Equal: an earlier try whose answer was lost.
			return c, f.Epoch == epoch, nil
		}
	}
	b, err := json.Marshal(fence{epoch})
	if err != nil {
		return c, false, fmt.Errorf("encode fence: %w", err)
	}
	a, err := s.store.Apply(ctx, Change{If: []Condition{c}, Put: []Row{{Table: TableFences, Partition: part, Key: pool, Value: b}}})
	if err != nil {
		return c, false, fmt.Errorf("write fence: %w", err)
	}
	if !a.Applied {
		return c, false, fmt.Errorf("write fence: %w", errFenceConflict)
	}
	c.Version = a.Version
	return c, true, nil
}

// errFenceConflict says that the fence has changed while it was written: it is
// read again.
var errFenceConflict = errors.New("the fence has changed")

// DecodeHeartbeat reads a row of TableHeartbeats.
func DecodeHeartbeat(b []byte) (Heartbeat, error) {
	var v Heartbeat
	if err := json.Unmarshal(b, &v); err != nil {
		return Heartbeat{}, fmt.Errorf("decode heartbeat: %w", err)
	}
	return v, nil
}

// HeartbeatPeriod is how often a decider writes its row, HeartbeatTimeout how long it
// may be silent before another host takes the pool.
const (
	HeartbeatPeriod  = 400 * time.Millisecond
	HeartbeatTimeout = 1300 * time.Millisecond
)
