package gate

import (
	"testing"
	"time"

	"citronbridge/work"
)

func rules(version int64, keys ...string) *work.Rules {
	r := &work.Rules{
		Version: version,
		Queues: map[string]*work.Queue{
			"a":  {Name: "a", Host: "h", Prefix: "/a/"},
			"ab": {Name: "ab", Host: "h", Prefix: "/a/b/", Public: true},
		},
		Accounts: map[string]*work.Account{"x": {Name: "x", Keys: keys}},
	}
	r.Index()
	return r
}

// TestAdmit checks the verdicts on calls at several ages of the confirmation.
func TestAdmit(t *testing.T) {
	now := time.Duration(0)
	g := New(Config{MaxAge: 4 * time.Second, ReadyAge: 2 * time.Second, Now: func() time.Duration { return now }})
	admit := func(path, key string) Verdict { return g.Admit("h", path, key).Verdict }
	if v := admit("/a/1", "k"); v != NotReady || g.Ready() {
		t.Error("without a configuration, want NotReady and no connections:", v)
	}
	g.Adopt(rules(5, "k"))
	if v := admit("/a/1", "k"); v != NotReady {
		t.Error("configuration never confirmed, want NotReady:", v)
	}
	g.Confirm(0)
	for _, c := range []struct {
		path, key string
		want      Verdict
	}{
		{"/a/1", "k", Pass}, {"/a/1", "other", BadKey}, {"/a/1", "", BadKey}, {"/a/b/1", "", Pass}, {"/c/1", "k", NoQueue},
	} {
		if v := admit(c.path, c.key); v != c.want {
			t.Errorf("%s with key %q: verdict %s, want %s", c.path, c.key, v, c.want)
		}
	}
	for key, unknown := range map[string]bool{"k": false, "": false, "other": true} {
		if a := g.Admit("h", "/a/b/1", key); a.UnknownKey != unknown || (a.Account == "x") != (key == "k") {
			t.Errorf("key %q on a public queue: %+v", key, a)
		}
	}
	if v := g.Admit("other", "/a/1", "k").Verdict; v != NoQueue {
		t.Error("call for an unknown host, want NoQueue:", v)
	}
	now = 3 * time.Second
	if admit("/a/1", "k") != Pass || g.Ready() {
		t.Error("confirmation 3 s old: want calls to pass and no new connections")
	}
	now = 5 * time.Second
	if v := admit("/a/1", "k"); v != NotReady {
		t.Error("confirmation 5 s old, want NotReady:", v)
	}
	g.Confirm(5 * time.Second)
	if admit("/a/1", "k") != Pass || !g.Ready() {
		t.Error("after a new confirmation: want calls to pass and new connections")
	}
	g.Confirm(time.Second)
	if g.Age() != 0 {
		t.Error("an older confirmation replaced a newer one")
	}
	g.Drain()
	if g.Ready() || admit("/a/1", "k") != Pass {
		t.Error("draining: want calls to pass and no new connections")
	}
}

// TestConfigurationNeverGoesBack offers versions out of order and checks that only
// newer ones are adopted.
func TestConfigurationNeverGoesBack(t *testing.T) {
	g := New(Config{MaxAge: time.Second, ReadyAge: time.Second, Now: func() time.Duration { return 0 }})
	for _, c := range []struct {
		version int64
		adopted bool
	}{{5, true}, {4, false}, {5, false}, {9, true}, {7, false}} {
		if g.Adopt(rules(c.version)) != c.adopted {
			t.Errorf("version %d: want adopted %v", c.version, c.adopted)
		}
	}
	if v := g.Rules().Version; v != 9 {
		t.Errorf("version %d in force, want 9", v)
	}
}
