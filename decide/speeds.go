package decide

import (
	"encoding/json"
	"strconv"

	"citronbridge/event"
	"citronbridge/rates"
	"citronbridge/repo"
)

// speedsFromRow converts a row of learnt speeds. They only make placement better, so a row that
// can't be decoded counts as one without any.
func (d *Decider) speedsFromRow(r repo.Row) event.SpeedsInherited {
	var l map[string]rates.Speed
	if err := json.Unmarshal(r.Value, &l); err != nil {
		d.log.Error().Err(err).Str("row", r.Key).Msg("learnt speeds of workers can't be decoded; learning them anew")
	}
	return event.SpeedsInherited{Speeds: l}
}

// writeSpeeds writes the learnt speeds of a shard of the workers.
func (d *Decider) writeSpeeds(e event.SaveSpeeds) {
	b, err := json.Marshal(e.Speeds)
	if err != nil {
		d.log.Error().Err(err).Int("shard", e.Shard).Msg("learnt speeds of workers can't be encoded; not saving them")
		return
	}
	d.writer.Put(repo.TableSpeeds, repo.WorkerKey(d.c.Pool, strconv.Itoa(e.Shard)), b, nil)
}
