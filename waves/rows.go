package waves

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"citronbridge/maint"
	"citronbridge/repo"
)

// Table holds a row for each maintenance wave: which machines occupy a maintenance
// slot, and which are up again. It has one partition, that of the owners of pools,
// so that a write can depend on the pool's ownership.
const Table = "maintenance"

// rowKey returns the key of a wave's row.
func rowKey(n int64) string { return strconv.FormatInt(n, 10) }

// readProgress returns a wave's progress and the version of its row, 0 if there is
// none.
func (r *Runner) readProgress(ctx context.Context, n int64) (maint.Progress, int64, error) {
	p, err := r.c.Store.List(ctx, Table, "", rowKey(n), 1)
	if err != nil {
		return maint.Progress{}, 0, fmt.Errorf("read progress of wave %d: %w", n, err)
	}
	if len(p.Rows) == 0 || p.Rows[0].Key != rowKey(n) {
		return maint.Progress{}, 0, nil
	}
	return decodeProgress(n, p.Rows[0])
}

func decodeProgress(n int64, row repo.Row) (maint.Progress, int64, error) {
	var v maint.Progress
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, 0, fmt.Errorf("decode progress of wave %d: %w", n, err)
	}
	return v, row.Version, nil
}

// writeProgress writes a wave's progress if its row still has a.Version and the pool
// is still owned by this host. It returns the progress and version in the store
// afterwards, and whether the pool is still owned.
func (r *Runner) writeProgress(ctx context.Context, a maint.WriteProgress) (current maint.Progress, version int64, owned bool, err error) {
	b, err := json.Marshal(a.Progress)
	if err != nil {
		return current, 0, true, fmt.Errorf("encode progress of wave %d: %w", a.Wave, err)
	}
	row := repo.Row{Table: Table, Key: rowKey(a.Wave), Value: b}
	res, err := r.c.Store.Apply(ctx, repo.Change{If: []repo.Condition{r.c.Owner, {Table: Table, Key: row.Key, Version: a.Version}}, Put: []repo.Row{row}})
	if err != nil {
		return current, 0, true, fmt.Errorf("write progress of wave %d: %w", a.Wave, err)
	}
	if res.Applied {
		return a.Progress, res.Version, true, nil
	}
	for _, c := range res.Current {
		switch {
		case c.Table == r.c.Owner.Table && c.Key == r.c.Owner.Key:
			owned = c.Version == r.c.Owner.Version
		case c.Table == Table && c.Key == row.Key:
			if current, version, err = decodeProgress(a.Wave, c); err != nil {
				return current, 0, true, err
			}
		}
	}
	return current, version, owned, nil
}
