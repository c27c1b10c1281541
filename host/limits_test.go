package host

import (
	"fmt"
	"testing"
	"time"

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

// TestCloseLog guards against a log line for each connection of a crowd.
func TestCloseLog(t *testing.T) {
	now, got := time.Unix(100, 0), ""
	c := &closeLog{entries: map[[2]string]*closeEntry{}, now: func() time.Time { return now }, log: func(listener, reason, _ string, n int) {
		got += fmt.Sprint(listener, " ", reason, " ", n, "; ")
	}}
	for range 5 {
		c.report("HTTP", "Idle", "")
		c.report("HTTP", "Body", "")
	}
	now = now.Add(closeLogPeriod)
	c.report("HTTP", "Idle", "")
	if want := "HTTP Idle 1; HTTP Body 1; HTTP Idle 5; "; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
