package repo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"citronbridge/work"
)

// CancelRow is a row of TableCancels.
type CancelRow struct {
	// Ended is set if the job was cancelled before it was stored, and so never runs. It is
	// when that was, in Unix milliseconds. The job's record was written with the row.
	Ended int64 `json:",omitempty"`
}

// DecodeCancelRow decodes the value of a row of TableCancels.
func DecodeCancelRow(b []byte) (CancelRow, error) {
	var c CancelRow
	if err := json.Unmarshal(b, &c); err != nil {
		return CancelRow{}, fmt.Errorf("decode cancellation: %w", err)
	}
	return c, nil
}

// Cancel stores a request to cancel a job. A job that has already ended is left alone,
// and the verdict is Done. The verdict is Absent if the store holds no such job and none
// under this ID will run: a submission without an answer may still be stored later.
func (r *Repo) Cancel(ctx context.Context, id string) (Verdict, error) {
	for {
		rec, v, err := r.readRecord(ctx, id)
		switch {
		case v == Absent:
			a, v, err := r.apply(ctx, canceledJob(id, 0, &work.Record{Unsubmitted: true}))
			if v != Done {
				return v, err
			}
			if a.Applied {
				return Absent, nil
			}
			// The record exists by now: that of the job, or of another cancellation.
			continue
		case v != Done:
			return v, err
		case rec.Unsubmitted:
			return Absent, nil
		case rec.State.Final():
			return Done, nil
		}
		_, v, err = r.apply(ctx, Change{If: []Condition{hasVersion(TableCancels, id, 0)}, Put: []Row{newRow(TableCancels, id, encodeCancelRow(CancelRow{}))}})
		return v, err
	}
}

// storeCanceled completes a submission whose job has a record already. If that only says
// that the job was cancelled before it was stored, the job is shown as cancelled from now on.
func (r *Repo) storeCanceled(ctx context.Context, j *work.Job, current []Row) (Verdict, error) {
	for _, row := range current {
		if row.Table != TableRecords || row.Key != j.ID {
			continue
		}
		rec, err := work.DecodeRecord(row.Value)
		if err != nil {
			return Ambiguous, fmt.Errorf("record of job %s: %w", j.ID, err)
		}
		if rec.Unsubmitted {
			_, v, err := r.apply(ctx, canceledJob(j.ID, row.Version, &work.Record{Queue: j.Queue}))
			return v, err
		}
	}
	return Done, nil
}

// canceledJob returns the change that records a job without a row of its own as cancelled.
// The record must have the given version.
func canceledJob(id string, version int64, rec *work.Record) Change {
	rec.State, rec.Ended = work.Canceled, time.Now().UnixMilli()
	b, err := rec.Encode()
	if err != nil {
		panic("record can't be encoded: " + err.Error())
	}
	return Change{
		If:  []Condition{hasVersion(TableRecords, id, version)},
		Put: []Row{newRow(TableRecords, id, b), newRow(TableCancels, id, encodeCancelRow(CancelRow{Ended: rec.Ended}))},
	}
}

func encodeCancelRow(c CancelRow) []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic("cancellation can't be encoded: " + err.Error())
	}
	return b
}
