package target

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"citronbridge/httpc"
	"citronbridge/units"
)

// Time limits of calls to a target.
const (
	callTimeout = time.Second
	// watchMargin is the time that a watch may take in addition to its wait.
	watchMargin = time.Second
)

// ErrStaleEpoch means that the target rejected a call because it was fenced in a newer epoch.
var ErrStaleEpoch = errors.New("stale epoch")

// Client calls one target. Its calls are not retried.
type Client struct {
	http  *httpc.Client
	lease units.Duration
}

// NewClient returns a Client of the target at the URL base that asks for leases of the given
// duration.
func NewClient(base string, lease time.Duration) *Client {
	return &Client{http: httpc.New(base), lease: units.Duration(lease)}
}

// Fence makes the target reject calls with a lower epoch, renews the leases of all tasks of the
// target, and returns all its tasks.
func (c *Client) Fence(ctx context.Context, epoch int64) (Report, error) {
	return c.report(ctx, "/fence", callTimeout, FenceRequest{epoch, c.lease})
}

// Watch returns the tasks that changed after the sequence number since, and renews the leases of
// all tasks of the target. It returns as soon as there are any, and after wait otherwise.
func (c *Client) Watch(ctx context.Context, epoch, since int64, wait time.Duration) (Report, error) {
	return c.report(ctx, "/watch", wait+watchMargin, WatchRequest{epoch, since, units.Duration(wait), c.lease})
}

// report posts in to path and returns the target's report without its malformed tasks. The call may
// take up to limit.
func (c *Client) report(ctx context.Context, path string, limit time.Duration, in any) (Report, error) {
	x, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var r Report
	if err := c.http.Do(x, http.MethodPost, path, in, &r); err != nil {
		return Report{}, wrapStaleEpoch(err)
	}
	valid := r.Tasks[:0]
	for _, t := range r.Tasks {
		if len(t.Check()) == 0 {
			valid = append(valid, t)
		}
	}
	r.Tasks = valid
	return r, nil
}

// Send sends orders to the target, which executes them one after the other, and returns the
// target's refusal of each, or Accepted. Only ctx limits the time of the call.
func (c *Client) Send(ctx context.Context, epoch int64, orders []Order) ([]Refusal, error) {
	var r []Refusal
	if err := c.http.Do(ctx, http.MethodPost, "/orders", Batch{epoch, c.lease, orders}, &r); err != nil {
		return nil, wrapStaleEpoch(err)
	}
	if len(r) != len(orders) {
		return nil, fmt.Errorf("target answered %d of %d orders", len(r), len(orders))
	}
	return r, nil
}

// wrapStaleEpoch wraps err in ErrStaleEpoch if it is the HTTP status 409, with which targets reject
// an epoch.
func wrapStaleEpoch(err error) error {
	if httpc.Status(err) == http.StatusConflict {
		return fmt.Errorf("%w: %w", ErrStaleEpoch, err)
	}
	return err
}
