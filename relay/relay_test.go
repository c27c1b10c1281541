package relay

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protodelim"

	"citronbridge/fakes/rows"
	"citronbridge/hosts"
	"citronbridge/repo"
	"citronbridge/wire"
)

var errAnswerLost = errors.New("answer lost")

// faultyStore is one host's access to a store that several hosts share. It can fail all
// calls of that host, or lose the answers to some.
type faultyStore struct {
	*rows.Store
	mu   sync.Mutex
	fail error
	// loseAnswersOf names a table whose changes fail as if the answer were lost.
	loseAnswersOf string
}

func (d *faultyStore) setFailure(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail = err
}

func (d *faultyStore) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fail
}

// Apply implements repo.Store.
func (d *faultyStore) Apply(ctx context.Context, c repo.Change) (repo.Result, error) {
	if err := d.failure(); err != nil {
		return repo.Result{}, err
	}
	if c.Put != nil && c.Put[0].Table == d.loseAnswersOf {
		return repo.Result{}, errAnswerLost
	}
	return d.Store.Apply(ctx, c)
}

// List implements repo.Store.
func (d *faultyStore) List(ctx context.Context, table, partition, from string, limit int) (repo.Page, error) {
	if err := d.failure(); err != nil {
		return repo.Page{}, err
	}
	return d.Store.List(ctx, table, partition, from, limit)
}

// Feed implements repo.Store.
func (d *faultyStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (repo.Page, error) {
	if err := d.failure(); err != nil {
		return repo.Page{}, err
	}
	return d.Store.Feed(ctx, table, after, wait)
}

// startRelay runs a Relay on a faultyStore until the test ends, and returns the address at
// which it serves other hosts.
func startRelay(t *testing.T, host string, d *faultyStore, seeds ...string) (*Relay, string) {
	t.Helper()
	return startRelayOn(t, host, d, seeds...)
}

// startRelayOn is startRelay for any store.
func startRelayOn(t *testing.T, host string, d repo.Store, seeds ...string) (*Relay, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(Config{Host: host, Direct: d, Listener: l, Seeds: seeds, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		r.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r, l.Addr().String()
}

// failOver makes calls until the relay has failed over.
func failOver(t *testing.T, r *Relay) {
	t.Helper()
	for !r.FailedOver() {
		if _, err := r.List(t.Context(), "t", "", "", 1); err == nil && !r.FailedOver() {
			t.Fatal("a call succeeded that should fail")
		}
	}
}

func insertRow(key string) repo.Change {
	return repo.Change{If: []repo.Condition{{Table: "t", Key: key}}, Put: []repo.Row{{Table: "t", Key: key, Value: []byte("v")}}}
}

// TestCallsGoThroughPeer lets the table service reject one host, and checks that its calls
// go through the other one and return what the table service answers.
func TestCallsGoThroughPeer(t *testing.T) {
	m := rows.New()
	near, far := &faultyStore{Store: m}, &faultyStore{Store: m}
	_, address := startRelay(t, "far", far)
	near.setFailure(repo.ErrNotDone)
	r, _ := startRelay(t, "near", near, address)
	failOver(t, r)
	ctx := t.Context()
	a, err := r.Apply(ctx, insertRow("k"))
	if err != nil || !a.Applied || a.Now != time.Second {
		t.Fatalf("an insert returns %+v %v", a, err)
	}
	a, err = r.Apply(ctx, insertRow("k"))
	if err != nil || a.Applied || a.Now != time.Second || len(a.Current) != 1 || string(a.Current[0].Value) != "v" || a.Current[0].Version == 0 {
		t.Fatalf("a conflict is returned as %+v %v", a, err)
	}
	p, err := r.List(ctx, "t", "", "", 10)
	if err != nil || len(p.Rows) != 1 || p.Version != a.Version || p.Now != time.Second {
		t.Fatalf("a list returns %+v %v", p, err)
	}
	if p, err = r.Feed(ctx, "t", 0, time.Millisecond); err != nil || len(p.Rows) != 1 {
		t.Fatalf("a feed returns %+v %v", p, err)
	}
	if _, err = r.Feed(ctx, "t", -1, time.Millisecond); !errors.Is(err, repo.ErrHistoryGone) {
		t.Fatalf("ErrHistoryGone is returned as %v", err)
	}
}

// TestLostAnswerStaysAmbiguous loses the answer between the table service and the peer:
// the caller must not get ErrNotDone, as the change may have been applied.
func TestLostAnswerStaysAmbiguous(t *testing.T) {
	m := rows.New()
	near, far := &faultyStore{Store: m}, &faultyStore{Store: m, loseAnswersOf: "t"}
	_, address := startRelay(t, "far", far)
	near.setFailure(repo.ErrNotDone)
	r, _ := startRelay(t, "near", near, address)
	failOver(t, r)
	if _, err := r.Apply(t.Context(), insertRow("k")); err == nil || errors.Is(err, repo.ErrNotDone) {
		t.Errorf("a lost answer is returned as %v", err)
	}
}

// TestAllHostsRejected lets the table service reject both hosts: the call must end with
// ErrNotDone and not be relayed back and forth between them.
func TestAllHostsRejected(t *testing.T) {
	m := rows.New()
	near, far := &faultyStore{Store: m}, &faultyStore{Store: m}
	near.setFailure(repo.ErrNotDone)
	far.setFailure(repo.ErrNotDone)
	other, address := startRelay(t, "far", far)
	r, _ := startRelay(t, "near", near, address)
	failOver(t, other)
	failOver(t, r)
	if _, err := r.Apply(t.Context(), insertRow("k")); !errors.Is(err, repo.ErrNotDone) {
		t.Errorf("a refusal is returned as %v", err)
	}
	if m.CallCount() != 0 {
		t.Errorf("%d calls reached a table service that rejects both", m.CallCount())
	}
}

// TestSomeLostAnswersCauseNoFailover loses many answers but not all, which must not cause a
// failover, and then all of them, which must.
func TestSomeLostAnswersCauseNoFailover(t *testing.T) {
	r := &Relay{inFlight: map[*inFlightCall]bool{}, c: Config{Host: "h", Direct: rows.New(), Log: zerolog.Nop()}, ctx: t.Context()}
	for range 20 {
		r.recordOutcome(t.Context(), nil)
		for range 2 * failoverFailures {
			r.recordOutcome(t.Context(), errAnswerLost)
		}
		if r.FailedOver() {
			t.Fatal("failed over though some calls were answered")
		}
	}
	r.lastAnswer = time.Now().Add(-failoverAfter)
	r.recordOutcome(t.Context(), errAnswerLost)
	if !r.FailedOver() {
		t.Error("not failed over though no call was answered")
	}
	// The answer ends the probe.
	r.recordOutcome(t.Context(), nil)
	r.wg.Wait()
}

// hungFeedStore is a store that answers no feed before the context ends.
type hungFeedStore struct{ *faultyStore }

// Feed implements repo.Store.
func (h hungFeedStore) Feed(ctx context.Context, _ string, _ int64, _ time.Duration) (repo.Page, error) {
	<-ctx.Done()
	return repo.Page{}, ctx.Err()
}

// TestHungCallsAreCancelled lets the table service answer again while a feed that it never
// received still waits for an answer. The feed must be cancelled, so that its caller can
// retry at once.
func TestHungCallsAreCancelled(t *testing.T) {
	r, err := New(Config{Host: "h", Direct: hungFeedStore{&faultyStore{Store: rows.New()}}, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	feedEnded := make(chan error, 1)
	go func() {
		_, err := r.Feed(t.Context(), "t", 1, time.Hour)
		feedEnded <- err
	}()
	for {
		r.mu.Lock()
		for c := range r.inFlight {
			c.began = c.began.Add(-failoverAfter)
		}
		feedStarted := len(r.inFlight) > 0
		r.failedOver = true
		r.mu.Unlock()
		if feedStarted {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if _, err := r.List(t.Context(), "t", "", "", 1); err != nil {
		t.Fatal(err)
	}
	if err := <-feedEnded; !errors.Is(err, context.Canceled) {
		t.Errorf("the feed ends with %v", err)
	}
	if r.FailedOver() || r.failures != 0 {
		t.Error("a call that the relay cancelled counts as a failure of the table service")
	}
}

// TestReturnToDirectCalls checks that a relay returns to direct calls once the table
// service answers the host again.
func TestReturnToDirectCalls(t *testing.T) {
	m := rows.New()
	near := &faultyStore{Store: m}
	near.setFailure(repo.ErrNotDone)
	r, _ := startRelay(t, "near", near)
	failOver(t, r)
	near.setFailure(nil)
	for end := time.Now().Add(30 * time.Second); r.FailedOver(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("still failed over though the table service answers again")
		}
	}
}

// TestHostDiscovery checks that hosts find each other in the list of hosts, keep unnamed
// seeds, follow a change of address, and drop hosts that are no longer listed or expired.
func TestHostDiscovery(t *testing.T) {
	m := rows.New()
	a, address := startRelay(t, "a", &faultyStore{Store: m})
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		l, err := hosts.List(t.Context(), m, "b", 10)
		if err == nil && len(l.Rows) == 1 && l.Rows[0].Address == address {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the host isn't listed: %v %v", l, err)
		}
	}
	if err := a.Withdraw(t.Context()); err != nil {
		t.Fatal(err)
	}
	r := &Relay{inFlight: map[*inFlightCall]bool{}, c: Config{Host: "b", Direct: m, Log: zerolog.Nop()}, ctx: t.Context()}
	now := time.Now().UnixMilli()
	r.addPeer("", "127.0.0.1:9")
	r.updatePeers(t.Context(), hosts.Page{Rows: []hosts.Row{{Name: "b", Address: "127.0.0.1:1", Announced: now}, {Name: "c", Address: "127.0.0.1:2", Announced: now}, {Name: "d", Address: "127.0.0.1:3", Announced: now}}})
	if len(r.peers) != 3 {
		t.Errorf("%d peers are known, want the seed and the two listed ones", len(r.peers))
	}
	r.updatePeers(t.Context(), hosts.Page{Rows: []hosts.Row{{Name: "e", Address: "127.0.0.1:9", Announced: now}, {Name: "c", Address: "127.0.0.1:4", Announced: now}, {Name: "old", Address: "127.0.0.1:5", Announced: 7}}})
	got := map[string]string{}
	for _, p := range r.peers {
		got[p.name()] = p.address
	}
	if len(r.peers) != 2 || got["c"] != "127.0.0.1:4" || got["e"] != "127.0.0.1:9" {
		t.Errorf("peers are %v", got)
	}
}

// TestConfigFaults checks that all faults of a configuration are reported at once.
func TestConfigFaults(t *testing.T) {
	c := Config{Seeds: []string{"here"}}
	if l := c.Check(); len(l) != 3 {
		t.Errorf("%d faults: %v", len(l), l)
	}
}

// FuzzCall checks that any bytes that decode as a call get an answer.
func FuzzCall(f *testing.F) {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, encodeChange(insertRow("k"))); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte{2, 0x12, 0})
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, b []byte) {
		q := &wire.StoreCall{}
		if protodelim.UnmarshalFrom(bytes.NewReader(b), q) != nil {
			return
		}
		r := &Relay{inFlight: map[*inFlightCall]bool{}, c: Config{Host: "h", Direct: rows.New(), Log: zerolog.Nop()}, ctx: t.Context()}
		if r.callDirect(t.Context(), q) == nil {
			t.Error("no answer")
		}
	})
}
