package decide

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/event"
	"citronbridge/fakes/rows"
	"citronbridge/repo"
	"citronbridge/timer"
)

// gatedStore is a store that answers a change only once the gate lets it.
type gatedStore struct {
	*rows.Store
	began, gate chan struct{}
}

// Apply implements repo.Store.
func (s gatedStore) Apply(ctx context.Context, c repo.Change) (repo.Result, error) {
	s.began <- struct{}{}
	<-s.gate
	return s.Store.Apply(ctx, c)
}

// TestProofsDoNotQueueUp guards against workers that get no tasks for many seconds while the store
// is slow: the state machine asks for proofs of ownership faster than they are written, and the
// proof that a worker waits for came after all those requested before.
func TestProofsDoNotQueueUp(t *testing.T) {
	m := gatedStore{rows.New(), make(chan struct{}, 1000), make(chan struct{}, 1000)}
	owners := repo.NewOwners(m)
	self := repo.Owner{Host: "h", Epoch: 1}
	m.gate <- struct{}{}
	o, err := owners.Acquire(t.Context(), "p", self, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	<-m.began
	d := &Decider{c: Config{Pool: "p", Owner: self, Ownership: o, Owners: owners, Store: m}, log: zerolog.Nop(), ctx: t.Context(), events: make(chan event.Event, eventQueueSize)}
	d.perform([]event.Effect{event.ProveOwnership{}})
	<-m.began
	for range 50 {
		time.Sleep(time.Millisecond)
		d.perform([]event.Effect{event.ProveOwnership{}})
	}
	needed := d.clock().Steady
	d.perform([]event.Effect{event.ProveOwnership{}})
	time.Sleep(10 * time.Millisecond)
	for range 100 {
		m.gate <- struct{}{}
	}
	proofs := 0
	for p := (event.OwnershipProved{}); p.At < needed; proofs++ {
		select {
		case e := <-d.events:
			p = e.(event.OwnershipProved)
		case <-time.After(10 * time.Second):
			t.Fatal("no proof answers the last request")
		}
	}
	d.wg.Wait()
	if proofs > 2 {
		t.Errorf("the last request is answered by proof %d, want the one in flight and one more", proofs)
	}
}

// TestOrdersNeedHeartbeats guards against leases that are renewed for longer than a successor
// waits: writes of jobs go on for a while after another host has acquired the pool.
func TestOrdersNeedHeartbeats(t *testing.T) {
	now := timer.SinceBoot()
	d := &Decider{log: zerolog.Nop(), provedAt: now - time.Minute, heartbeatAt: now - time.Minute}
	d.confirmOwnership(now)
	if l := d.limits(); !l.NoOrders {
		t.Errorf("%+v a minute after the last heartbeat, want NoOrders", l)
	}
	d.heartbeatAt = now
	if l := d.limits(); l.NoOrders || l.NoStarts {
		t.Errorf("%+v just after a heartbeat, want no limits", l)
	}
}
