// Package advice remembers what the advice service has said: which workers may
// run a step, and the tickets for them.
package advice

import (
	"slices"
	"time"
)

// Limits of calls for advice.
const (
	// MaxWorkersPerCall is how many workers one call may name; the platform's bound.
	MaxWorkersPerCall = 100
	// usualWorkersPerCall is how many are named as a rule: the service takes time for
	// each of them.
	usualWorkersPerCall = 30
	// expiryMargin is kept from the end of a ticket for its start to arrive, half
	// the time of a shorter one.
	expiryMargin = 500 * time.Millisecond
	// retryPause is kept after a call that the service rejected.
	retryPause = 100 * time.Millisecond
)

// Incarnation names one life of a worker: a ticket holds for no other.
type Incarnation struct {
	Worker string
	Number int64
}

// Call is one call for advice.
type Call struct {
	// Step is JOB.OCCURRENCE.STEP.
	Step         string
	Incarnations []Incarnation
}

// ticket allows starts of a step on a worker. It is used until a time.
type ticket struct {
	text        string
	usableUntil time.Duration
}

// verdict is what is known of a step and a life of a worker.
type verdict struct {
	allowed bool
	ticket  ticket
}

// Cache is what the service has said. Which workers may run a step doesn't
// change; tickets run out.
type Cache struct {
	steps map[string]map[Incarnation]verdict
	// inFlight says that a call has no answer yet: the service takes one at a
	// time.
	inFlight bool
	// nextCall is the earliest time of the next call.
	nextCall time.Duration
}

// NewCache returns a Book that knows nothing.
func NewCache() *Cache { return &Cache{steps: map[string]map[Incarnation]verdict{}} }

// Ticket returns a ticket that holds long enough for a start.
func (b *Cache) Ticket(step string, l Incarnation, now time.Duration) (string, bool) {
	v := b.steps[step][l]
	return v.ticket.text, v.allowed && now < v.ticket.usableUntil
}

// NextCall returns the call that lets a number of tasks of a step start soonest:
// candidates are the lives that could run them, best first. It reports false
// if nobody is to be asked now.
func (b *Cache) NextCall(step string, tasks int, candidates []Incarnation, now time.Duration) (Call, bool) {
	if b.inFlight || now < b.nextCall {
		return Call{}, false
	}
	c := Call{Step: step}
	known := b.steps[step]
	// Workers that are known as good need a new ticket only.
	for _, again := range []bool{true, false} {
		for _, l := range candidates {
			v, seen := known[l]
			if len(c.Incarnations) >= min(max(usualWorkersPerCall, 2*tasks), MaxWorkersPerCall) {
				break
			}
			if seen == again && (!seen || v.allowed && now >= v.ticket.usableUntil) {
				c.Incarnations = append(c.Incarnations, l)
			}
		}
		if again && len(c.Incarnations) >= tasks {
			break
		}
	}
	if len(c.Incarnations) == 0 {
		return Call{}, false
	}
	b.inFlight = true
	return c, true
}

// HandleAnswer takes in the answer to a call that was made at a time. Tickets are
// by worker; those of the call that have none may not run the step.
func (b *Cache) HandleAnswer(c Call, tickets map[string]string, sent, valid time.Duration) {
	b.inFlight = false
	m := b.steps[c.Step]
	if m == nil {
		m = map[Incarnation]verdict{}
		b.steps[c.Step] = m
	}
	for _, l := range c.Incarnations {
		t, ok := tickets[l.Worker]
		// The ticket's time began after the call was sent.
		m[l] = verdict{allowed: ok, ticket: ticket{t, sent + valid - min(expiryMargin, valid/2)}}
	}
}

// HandleFailure takes in that a call had no answer of use.
func (b *Cache) HandleFailure(now time.Duration) {
	b.inFlight = false
	b.nextCall = now + retryPause
}

// Invalidate takes in that a worker took a ticket for one that doesn't hold.
func (b *Cache) Invalidate(step string, l Incarnation) {
	if m := b.steps[step]; m != nil {
		delete(m, l)
	}
}

// Retain forgets all steps but those that are named.
func (b *Cache) Retain(steps []string) {
	for s := range b.steps {
		if !slices.Contains(steps, s) {
			delete(b.steps, s)
		}
	}
}
