// Package retry protects calls to a service that may be slow or unavailable: a circuit breaker
// stops calls while the service fails, and a retry budget limits the load that retries add.
package retry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sony/gobreaker/v2"
	"golang.org/x/time/rate"
)

// Config limits the calls to one service. Zero fields get defaults.
type Config struct {
	Name string
	// CallsPerSecond limits the rate of all calls of this host, retries included.
	CallsPerSecond int
	// MaxTries limits the calls of one operation, the first one included.
	MaxTries int
	// BaseDelay is the backoff before the first retry, which doubles with each further
	// one up to MaxDelay. The wait is jittered.
	BaseDelay, MaxDelay time.Duration
	// BudgetRatio is the number of retries that each call adds to the budget.
	BudgetRatio float64
	// OpenFor is how long the breaker stays open before it lets a call probe the service.
	OpenFor time.Duration
	// MaxFailures is the number of failures in a row that opens the breaker.
	MaxFailures uint32
	// OnStateChange is called with the breaker's new state when it changes.
	OnStateChange func(name, state string)
}

// Defaults of Config.
const (
	defaultCalls       = 400
	defaultMaxTries    = 4
	defaultBaseDelay   = 20 * time.Millisecond
	defaultMaxDelay    = time.Second
	defaultRatio       = 0.2
	defaultOpenFor     = 500 * time.Millisecond
	defaultMaxFailures = 5
	maxBudget          = 50
)

// Guard makes calls under a rate limit, a circuit breaker and a retry budget. It is safe for
// concurrent use.
type Guard struct {
	c       Config
	breaker *gobreaker.CircuitBreaker[struct{}]
	limiter *rate.Limiter

	mu     sync.Mutex
	budget float64
}

// New returns a Guard with zero fields of c replaced by defaults.
func New(c Config) *Guard {
	c = withDefaults(c)
	g := &Guard{c: c, budget: maxBudget, limiter: rate.NewLimiter(rate.Limit(c.CallsPerSecond), max(c.CallsPerSecond/4, 1))}
	g.breaker = gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
		Name:        c.Name,
		MaxRequests: 1,
		Timeout:     c.OpenFor,
		ReadyToTrip: func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= c.MaxFailures },
		IsSuccessful: func(err error) bool {
			return err == nil || errors.As(err, new(*permanent))
		},
		IsExcluded: func(err error) bool { return errors.Is(err, context.Canceled) },
		OnStateChange: func(name string, _, to gobreaker.State) {
			c.OnStateChange(name, to.String())
		},
	})
	return g
}

func withDefaults(c Config) Config {
	if c.CallsPerSecond == 0 {
		c.CallsPerSecond = defaultCalls
	}
	if c.MaxTries == 0 {
		c.MaxTries = defaultMaxTries
	}
	if c.BaseDelay == 0 {
		c.BaseDelay = defaultBaseDelay
	}
	if c.MaxDelay == 0 {
		c.MaxDelay = defaultMaxDelay
	}
	if c.BudgetRatio == 0 {
		c.BudgetRatio = defaultRatio
	}
	if c.OpenFor == 0 {
		c.OpenFor = defaultOpenFor
	}
	if c.MaxFailures == 0 {
		c.MaxFailures = defaultMaxFailures
	}
	if c.OnStateChange == nil {
		c.OnStateChange = func(string, string) {}
	}
	return c
}

// permanent is an error by which a working service refuses a call.
type permanent struct{ error }

// Unwrap returns the marked error.
func (p *permanent) Unwrap() error { return p.error }

// Permanent marks err as one that a retry can't resolve and that doesn't count as a failure of
// the service.
func Permanent(err error) error { return &permanent{err} }

// Do calls f once, as soon as the rate limit permits. While the breaker is open it returns an
// error without a call.
func (g *Guard) Do(ctx context.Context, f func(context.Context) error) error {
	if err := g.limiter.Wait(ctx); err != nil {
		return err
	}
	g.earnRetry()
	_, err := g.breaker.Execute(func() (struct{}, error) { return struct{}{}, f(ctx) })
	return err
}

// Retry calls f until it succeeds or returns a Permanent error, MaxTries or the budget are
// used up, or ctx ends. f must be idempotent.
func (g *Guard) Retry(ctx context.Context, f func(context.Context) error) error {
	for i := 0; ; i++ {
		err := g.Do(ctx, f)
		if err == nil || i+1 >= g.c.MaxTries || errors.As(err, new(*permanent)) {
			return err
		}
		if g.WaitToRetry(ctx, i) != nil {
			return err
		}
	}
}

// ErrBudgetExhausted is returned by WaitToRetry if the retry budget is used up.
var ErrBudgetExhausted = errors.New("retry budget used up")

// WaitToRetry takes one retry from the budget and waits for the backoff after try i, counted
// from 0.
func (g *Guard) WaitToRetry(ctx context.Context, i int) error {
	if !g.spendRetry() {
		return ErrBudgetExhausted
	}
	t := time.NewTimer(g.delay(i))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// delay returns the jittered wait after try i: between half and all of the exponential backoff.
func (g *Guard) delay(i int) time.Duration {
	d := min(g.c.BaseDelay<<min(i, 16), g.c.MaxDelay)
	return d/2 + rand.N(d/2+1)
}

func (g *Guard) earnRetry() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget = min(g.budget+g.c.BudgetRatio, maxBudget)
}

func (g *Guard) spendRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.budget < 1 {
		return false
	}
	g.budget--
	return true
}

// BreakerOpen reports whether the breaker stops calls.
func (g *Guard) BreakerOpen() bool { return g.breaker.State() == gobreaker.StateOpen }
