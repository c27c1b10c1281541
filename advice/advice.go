// Package advice caches the answers of the advice service: which workers may run a
// step, and the tickets for them.
package advice

import (
	"slices"
	"time"
)

// Limits of calls for advice.
const (
	// MaxWorkersPerCall is the platform's limit on workers in one call.
	MaxWorkersPerCall = 100
	// usualWorkersPerCall limits the workers in a call for few tasks, as the
	// service takes time for each of them.
	usualWorkersPerCall = 30
	// expiryMargin is how long before its expiry a ticket is used for the last
	// time, so that the start order still arrives in time. For short tickets it is
	// half their validity.
	expiryMargin = 500 * time.Millisecond
	// retryPause is the pause after a call that failed or was rejected.
	retryPause = 100 * time.Millisecond
)

// Incarnation identifies an incarnation of a worker, the time between two of its
// starts. A ticket is valid only for one incarnation.
type Incarnation struct {
	Worker string
	Number int64
}

// Call is one call for advice.
type Call struct {
	// Step has the form JOB.OCCURRENCE.STEP.
	Step         string
	Incarnations []Incarnation
}

// ticket allows tasks of a step to start on a worker. It is used until usableUntil,
// before it expires.
type ticket struct {
	text        string
	usableUntil time.Duration
}

// verdict is the service's answer for a step and an incarnation of a worker.
type verdict struct {
	allowed bool
	ticket  ticket
}

// Cache holds the answers of the service. Which workers may run a step doesn't
// change, but tickets expire.
type Cache struct {
	steps map[string]map[Incarnation]verdict
	// inFlight is set while a call has no answer. The service accepts one call at
	// a time.
	inFlight bool
	// nextCall is the earliest time of the next call.
	nextCall time.Duration
}

// NewCache returns an empty Cache.
func NewCache() *Cache { return &Cache{steps: map[string]map[Incarnation]verdict{}} }

// Ticket returns the ticket for a step on an incarnation, and whether it is valid
// long enough for a start order.
func (b *Cache) Ticket(step string, l Incarnation, now time.Duration) (string, bool) {
	v := b.steps[step][l]
	return v.ticket.text, v.allowed && now < v.ticket.usableUntil
}

// Denied reports whether the service said that an incarnation may not run a step.
func (b *Cache) Denied(step string, l Incarnation) bool {
	v, known := b.steps[step][l]
	return known && !v.allowed
}

// NextCall returns a call for tickets for a number of tasks of a step, and marks it
// as in flight. The candidates are the incarnations that could run the tasks, best
// first. It returns false if no call is to be made now.
func (b *Cache) NextCall(step string, tasks int, candidates []Incarnation, now time.Duration) (Call, bool) {
	if b.inFlight || now < b.nextCall {
		return Call{}, false
	}
	c := Call{Step: step}
	verdicts := b.steps[step]
	// Workers that are known to be allowed, but whose tickets have expired, come
	// first. Unknown workers are added only if those are too few for the tasks.
	for _, renewal := range []bool{true, false} {
		for _, l := range candidates {
			v, known := verdicts[l]
			if len(c.Incarnations) >= min(max(usualWorkersPerCall, 2*tasks), MaxWorkersPerCall) {
				break
			}
			if known == renewal && (!known || v.allowed && now >= v.ticket.usableUntil) {
				c.Incarnations = append(c.Incarnations, l)
			}
		}
		if renewal && len(c.Incarnations) >= tasks {
			break
		}
	}
	if len(c.Incarnations) == 0 {
		return Call{}, false
	}
	b.inFlight = true
	return c, true
}

// HandleAnswer handles the answer to a call that was sent at the given time. The
// tickets are by worker ID and expire after valid. Workers of the call without a
// ticket may not run the step.
func (b *Cache) HandleAnswer(c Call, tickets map[string]string, sent, valid time.Duration) {
	b.inFlight = false
	m := b.steps[c.Step]
	if m == nil {
		m = map[Incarnation]verdict{}
		b.steps[c.Step] = m
	}
	for _, l := range c.Incarnations {
		t, ok := tickets[l.Worker]
		// A ticket's validity begins after its call was sent, so counting it from
		// then is safe.
		m[l] = verdict{allowed: ok, ticket: ticket{t, sent + valid - min(expiryMargin, valid/2)}}
	}
}

// HandleFailure handles the failure or rejection of the call in flight.
func (b *Cache) HandleFailure(now time.Duration) {
	b.inFlight = false
	b.nextCall = now + retryPause
}

// Invalidate removes the verdict and ticket for an incarnation that refused a start
// because of the ticket.
func (b *Cache) Invalidate(step string, l Incarnation) {
	if m := b.steps[step]; m != nil {
		delete(m, l)
	}
}

// Retain removes all steps except the given ones.
func (b *Cache) Retain(steps []string) {
	for s := range b.steps {
		if !slices.Contains(steps, s) {
			delete(b.steps, s)
		}
	}
}
