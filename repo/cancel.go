package repo

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
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

// maxCancelers limits the submitters in an Unsubmitted record, which bounds its size. It is far
// above the number of accounts that cancel the same unknown ID by mistake.
const maxCancelers = 64

// errCancelers is returned if more accounts than maxCancelers cancel the same unknown job.
var errCancelers = fmt.Errorf("too many accounts have cancelled this unknown job: %w", ErrNotDone)

// errLimited is the cause of the verdict Limited.
var errLimited = fmt.Errorf("too many cancellations of unknown jobs: %w", ErrNotDone)

// Cancel stores a request to cancel a job. A job that has already ended is left alone,
// and the verdict is Done. The verdict is Absent if the store holds no such job that the caller
// may reach, and none that it could reach will run under this ID: a submission without an answer
// may still be stored later. Jobs and submissions of others are left alone.
func (r *Repo) Cancel(ctx context.Context, c Caller, id string) (Verdict, error) {
	allowed := r.AllowUnknownCancel == nil
	for {
		rec, version, v, err := r.readRecord(ctx, id)
		if v != Done && v != Absent {
			return v, err
		}
		foreign := false
		if v == Done && !rec.Unsubmitted {
			reached, v, err := r.reaches(ctx, c, id, rec)
			switch {
			case v != Done:
				return v, err
			case reached && rec.State.Final():
				return Done, nil
			case reached:
				_, v, err = r.apply(ctx, Change{If: []Condition{hasVersion(TableCancels, id, 0)}, Put: []Row{newRow(TableCancels, id, encodeCancelRow(CancelRow{}))}})
				return v, err
			}
			// The write below fails then. It is sent all the same, so that the time until the
			// answer doesn't tell a job of another account from one that doesn't exist.
			foreign, rec, version = true, nil, 0
		}
		if !allowed && !r.AllowUnknownCancel(c) {
			return Limited, errLimited
		}
		allowed = true
		all, changed := addCancelers(rec, c.submitters())
		switch {
		case !changed:
			return Absent, nil
		case len(all) > maxCancelers:
			return NotRun, errCancelers
		}
		a, v, err := r.apply(ctx, canceledJob(id, version, &work.Record{Unsubmitted: true, CanceledFor: all}))
		if v != Done {
			return v, err
		}
		if a.Applied || foreign {
			return Absent, nil
		}
		// The record has changed meanwhile: the job, or another cancellation, was stored.
	}
}

// addCancelers returns whose submissions are to be stopped under an ID: those that the Unsubmitted
// record, if there is one, stops already, and l. It reports whether the record has to be written.
func addCancelers(rec *work.Record, l []work.Submitter) ([]work.Submitter, bool) {
	if rec == nil {
		return l, len(l) > 0
	}
	all := slices.Clone(rec.CanceledFor)
	for _, s := range l {
		if !rec.Stops(s) {
			all = append(all, s)
		}
	}
	return all, len(all) > len(rec.CanceledFor)
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
