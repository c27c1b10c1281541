// Package gate admits or rejects client calls. It holds the configuration in force
// and the time at which that was last confirmed to be the newest.
package gate

import (
	"sync"
	"time"

	"citronbridge/work"
)

// Verdict is the decision on a call.
type Verdict string

// Verdicts.
const (
	Pass Verdict = "Pass"
	// NotReady: no configuration is known, or it may be out of date.
	NotReady Verdict = "NotReady"
	// NoQueue: no queue accepts calls for this host and path.
	NoQueue Verdict = "NoQueue"
	// BadKey: the queue requires a key, and the call's key is unknown.
	BadKey Verdict = "BadKey"
)

// Config is the configuration of a Gate.
type Config struct {
	// MaxAge is the greatest age of the newest confirmation at which calls pass.
	MaxAge time.Duration
	// ReadyAge is the greatest age of the newest confirmation at which the host
	// accepts new connections.
	ReadyAge time.Duration
	// Now returns the time on a clock that also runs while the host is suspended.
	Now func() time.Duration
}

// Gate holds the configuration in force. It is safe for concurrent use.
type Gate struct {
	c Config

	mu            sync.RWMutex
	rules         *work.Rules
	confirmedAt   time.Duration
	everConfirmed bool
	draining      bool
}

// New returns a Gate without a configuration.
func New(c Config) *Gate { return &Gate{c: c} }

// Adopt puts a configuration in force unless the one in force has the same or a
// newer version. It reports whether r was adopted.
func (g *Gate) Adopt(r *work.Rules) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rules != nil && g.rules.Version >= r.Version {
		return false
	}
	g.rules = r
	return true
}

// Confirm records that the configuration in force was the newest at the given time.
func (g *Gate) Confirm(at time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.everConfirmed || at > g.confirmedAt {
		g.confirmedAt, g.everConfirmed = at, true
	}
}

// SetMaxAges replaces MaxAge and ReadyAge of the Config.
func (g *Gate) SetMaxAges(maxAge, readyAge time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.c.MaxAge, g.c.ReadyAge = maxAge, readyAge
}

// Drain makes Ready return false from now on. Calls still pass.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Rules returns the configuration in force, or nil.
func (g *Gate) Rules() *work.Rules {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.rules
}

// Age returns the age of the newest confirmation.
func (g *Gate) Age() time.Duration {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.c.Now() - g.confirmedAt
}

// Ready reports whether the host accepts new connections.
func (g *Gate) Ready() bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.rules != nil && g.everConfirmed && !g.draining && g.c.Now()-g.confirmedAt <= g.c.ReadyAge
}

// Admission is the result of Admit.
type Admission struct {
	Verdict Verdict
	Queue   *work.Queue
	// Account is empty on a public queue without a key, or with one that isn't known.
	Account string
	// UnknownKey is set if the call has a key that the configuration doesn't know. It may be that
	// of an account in an older or newer configuration.
	UnknownKey bool
	// Version is that of the configuration by which the call was judged, Age that
	// of its newest confirmation.
	Version int64
	Age     time.Duration
	Limits  work.Limits
}

// Admit decides on a call by its host, path and key.
func (g *Gate) Admit(host, path, key string) Admission {
	g.mu.RLock()
	r, age := g.rules, g.c.Now()-g.confirmedAt
	confirmed, maxAge := g.everConfirmed, g.c.MaxAge
	g.mu.RUnlock()
	if r == nil || !confirmed {
		return Admission{Verdict: NotReady}
	}
	a := Admission{Version: r.Version, Age: age, Limits: r.Limits, Verdict: Pass}
	if age > maxAge {
		a.Verdict = NotReady
		return a
	}
	a.Queue = r.Route(host, path)
	if a.Queue == nil {
		a.Verdict = NoQueue
		return a
	}
	a.UnknownKey = key != "" && r.AccountOf(key) == nil
	if o := r.AccountOf(key); o != nil {
		a.Account = o.Name
	} else if !a.Queue.Public {
		a.Verdict = BadKey
	}
	return a
}
