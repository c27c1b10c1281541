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

var errLost = errors.New("answer is lost")

// door is one host's way to a shared memory.
type door struct {
	*rows.Store
	mu   sync.Mutex
	fail error
	// loses names the table whose changes get no answer.
	loses string
}

func (d *door) set(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail = err
}

func (d *door) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fail
}

// Apply implements repo.Store.
func (d *door) Apply(ctx context.Context, c repo.Change) (repo.Result, error) {
	if err := d.failure(); err != nil {
		return repo.Result{}, err
	}
	if c.Put != nil && c.Put[0].Table == d.loses {
		return repo.Result{}, errLost
	}
	return d.Store.Apply(ctx, c)
}

// List implements repo.Store.
func (d *door) List(ctx context.Context, table, part, from string, limit int) (repo.Page, error) {
	if err := d.failure(); err != nil {
		return repo.Page{}, err
	}
	return d.Store.List(ctx, table, part, from, limit)
}

// Feed implements repo.Store.
func (d *door) Feed(ctx context.Context, table string, after int64, wait time.Duration) (repo.Page, error) {
	if err := d.failure(); err != nil {
		return repo.Page{}, err
	}
	return d.Store.Feed(ctx, table, after, wait)
}

// start runs a Relay on a door until the test ends.
func start(t *testing.T, host string, d *door, seeds ...string) (*Relay, string) {
	t.Helper()
	return startStore(t, host, d, seeds...)
}

// startStore runs a Relay on any store until the test ends.
func startStore(t *testing.T, host string, d repo.Store, seeds ...string) (*Relay, string) {
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

// lose lets a relay find out that it is rejected.
func lose(t *testing.T, r *Relay) {
	t.Helper()
	for !r.Lost() {
		if _, err := r.List(t.Context(), "t", "", "", 1); err == nil && !r.Lost() {
			t.Fatal("a call succeeded that should fail")
		}
	}
}

func put(key string) repo.Change {
	return repo.Change{If: []repo.Condition{{Table: "t", Key: key}}, Put: []repo.Row{{Table: "t", Key: key, Value: []byte("v")}}}
}

// TestThroughAnotherHost rejects one host: its calls go through the other
// one, with the answers that the table service itself gives.
func TestThroughAnotherHost(t *testing.T) {
	m := rows.New()
	near, far := &door{Store: m}, &door{Store: m}
	_, address := start(t, "far", far)
	near.set(repo.ErrNotDone)
	r, _ := start(t, "near", near, address)
	lose(t, r)
	ctx := t.Context()
	a, err := r.Apply(ctx, put("k"))
	if err != nil || !a.Applied || a.Now != time.Second {
		t.Fatalf("%+v %v", a, err)
	}
	a, err = r.Apply(ctx, put("k"))
	if err != nil || a.Applied || a.Now != time.Second || len(a.Current) != 1 || string(a.Current[0].Value) != "v" || a.Current[0].Version == 0 {
		t.Fatalf("a conflict comes back as %+v %v", a, err)
	}
	p, err := r.List(ctx, "t", "", "", 10)
	if err != nil || len(p.Rows) != 1 || p.Version != a.Version || p.Now != time.Second {
		t.Fatalf("%+v %v", p, err)
	}
	if p, err = r.Feed(ctx, "t", 0, time.Millisecond); err != nil || len(p.Rows) != 1 {
		t.Fatalf("%+v %v", p, err)
	}
	if _, err = r.Feed(ctx, "t", -1, time.Millisecond); !errors.Is(err, repo.ErrHistoryGone) {
		t.Fatalf("a history that is gone comes back as %v", err)
	}
}

// TestWhatIsntKnownStaysSo loses the answer behind the other host: the caller
// must not take the call for one that did nothing.
func TestWhatIsntKnownStaysSo(t *testing.T) {
	m := rows.New()
	near, far := &door{Store: m}, &door{Store: m, loses: "t"}
	_, address := start(t, "far", far)
	near.set(repo.ErrNotDone)
	r, _ := start(t, "near", near, address)
	lose(t, r)
	if _, err := r.Apply(t.Context(), put("k")); err == nil || errors.Is(err, repo.ErrNotDone) {
		t.Errorf("a lost answer comes back as %v", err)
	}
}

// TestNobodyReachesIt rejects both hosts: the call ends as the table
// service's own refusal does, and isn't passed round.
func TestNobodyReachesIt(t *testing.T) {
	m := rows.New()
	near, far := &door{Store: m}, &door{Store: m}
	near.set(repo.ErrNotDone)
	far.set(repo.ErrNotDone)
	other, address := start(t, "far", far)
	r, _ := start(t, "near", near, address)
	lose(t, other)
	lose(t, r)
	if _, err := r.Apply(t.Context(), put("k")); !errors.Is(err, repo.ErrNotDone) {
		t.Errorf("a refusal comes back as %v", err)
	}
	if m.CallCount() != 0 {
		t.Errorf("%d calls reached a table service that rejects both", m.CallCount())
	}
}

// TestLostAnswers lets a table service lose many answers but not all: the host
// isn't rejected.
func TestLostAnswers(t *testing.T) {
	r := &Relay{calls: map[*openCall]bool{}, c: Config{Host: "h", Direct: rows.New(), Log: zerolog.Nop()}, ctx: t.Context()}
	for range 20 {
		r.noted(t.Context(), nil)
		for range 2 * lostAfter {
			r.noted(t.Context(), errLost)
		}
		if r.Lost() {
			t.Fatal("lost answers are taken for a table service that rejects the host")
		}
	}
	r.answered = time.Now().Add(-lostFor)
	r.noted(t.Context(), errLost)
	if !r.Lost() {
		t.Error("a table service that answers nothing any more isn't noticed")
	}
	// The probe ends with the answer.
	r.noted(t.Context(), nil)
	r.wg.Wait()
}

// hung is a table service that answers no feed until its caller gives up.
type hung struct{ *door }

// Feed implements repo.Store.
func (h hung) Feed(ctx context.Context, _ string, _ int64, _ time.Duration) (repo.Page, error) {
	<-ctx.Done()
	return repo.Page{}, ctx.Err()
}

// TestHungCallsAreGivenUp lets the table service answer again while a feed that
// it never got waits for its answer: whoever follows it may ask again at once.
func TestHungCallsAreGivenUp(t *testing.T) {
	r, err := New(Config{Host: "h", Direct: hung{&door{Store: rows.New()}}, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	given := make(chan error, 1)
	go func() {
		_, err := r.Feed(t.Context(), "t", 1, time.Hour)
		given <- err
	}()
	for {
		r.mu.Lock()
		for c := range r.calls {
			c.began = c.began.Add(-lostFor)
		}
		asked := len(r.calls) > 0
		r.lost = true
		r.mu.Unlock()
		if asked {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if _, err := r.List(t.Context(), "t", "", "", 1); err != nil {
		t.Fatal(err)
	}
	if err := <-given; !errors.Is(err, context.Canceled) {
		t.Errorf("the feed ends with %v", err)
	}
	if r.Lost() || r.failures != 0 {
		t.Error("a call that was given up counts against the table service")
	}
}

// TestDirectAgain lets the table service answer again: calls go there.
func TestDirectAgain(t *testing.T) {
	m := rows.New()
	near := &door{Store: m}
	near.set(repo.ErrNotDone)
	r, _ := start(t, "near", near)
	lose(t, r)
	near.set(nil)
	for end := time.Now().Add(30 * time.Second); r.Lost(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the table service's return isn't noticed")
		}
	}
}

// TestListOfHosts lets hosts find each other, follow a change of address and
// forget who leaves.
func TestListOfHosts(t *testing.T) {
	m := rows.New()
	a, address := start(t, "a", &door{Store: m})
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
	r := &Relay{calls: map[*openCall]bool{}, c: Config{Host: "b", Direct: m, Log: zerolog.Nop()}, ctx: t.Context()}
	now := time.Now().UnixMilli()
	r.addPeer("", "127.0.0.1:9")
	r.update(t.Context(), hosts.Page{Rows: []hosts.Row{{Name: "b", Address: "127.0.0.1:1", Announced: now}, {Name: "c", Address: "127.0.0.1:2", Announced: now}, {Name: "d", Address: "127.0.0.1:3", Announced: now}}})
	if len(r.peers) != 3 {
		t.Errorf("%d hosts are known, not the seed and two that are listed", len(r.peers))
	}
	r.update(t.Context(), hosts.Page{Rows: []hosts.Row{{Name: "e", Address: "127.0.0.1:9", Announced: now}, {Name: "c", Address: "127.0.0.1:4", Announced: now}, {Name: "old", Address: "127.0.0.1:5", Announced: 7}}})
	got := map[string]string{}
	for _, p := range r.peers {
		got[p.name()] = p.address
	}
	if len(r.peers) != 2 || got["c"] != "127.0.0.1:4" || got["e"] != "127.0.0.1:9" {
		t.Errorf("hosts %v", got)
	}
}

// TestConfigFaults names every fault of a configuration at once.
func TestConfigFaults(t *testing.T) {
	c := Config{Seeds: []string{"here"}}
	if l := c.Check(); len(l) != 3 {
		t.Errorf("%d faults: %v", len(l), l)
	}
}

// FuzzCall decodes anything as a call, and answers what can be read.
func FuzzCall(f *testing.F) {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, encodeChange(put("k"))); err != nil {
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
		r := &Relay{calls: map[*openCall]bool{}, c: Config{Host: "h", Direct: rows.New(), Log: zerolog.Nop()}, ctx: t.Context()}
		if r.perform(t.Context(), q) == nil {
			t.Error("no answer")
		}
	})
}
