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

// Seat is what a host holds a pool by.
type Seat struct {
	// Owner is the version of the owner's row: what the decider writes beside
	// jobs is conditional on it.
	Owner Condition
	// Beat is the version of the last beat, which each one is conditional on.
	// Taking the pool writes both rows.
	Beat Condition
}

// Seats reads and takes the ownership of pools.
type Seats struct{ store Store }

// NewSeats returns Seats on a store.
func NewSeats(s Store) *Seats { return &Seats{s} }

// Read returns who decides for a pool. The version is 0 if nobody has.
func (s *Seats) Read(ctx context.Context, pool string) (Owner, int64, error) {
	p, err := s.store.List(ctx, TableOwners, PartOf(TableOwners, pool), pool, 1)
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
// It returns nil if another host was first.
func (s *Seats) Take(ctx context.Context, pool string, me Owner, version int64) (*Seat, error) {
	b, err := json.Marshal(me)
	if err != nil {
		return nil, fmt.Errorf("encode owner: %w", err)
	}
	beat, err := json.Marshal(Beat{Epoch: me.Epoch, Host: me.Host})
	if err != nil {
		return nil, fmt.Errorf("encode beat: %w", err)
	}
	a, err := s.store.Apply(ctx, Change{
		If:  []Condition{at(TableOwners, pool, version)},
		Put: []Row{newRow(TableOwners, pool, b), newRow(TableBeats, pool, beat)},
	})
	if err == nil && !a.Applied {
		return nil, nil
	}
	beatAt := a.Version
	if err != nil {
		// The answer is lost: the row tells, if it can be read. The version
		// of the beat is learnt from the first try to write the next.
		o, v, e := s.Read(ctx, pool)
		if e != nil {
			return nil, fmt.Errorf("take pool: %w", err)
		}
		if o != me {
			return nil, nil
		}
		a.Version, beatAt = v, 0
	}
	return &Seat{at(TableOwners, pool, a.Version), at(TableBeats, pool, beatAt)}, nil
}

// Beat writes a beat and returns whether the pool is still held. The answer
// proves it, or its opposite.
func (s *Seats) Beat(ctx context.Context, seat *Seat, b Beat) (bool, error) {
	v, err := json.Marshal(b)
	if err != nil {
		return false, fmt.Errorf("encode beat: %w", err)
	}
	a, err := s.store.Apply(ctx, Change{If: []Condition{seat.Beat}, Put: []Row{newRow(TableBeats, seat.Beat.Key, v)}})
	if err != nil {
		return true, fmt.Errorf("write beat: %w", err)
	}
	if a.Applied {
		seat.Beat.Version = a.Version
		return true, nil
	}
	for _, r := range a.Current {
		if r.Table != TableBeats || r.Key != seat.Beat.Key {
			continue
		}
		c, err := DecodeBeat(r.Value)
		if err != nil {
			return false, err
		}
		// An earlier beat of this epoch whose answer was lost.
		seat.Beat.Version = r.Version
		return c.Epoch == b.Epoch, nil
	}
	return false, nil
}

// fence is a row of TableFences.
type fence struct{ Epoch int64 }

// Fence gives an epoch the right to write a part of jobs, and takes it from
// all before. It returns the condition to write under, and false if a higher
// epoch has the part.
func (s *Seats) Fence(ctx context.Context, pool, part string, epoch int64) (Condition, bool, error) {
	p, err := s.store.List(ctx, TableFences, part, pool, 1)
	if err != nil {
		return Condition{}, false, fmt.Errorf("read fence: %w", err)
	}
	c := Condition{Table: TableFences, Part: part, Key: pool}
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
	a, err := s.store.Apply(ctx, Change{If: []Condition{c}, Put: []Row{{Table: TableFences, Part: part, Key: pool, Value: b}}})
	if err != nil {
		return c, false, fmt.Errorf("write fence: %w", err)
	}
	if !a.Applied {
		return c, false, fmt.Errorf("write fence: %w", errFenceRace)
	}
	c.Version = a.Version
	return c, true, nil
}

// errFenceRace says that the fence has changed while it was written: it is
// read again.
var errFenceRace = errors.New("the fence has changed")

// DecodeBeat reads a row of TableBeats.
func DecodeBeat(b []byte) (Beat, error) {
	var v Beat
	if err := json.Unmarshal(b, &v); err != nil {
		return Beat{}, fmt.Errorf("decode beat: %w", err)
	}
	return v, nil
}

// BeatPeriod is how often a decider writes its row, BeatTimeout how long it
// may be silent before another host takes the pool.
const (
	BeatPeriod  = 400 * time.Millisecond
	BeatTimeout = 1300 * time.Millisecond
)
