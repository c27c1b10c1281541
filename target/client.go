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

// Bounds of a call to a target.
const (
	callTimeout = time.Second
	// watchMargin is how much longer than its wait a watch may take.
	watchMargin = time.Second
)

// ErrStaleEpoch says that the target was fenced by a newer epoch.
var ErrStaleEpoch = errors.New("stale epoch")

// Client calls one target.
type Client struct {
	http  *httpc.Client
	lease units.Duration
}

// NewClient returns a Client of the target at base that asks for leases of
// the given length.
func NewClient(base string, lease time.Duration) *Client {
	return &Client{http: httpc.New(base), lease: units.Duration(lease)}
}

// Fence makes the target refuse every lower epoch, and returns all its tasks.
func (c *Client) Fence(ctx context.Context, epoch int64) (Report, error) {
	return c.report(ctx, "/fence", callTimeout, FenceRequest{epoch, c.lease})
}

// Watch returns the tasks that changed after sequence since, at once if there
// are any, and renews the leases of all the target's tasks.
func (c *Client) Watch(ctx context.Context, epoch, since int64, wait time.Duration) (Report, error) {
	return c.report(ctx, "/watch", wait+watchMargin, WatchRequest{epoch, since, units.Duration(wait), c.lease})
}

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

// Send gives the target the orders, which it takes one after the other, and
// returns its refusal of each. The context bounds the call.
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

// wrapStaleEpoch turns the status by which a target refuses an epoch into ErrStale.
func wrapStaleEpoch(err error) error {
	if httpc.Status(err) == http.StatusConflict {
		return fmt.Errorf("%w: %w", ErrStaleEpoch, err)
	}
	return err
}
