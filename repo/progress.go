package repo

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"citronbridge/upkeep"
)

// TableUpkeep has a row for each wave of upkeep: which machines have a place,
// and which are back.
const TableUpkeep = "upkeep"

// waveKey names a wave's row.
func waveKey(n int64) string { return strconv.FormatInt(n, 10) }

// Progress returns how a wave is, and the version of its row, 0 if there is
// none.
func (s *Owners) Progress(ctx context.Context, n int64) (upkeep.Progress, int64, error) {
	p, err := s.store.List(ctx, TableUpkeep, PartOf(TableUpkeep, waveKey(n)), waveKey(n), 1)
	if err != nil {
		return upkeep.Progress{}, 0, fmt.Errorf("read progress of wave %d: %w", n, err)
	}
	if len(p.Rows) == 0 || p.Rows[0].Key != waveKey(n) {
		return upkeep.Progress{}, 0, nil
	}
	return decodeProgress(n, p.Rows[0])
}

func decodeProgress(n int64, r Row) (upkeep.Progress, int64, error) {
	var v upkeep.Progress
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return v, 0, fmt.Errorf("decode progress of wave %d: %w", n, err)
	}
	return v, r.Version, nil
}

// SetProgress writes how a wave is, if its row has a version and the pool is
// still held. It returns the row as it is then, and whether the pool is held.
func (s *Owners) SetProgress(ctx context.Context, o *Ownership, n int64, v upkeep.Progress, version int64) (upkeep.Progress, int64, bool, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return v, 0, true, fmt.Errorf("encode progress of wave %d: %w", n, err)
	}
	a, err := s.store.Apply(ctx, Change{If: []Condition{o.Owner, at(TableUpkeep, waveKey(n), version)}, Put: []Row{newRow(TableUpkeep, waveKey(n), b)}})
	if err != nil {
		return v, 0, true, fmt.Errorf("write progress of wave %d: %w", n, err)
	}
	if a.Applied {
		return v, a.Version, true, nil
	}
	held := false
	now, nowVersion := upkeep.Progress{}, int64(0)
	for _, r := range a.Current {
		switch {
		case r.Table == o.Owner.Table && r.Key == o.Owner.Key:
			held = r.Version == o.Owner.Version
		case r.Table == TableUpkeep && r.Key == waveKey(n):
			if now, nowVersion, err = decodeProgress(n, r); err != nil {
				return v, 0, true, err
			}
		}
	}
	return now, nowVersion, held, nil
}

// Tell writes a row for the operator, if the pool is still held; with fresh,
// only if there is none yet.
func (s *Owners) Tell(ctx context.Context, o *Ownership, table, key string, value []byte, fresh bool) error {
	c := Change{If: []Condition{o.Owner}, Put: []Row{{Table: table, Key: key, Value: value}}}
	if fresh {
		c.If = append(c.If, Condition{Table: table, Key: key})
	}
	if _, err := s.store.Apply(ctx, c); err != nil {
		return fmt.Errorf("write %s/%s: %w", table, key, err)
	}
	return nil
}
