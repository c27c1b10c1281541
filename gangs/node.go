package gangs

import (
	"context"
	"errors"
	"time"

	"citronbridge/fleet"
	"citronbridge/health"
	"citronbridge/jobs"
	"citronbridge/setup"
	"citronbridge/target"
)

// Node is the decider's view of a target. Mu of the Controller guards all fields but ID and
// Conn.
type Node struct {
	// ID is the target's ID. It never changes, so it is read without the lock.
	ID          string
	Host        fleet.Host
	Conn        setup.Conn
	Listed      bool
	Fenced      bool
	Incarnation string
	Sequence    int64
	// LastRenewal is when the last poll that the target answered was sent, or when the cell was
	// acquired if there is none. A poll renews the leases of the target's tasks.
	LastRenewal time.Time
	// StrayTasks holds the room of the tasks that belong to no current attempt.
	StrayTasks map[target.TaskID]jobs.Room
	// Relist makes the next poll list all tasks, as an order to forget some of them had no
	// answer.
	Relist bool
	Health health.Record
	// UnansweredCalls counts the consecutive calls that the target didn't answer.
	UnansweredCalls int
	Cancel          context.CancelFunc
}

// Open reports whether the target may get new work. The caller holds Mu of the Controller.
func (x *Node) Open() bool {
	return x.Listed && x.Fenced && !x.Host.Leaving && !x.Health.Suspect && x.UnansweredCalls < MaxUnansweredCalls
}

// Room returns the room of the target that jobs of the cell may use: all but that of stray
// tasks.
func (x *Node) Room() jobs.Room {
	r := x.Host.Room
	for _, s := range x.StrayTasks {
		r = r.Minus(s)
	}
	return r
}

// MayHoldLease reports whether leases at the target may still be valid.
func (x *Node) MayHoldLease(now time.Time, lease time.Duration) bool {
	return now.Sub(x.LastRenewal) <= lease+leaseMargin
}

// Send sends orders to a target under the cell's epoch and counts the results. It returns a
// refusal for each order, empty for one that was accepted. If the target has a newer epoch the
// cell is released.
func (c *Controller) Send(ctx context.Context, x *Node, o []target.Order) ([]target.Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := x.Conn.Send(ctx, c.Hold.Epoch, o)
	if errors.Is(err, target.ErrStaleEpoch) {
		c.Depose("target " + x.ID + " has a newer epoch")
	}
	for i := range o {
		res := "Unanswered"
		if err == nil {
			res = string(r[i])
		}
		if res == "" {
			res = "Accepted"
		}
		c.Config.Meter.Orders.WithLabelValues(string(o[i].Action), res).Inc()
	}
	return r, err
}

// RequestRelist makes the next poll of a target list all its tasks. Those that should have been
// forgotten are discarded then.
func (c *Controller) RequestRelist(x *Node) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	x.Relist = true
}

// MaxUnansweredCalls is the number of consecutive unanswered calls at which a target is
// unresponsive and gets no new work.
const MaxUnansweredCalls = 2
