package waves

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/event"
	"citronbridge/fakes/rows"
	"citronbridge/maint"
	"citronbridge/platform/cloud"
	"citronbridge/repo"
)

// fakeMachines answers as a test says.
type fakeMachines struct {
	list    []maint.Machine
	err     error
	outcome maint.Outcome
	orders  []string
}

func (m *fakeMachines) List(context.Context) ([]maint.Machine, error) { return m.list, m.err }

func (m *fakeMachines) Maintain(_ context.Context, machine string, _ int64, holder string, _ int64) (maint.Outcome, error) {
	m.orders = append(m.orders, machine+" by "+holder)
	return m.outcome, m.err
}

// newRunner returns a Runner of a pool that was just taken, what it tells and
// whether it was deposed.
func newRunner(t *testing.T, m *rows.Store, host string, epoch, version int64) (r *Runner, told *[]event.Event, deposed *bool, cond repo.Condition) {
	t.Helper()
	o, err := repo.NewOwners(m).Take(t.Context(), "pool", repo.Owner{Epoch: epoch, Host: host, Boot: host}, version)
	if err != nil || o == nil {
		t.Fatal("pool not taken:", err)
	}
	told, deposed = &[]event.Event{}, new(bool)
	r = New(Config{
		Host: host, Store: m, Owner: o.Owner, Machines: &fakeMachines{outcome: maint.Begun}, Now: func() time.Duration { return time.Second },
		Notify: func(e event.Event) { *told = append(*told, e) }, OrderDone: func(maint.Outcome) {}, Deposed: func() { *deposed = true }, Log: zerolog.Nop(),
	})
	return r, told, deposed, o.Owner
}

// TestProgress lets two deciders write a wave's row: each write needs the row's
// version, and one that has lost its pool writes nothing.
func TestProgress(t *testing.T) {
	m := rows.New()
	a, told, deposed, owner := newRunner(t, m, "a", 1, 0)
	last := func(told *[]event.Event) event.ProgressRead {
		t.Helper()
		e, ok := (*told)[len(*told)-1].(event.ProgressRead)
		if !ok || e.Err != nil {
			t.Fatalf("told %+v", (*told)[len(*told)-1])
		}
		return e
	}
	a.Do(t.Context(), maint.ReadProgress{Wave: 7})
	if e := last(told); e.Version != 0 || len(e.Progress.Claims) > 0 {
		t.Errorf("a wave without a row: %+v", e)
	}
	p := maint.Progress{Claims: map[string]maint.Claim{"m-1": {Pool: "pool", Epoch: 1}}, Done: []string{"m-0"}}
	a.Do(t.Context(), maint.WriteProgress{Wave: 7, Progress: p})
	first := last(told)
	if first.Version == 0 || !reflect.DeepEqual(first.Progress, p) {
		t.Errorf("written: %+v", first)
	}
	// A write for a version that the row no longer has tells how it is.
	a.Do(t.Context(), maint.WriteProgress{Wave: 7, Progress: maint.Progress{}})
	if e := last(told); e.Version != first.Version || !reflect.DeepEqual(e.Progress, p) {
		t.Errorf("after a conflict: %+v", e)
	}
	b, toldB, _, _ := newRunner(t, m, "b", 2, owner.Version)
	b.Do(t.Context(), maint.ReadProgress{Wave: 7})
	if e := last(toldB); e.Version != first.Version || !reflect.DeepEqual(e.Progress, p) {
		t.Errorf("the successor reads %+v", e)
	}
	n := len(*told)
	a.Do(t.Context(), maint.WriteProgress{Wave: 7, Progress: maint.Progress{}, Version: first.Version})
	if !*deposed || len(*told) != n {
		t.Errorf("a former decider: deposed %v, told %+v", *deposed, (*told)[n:])
	}
}

// TestStatusIsReported writes that a wave is under way once, and that it is over;
// a former decider can't take that back.
func TestStatusIsReported(t *testing.T) {
	m := rows.New()
	a, _, _, owner := newRunner(t, m, "a", 1, 0)
	status := func() string {
		t.Helper()
		p, err := m.List(t.Context(), cloud.TableStatus, "", cloud.WaveKey(7), 1)
		if err != nil || len(p.Rows) != 1 {
			t.Fatalf("%+v, %v", p, err)
		}
		return string(p.Rows[0].Value)
	}
	a.Do(t.Context(), maint.ReportStatus{Wave: 7})
	if s := status(); s != `{"wave":7,"state":"running"}` {
		t.Errorf("under way: %s", s)
	}
	a.Do(t.Context(), maint.ReportStatus{Wave: 7, Finished: true})
	over := `{"wave":7,"state":"succeeded"}`
	b, _, _, _ := newRunner(t, m, "b", 2, owner.Version)
	b.Do(t.Context(), maint.ReportStatus{Wave: 7})
	a.Do(t.Context(), maint.ReportStatus{Wave: 7})
	if s := status(); s != over {
		t.Errorf("over: %s", s)
	}
}

// TestMachines passes on what the service of machines says.
func TestMachines(t *testing.T) {
	r, told, _, _ := newRunner(t, rows.New(), "a", 1, 0)
	m := &fakeMachines{list: []maint.Machine{{ID: "m-1", Pool: "pool", State: maint.Up, Worker: "i-1"}}, outcome: maint.Busy}
	r.c.Machines = m
	r.Do(t.Context(), maint.ListMachines{})
	r.Do(t.Context(), maint.OrderMaintenance{Wave: 7, Machine: "m-1", Token: 3})
	m.err = errors.New("away")
	r.Do(t.Context(), maint.ListMachines{})
	want := []event.Event{
		event.MachinesListed{Machines: m.list, Sent: time.Second}, event.MaintenanceAnswered{Wave: 7, Machine: "m-1", Outcome: maint.Busy},
		event.MachinesListed{Machines: m.list, Sent: time.Second, Err: m.err},
	}
	if !reflect.DeepEqual(*told, want) {
		t.Errorf("told %+v", *told)
	}
	if len(m.orders) != 1 || m.orders[0] != "m-1 by a" {
		t.Errorf("orders %v", m.orders)
	}
}
