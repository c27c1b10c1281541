// Package timer is the common source of time, which calls its subscribers when they are due.
package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Service calls its subscribers when they are due. Each call runs in a goroutine of its own. A
// periodic subscriber whose last call hasn't returned skips a period.
type Service struct {
	now func() time.Time

	mu    sync.Mutex
	queue subscriptions
	wake  chan struct{}
}

// Subscription is a call that is due once or periodically.
type Subscription struct {
	service  *Service
	callback func(time.Time)
	due      time.Time
	period   time.Duration
	index    int
	running  bool
}

// New returns a Service that reads the system clock. It makes no calls until Run.
func New() *Service {
	return &Service{now: time.Now, wake: make(chan struct{}, 1)}
}

// Now returns the time of the service.
func (s *Service) Now() time.Time { return s.now() }

// Every calls f once in each period until the subscription is cancelled.
func (s *Service) Every(period time.Duration, f func(time.Time)) *Subscription {
	return s.add(&Subscription{service: s, callback: f, due: s.now().Add(period), period: period})
}

// After calls f once when d has passed.
func (s *Service) After(d time.Duration, f func(time.Time)) *Subscription {
	return s.add(&Subscription{service: s, callback: f, due: s.now().Add(d)})
}

func (s *Service) add(u *Subscription) *Subscription {
	s.mu.Lock()
	heap.Push(&s.queue, u)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return u
}

// Cancel ends the subscription. A call in flight is not interrupted.
func (u *Subscription) Cancel() {
	u.service.mu.Lock()
	defer u.service.mu.Unlock()
	if u.index >= 0 {
		heap.Remove(&u.service.queue, u.index)
	}
	u.period = 0
}

// Run makes the calls that are due until ctx ends.
func (s *Service) Run(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-t.C:
		}
		t.Reset(s.runDue(func(f func()) { go f() }))
	}
}

// idleWait is how long Run sleeps while there are no subscriptions.
const idleWait = time.Hour

// runDue passes every call that is due to start, and returns the time until the next one.
func (s *Service) runDue(start func(func())) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) > 0 {
		u := s.queue[0]
		n := s.now()
		if u.due.After(n) {
			return u.due.Sub(n)
		}
		if u.period > 0 {
			u.due = n.Add(u.period)
			heap.Fix(&s.queue, 0)
		} else {
			heap.Pop(&s.queue)
		}
		if !u.running {
			u.running = true
			start(func() { s.call(u, n) })
		}
	}
	return idleWait
}

func (s *Service) call(u *Subscription, n time.Time) {
	u.callback(n)
	s.mu.Lock()
	u.running = false
	s.mu.Unlock()
}

// Manual is a Service whose time only changes with Advance.
type Manual struct {
	*Service
	mu      sync.Mutex
	current time.Time
}

// NewManual returns a Manual at time t.
func NewManual(t time.Time) *Manual {
	m := &Manual{current: t}
	m.Service = &Service{now: m.manualNow, wake: make(chan struct{}, 1)}
	return m
}

func (m *Manual) manualNow() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// Advance moves the time by d and makes every call that is due, one after the other, before it
// returns. A periodic subscriber is called once even if several periods have passed.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	m.current = m.current.Add(d)
	m.mu.Unlock()
	var due []func()
	m.runDue(func(f func()) { due = append(due, f) })
	for _, f := range due {
		f()
	}
}

// subscriptions is a heap of subscriptions, the earliest one first.
type subscriptions []*Subscription

var _ heap.Interface = (*subscriptions)(nil)

func (q subscriptions) Len() int           { return len(q) }
func (q subscriptions) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q subscriptions) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *subscriptions) Push(x any) {
	u := x.(*Subscription)
	u.index = len(*q)
	*q = append(*q, u)
}

// Pop implements heap.Interface.
func (q *subscriptions) Pop() any {
	n := len(*q) - 1
	u := (*q)[n]
	u.index = -1
	*q = (*q)[:n]
	return u
}
