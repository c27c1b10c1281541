package repo

import (
	"context"
	"errors"
	"fmt"

	"citronbridge/work"
)

// Caller identifies who sent a call. Accounts count, not keys, so that a renewed key reaches the
// jobs of the former one.
type Caller struct {
	// Account is empty for a call without a key.
	Account string
	// PublicQueue is the queue that the call names, if it is public.
	PublicQueue string
	// UnknownKey is set if the call has a key of no known account. Under another configuration,
	// an earlier try of the call may have had an account.
	UnknownKey bool
}

// submitters returns the submitters whose jobs the caller may reach.
func (c Caller) submitters() []work.Submitter {
	var l []work.Submitter
	if c.Account != "" {
		l = append(l, work.Submitter{Account: c.Account})
	}
	if c.PublicQueue != "" {
		l = append(l, work.Submitter{Queue: c.PublicQueue})
	}
	return l
}

// mayReach reports whether the caller may read and cancel the jobs of s.
func (c Caller) mayReach(s work.Submitter) bool {
	if s.Account != "" {
		return s.Account == c.Account
	}
	return s.Queue != "" && s.Queue == c.PublicQueue
}

// errTaken is the cause of the verdict Taken. Clients aren't told of it.
var errTaken = errors.New("the ID is that of another account's job")

// reaches reports whether the caller may reach a job with the given record. The verdict is Done
// or NotRun. Only for a record of an earlier version, which lacks the account, it reads the job's
// row. If that is gone too, everyone reaches the job, as before.
func (r *Repo) reaches(ctx context.Context, c Caller, id string, rec *work.Record) (bool, Verdict, error) {
	for {
		if s, ok := rec.Submitter(); ok {
			return c.mayReach(s), Done, nil
		}
		row, v, err := r.readRow(ctx, TableJobs, id)
		switch v {
		case Done:
			j, err := work.DecodeJob(row.Value)
			if err != nil {
				return false, NotRun, fmt.Errorf("row of job %s: %w", id, err)
			}
			return c.mayReach(j.Submitter()), Done, nil
		case Absent:
		default:
			return false, v, err
		}
		if rec.State.Final() {
			return true, Done, nil
		}
		// The job has ended since the record was read. The final record may have the account.
		rec, _, v, err = r.readRecord(ctx, id)
		switch {
		case v == NotRun:
			return false, v, err
		case v == Absent || !rec.State.Final():
			return true, Done, nil
		}
	}
}
