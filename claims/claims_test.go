package claims

import (
	"testing"
	"time"

	"citronbridge/ledger"
	"citronbridge/setup"
	"citronbridge/wire"
)

// TestShouldAcquire checks whether host a, the only one in the cell's data centre unless a
// case says otherwise, should acquire the cell.
func TestShouldAcquire(t *testing.T) {
	now := time.Unix(1000, 0)
	heartbeat := func(host string, change func(*wire.Heartbeat)) *wire.Heartbeat {
		b := &wire.Heartbeat{Host: host, DataCentre: "far"}
		if change != nil {
			change(b)
		}
		return b
	}
	claims := func(b *wire.Heartbeat) { b.Holds = []*wire.CellClaim{{Cell: "dc", Epoch: 3}} }
	for _, x := range []struct {
		name      string
		holder    string
		live      []*wire.Heartbeat
		storeless bool
		want      bool
	}{
		{"never held", "", []*wire.Heartbeat{heartbeat("b", nil)}, false, true},
		{"held by a live host", "b", []*wire.Heartbeat{heartbeat("b", claims)}, false, false},
		{"holder leaves", "b", []*wire.Heartbeat{heartbeat("b", func(b *wire.Heartbeat) { claims(b); b.Leaving = true })}, false, true},
		{"holder can't reach the table service", "b", []*wire.Heartbeat{heartbeat("b", func(b *wire.Heartbeat) { claims(b); b.Storeless = true })}, false, true},
		{"neither holder nor this host can reach the table service", "b", []*wire.Heartbeat{heartbeat("b", func(b *wire.Heartbeat) { claims(b); b.Storeless = true })}, true, false},
		{"holder is dead", "b", []*wire.Heartbeat{heartbeat("c", nil)}, false, true},
		{"only another host receives the holder's heartbeats", "b", []*wire.Heartbeat{heartbeat("c", func(b *wire.Heartbeat) { b.Sees = []string{"b"} })}, false, false},
		{"takeover failed, and all receive the holder's heartbeats", "b", []*wire.Heartbeat{heartbeat("b", nil), heartbeat("c", func(b *wire.Heartbeat) { b.Sees = []string{"a", "b"} })}, false, true},
		{"own takeover failed", "a", []*wire.Heartbeat{heartbeat("b", func(b *wire.Heartbeat) { b.Sees = []string{"a"} })}, false, true},
		{"a preferred host is live", "", []*wire.Heartbeat{heartbeat("b", func(b *wire.Heartbeat) { b.DataCentre = "dc"; b.Host = hostWithHigherHash(t) })}, false, false},
	} {
		m := &Manager{
			config:  setup.Config{Host: "a", DataCentre: "dc", Storeless: func() bool { return x.storeless }},
			started: now.Add(-time.Minute), lastPeerSeen: now,
			holders: map[string]ledger.Owner{"dc": {Host: x.holder, Epoch: 3}}, backoffUntil: map[string]time.Time{},
		}
		if got := m.shouldAcquire("dc", x.live, now); got != x.want {
			t.Errorf("%s: shouldAcquire returned %t", x.name, got)
		}
	}
}

// hostWithHigherHash returns a host name with a higher rendezvous hash for the cell dc than
// host a.
func hostWithHigherHash(t *testing.T) string {
	t.Helper()
	for _, h := range []string{"b", "c", "d", "e", "f", "g"} {
		if rendezvousHash("dc", h) > rendezvousHash("dc", "a") {
			return h
		}
	}
	t.Fatal("no host name has a higher rendezvous hash for cell dc than a")
	return ""
}
