// Package gate decides which calls of clients are let in: it holds the
// configuration in force and knows how old its newest confirmation is.
package gate

import (
	"sync"
	"time"

	"citronbridge/work"
)

// Verdict is what becomes of a call before its work begins.
type Verdict string

// Verdicts.
const (
	Pass Verdict = "Pass"
	// NotReady: no configuration is known, or it may be out of date.
	NotReady Verdict = "NotReady"
	// NoQueue: no queue takes calls of this host and path.
	NoQueue Verdict = "NoQueue"
	// BadKey: the queue needs a key and the call's is unknown.
	BadKey Verdict = "BadKey"
)

// Config is what a Gate needs.
type Config struct {
	// MaxAge is how old the newest confirmation may be for a call to pass.
	MaxAge time.Duration
	// ReadyAge is how old it may be for the host to want new connections.
	ReadyAge time.Duration
	// Now tells the time, suspended time included.
	Now func() time.Duration
}

// Gate holds the configuration in force. Several goroutines may use it.
type Gate struct {
	c Config

	mu            sync.RWMutex
	rules         *work.Rules
	confirmedAt   time.Duration
	everConfirmed bool
	draining      bool
}

// New returns a Gate that knows no configuration.
func New(c Config) *Gate { return &Gate{c: c} }

// Adopt puts a configuration in force, unless a newer one is. It reports
// whether it did.
func (g *Gate) Adopt(r *work.Rules) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rules != nil && g.rules.Version >= r.Version {
		return false
	}
	g.rules = r
	return true
}

// Confirm notes that the configuration in force was the newest at a time.
func (g *Gate) Confirm(at time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.everConfirmed || at > g.confirmedAt {
		g.confirmedAt, g.everConfirmed = at, true
	}
}

// SetMaxAges changes how old a confirmation may be, as MaxAge and ReadyAge of the
// configuration say.
func (g *Gate) SetMaxAges(maxAge, readyAge time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.c.MaxAge, g.c.ReadyAge = maxAge, readyAge
}

// Drain makes the gate want no new connections. Calls still pass.
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

// Age returns how old the newest confirmation is.
func (g *Gate) Age() time.Duration {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.c.Now() - g.confirmedAt
}

// Ready reports whether the host wants new connections.
func (g *Gate) Ready() bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.rules != nil && g.everConfirmed && !g.draining && g.c.Now()-g.confirmedAt <= g.c.ReadyAge
}

// Admission is a call that was looked at.
type Admission struct {
	Verdict Verdict
	Queue   *work.Queue
	// Account is empty on a public queue without a key.
	Account string
	// Version and Age are those of the configuration that decided.
	Version int64
	Age     time.Duration
	Limits  work.Limits
}

// Admit looks at a call by its host, path and key.
func (g *Gate) Admit(host, path, key string) Admission {
	g.mu.RLock()
	r, age := g.rules, g.c.Now()-g.confirmedAt
	known, maxAge := g.everConfirmed, g.c.MaxAge
	g.mu.RUnlock()
	if r == nil || !known {
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
	if o := r.AccountOf(key); o != nil {
		a.Account = o.Name
	} else if !a.Queue.Public {
		a.Verdict = BadKey
	}
	return a
}
