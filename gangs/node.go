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

// Node is a target as its decider knows it.
type Node struct {
	// ID is the target's and never changes, so it is read without the lock.
	ID          string
	Host        fleet.Host
	Conn        setup.Conn
	Listed      bool
	Fenced      bool
	Incarnation string
	Sequence    int64
	// Contact is when the last renewal that arrived was sent.
	Contact time.Time
	// Strays is the room of tasks that belong to no current attempt.
	Strays map[target.TaskID]jobs.Room
	Health health.Record
	// Unanswered counts the calls in a row that the target didn't answer.
	Unanswered int
	Cancel     context.CancelFunc
}

// Open reports whether a target may get new work. The cell's lock is held.
func (x *Node) Open() bool {
	return x.Listed && x.Fenced && !x.Host.Leaving && !x.Health.Suspect && x.Unanswered < SilentCalls
}

// Room returns what the target has for jobs of the cell.
func (x *Node) Room() jobs.Room {
	r := x.Host.Room
	for _, s := range x.Strays {
		r = r.Minus(s)
	}
	return r
}

// Answers reports whether the target may hold leases that were renewed.
func (x *Node) Answers(now time.Time, lease time.Duration) bool {
	return now.Sub(x.Contact) <= lease+leaseMargin
}

// Send gives orders to a target and counts their results.
func (c *Gangs) Send(ctx context.Context, x *Node, o []target.Order) ([]target.Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := x.Conn.Send(ctx, c.Hold.Epoch, o)
	if errors.Is(err, target.ErrStaleEpoch) {
		c.Lost("target " + x.ID + " has a newer epoch")
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

// SilentCalls is how many calls in a row a target leaves unanswered before it
// gets no new work.
const SilentCalls = 2
