package repo

import (
	"context"
	"encoding/json"
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

// Beat is the row that a decider writes regularly.
type Beat struct {
	Epoch int64
	Host  string
	N     int64
	// Waiting counts by queue the jobs of which no task has started.
	Waiting map[string]int
	// Left says that the decider has given the pool up.
	Left bool
}

// ReadOwner reads who decides for a pool. The version is 0 if nobody has.
func ReadOwner(ctx context.Context, s Store, pool string) (Owner, int64, error) {
	p, err := s.List(ctx, TableOwners, pool, 1)
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

// Take makes me the owner of a pool after the owner whose row has a version.
// It returns the condition under which the pool is mine, or false if another
// host was first.
func Take(ctx context.Context, s Store, pool string, me Owner, version int64) (Condition, bool, error) {
	b, err := json.Marshal(me)
	if err != nil {
		return Condition{}, false, fmt.Errorf("encode owner: %w", err)
	}
	a, err := s.Apply(ctx, Change{If: []Condition{{TableOwners, pool, version}}, Put: []Row{{Table: TableOwners, Key: pool, Value: b}}})
	if err == nil && a.Applied {
		return Condition{TableOwners, pool, a.Version}, true, nil
	}
	if err == nil && !a.Applied {
		return Condition{}, false, nil
	}
	// The answer is lost: the row tells, if it can be read.
	o, v, e := ReadOwner(ctx, s, pool)
	if e != nil {
		return Condition{}, false, fmt.Errorf("take pool: %w", err)
	}
	return Condition{TableOwners, pool, v}, o == me, nil
}

// DecodeBeat reads a row of TableBeats.
func DecodeBeat(b []byte) (Beat, error) {
	var v Beat
	if err := json.Unmarshal(b, &v); err != nil {
		return Beat{}, fmt.Errorf("decode beat: %w", err)
	}
	return v, nil
}

// PutBeat writes a beat if the pool is still held under a condition, and
// returns whether it is.
func PutBeat(ctx context.Context, s Store, held Condition, b Beat) (bool, error) {
	v, err := json.Marshal(b)
	if err != nil {
		return false, fmt.Errorf("encode beat: %w", err)
	}
	a, err := s.Apply(ctx, Change{If: []Condition{held}, Put: []Row{{Table: TableBeats, Key: held.Key, Value: v}}})
	if err != nil {
		return true, fmt.Errorf("write beat: %w", err)
	}
	return a.Applied, nil
}

// BeatPeriod is how often a decider writes its row, BeatTimeout how long it
// may be silent before another host takes the pool.
const (
	BeatPeriod  = 400 * time.Millisecond
	BeatTimeout = 1300 * time.Millisecond
)
