package cells

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/fakes"
	"citronbridge/fleet"
	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/meter"
	"citronbridge/setup"
	"citronbridge/target"
	"citronbridge/timer"
	"citronbridge/units"
)

// lossyConn loses the first batches of orders that it is given.
type lossyConn struct {
	setup.Conn
	toLose atomic.Int32
}

func (l *lossyConn) Send(ctx context.Context, epoch int64, o []target.Order) ([]target.Refusal, error) {
	if l.toLose.Add(-1) >= 0 {
		return nil, errors.New("no answer")
	}
	return l.Conn.Send(ctx, epoch, o)
}

// TestLostForgetIsRepeated guards against tasks that stay at a target for as long as its
// decider does, because the only order to forget them was lost.
func TestLostForgetIsRepeated(t *testing.T) {
	room := jobs.Room{Accelerators: 8}
	x := fakes.NewTarget("t1", room, "http://127.0.0.1:1")
	s := httptest.NewServer(x.Handler())
	defer s.Close()
	conn := &lossyConn{Conn: target.NewClient(s.URL, 10*time.Second)}
	c := New(&setup.Config{
		Timer: timer.New(), Meter: meter.New(), Log: zerolog.Nop(), Bounds: setup.Bounds{Lease: 10 * time.Second},
		Connect: func(fleet.Host, time.Duration) setup.Conn { return conn },
	}, ledger.Ownership{Cell: "c", Epoch: 1}, time.Now(), func(why string) { t.Errorf("deposed: %s", why) })
	defer c.Close()

	id := target.TaskID{Job: jobs.Key{Account: "a", ID: "00000000000000aa"}, Attempt: jobs.Attempt{Epoch: 1, Number: 1}}
	order := func(o target.Order) {
		o.Task = id
		if r, err := conn.Conn.Send(context.Background(), 1, []target.Order{o}); err != nil || r[0] != target.Accepted {
			t.Fatalf("%s: %v, %v", o.Action, r, err)
		}
	}
	await := func(what string, f func() bool) {
		for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %+v", what, x.Tasks())
			}
		}
	}
	order(target.Order{Action: target.Reserve, Room: room, Targets: []string{"t1"}, Arguments: []string{"Run=1ms"}})
	order(target.Order{Action: target.Start, Lease: units.Duration(time.Second)})
	await("the task isn't complete", func() bool { return x.Tasks()[0].State == target.Complete })
	conn.toLose.Store(3)
	// The cell is watched only now, as it would stop and forget the task before its start.
	c.Mu.Lock()
	c.startWatch(fleet.Host{ID: "t1", Room: room})
	c.Mu.Unlock()
	await("tasks are left", func() bool { return len(x.Tasks()) == 0 })
}
