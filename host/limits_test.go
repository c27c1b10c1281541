package host

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/config"
)

// TestLimits guards against limits that together exceed the memory or the descriptors.
func TestLimits(t *testing.T) {
	for _, x := range []struct {
		settings config.Limits
		want     limits
	}{
		{config.Limits{Memory: 64 << 20, Descriptors: 256}, limits{20 << 20, 18 << 20, 64, 32, 256, 16}},
		{config.Limits{Memory: 128 << 20, Descriptors: 1024}, limits{20 << 20, 18 << 20, 256, 128, 512, 32}},
		{config.Limits{Memory: 128 << 20, Descriptors: 4096}, limits{20 << 20, 18 << 20, 682, 128, 512, 32}},
		{config.Defaults().Limits, limits{64 << 20, 32 << 20, 1024, 128, 2048, 128}},
	} {
		if l := newLimits(x.settings); l != x.want {
			t.Errorf("%v: %+v, want %+v", x.settings, l, x.want)
		}
	}
}

// TestCloseLog guards against a log line for each connection of a flood.
func TestCloseLog(t *testing.T) {
	now, b := time.Unix(100, 0), &bytes.Buffer{}
	c := newCloseLog(zerolog.New(b), "closed")
	c.Now = func() time.Time { return now }
	for range 5 {
		c.report("HTTP", "Idle", "")
		c.report("HTTP", "Body", "")
	}
	now = now.Add(time.Second)
	c.report("HTTP", "Idle", "")
	want := `{"level":"warn","listener":"HTTP","reason":"Idle","detail":"","count":1,"message":"closed"}
{"level":"warn","listener":"HTTP","reason":"Body","detail":"","count":1,"message":"closed"}
{"level":"warn","listener":"HTTP","reason":"Idle","detail":"","count":5,"message":"closed"}
`
	if b.String() != want {
		t.Errorf("got %s, want %s", b, want)
	}
}
