// Package advice remembers what the advice service has said: which workers may
// run a step, and the tickets for them.
package advice

import (
	"slices"
	"time"
)

// Limits of calls for advice.
const (
	// MaxAsked is how many workers one call may name; the platform's bound.
	MaxAsked = 100
	// usualAsked is how many are named as a rule: the service takes time for
	// each of them.
	usualAsked = 30
	// margin is kept from the end of a ticket for its start to arrive, half
	// the time of a shorter one.
	margin = 500 * time.Millisecond
	// refusedPause is kept after a call that the service rejected.
	refusedPause = 100 * time.Millisecond
)

// Life names one life of a worker: a ticket holds for no other.
type Life struct {
	Worker string
	N      int64
}

// Call is one call for advice.
type Call struct {
	// Step is JOB.OCCURRENCE.STEP.
	Step    string
	Workers []Life
}

// ticket allows starts of a step on a worker. It is used until a time.
type ticket struct {
	text  string
	until time.Duration
}

// verdict is what is known of a step and a life of a worker.
type verdict struct {
	good   bool
	ticket ticket
}

// Book is what the service has said. Which workers may run a step doesn't
// change; tickets run out.
type Book struct {
	steps map[string]map[Life]verdict
	// asking says that a call has no answer yet: the service takes one at a
	// time.
	asking bool
	// next is the earliest time of the next call.
	next time.Duration
}

// NewBook returns a Book that knows nothing.
func NewBook() *Book { return &Book{steps: map[string]map[Life]verdict{}} }

// Ticket returns a ticket that holds long enough for a start.
func (b *Book) Ticket(step string, l Life, now time.Duration) (string, bool) {
	v := b.steps[step][l]
	return v.ticket.text, v.good && now < v.ticket.until
}

// Ask returns the call that lets a number of tasks of a step start soonest:
// candidates are the lives that could run them, best first. It reports false
// if nobody is to be asked now.
func (b *Book) Ask(step string, tasks int, candidates []Life, now time.Duration) (Call, bool) {
	if b.asking || now < b.next {
		return Call{}, false
	}
	c := Call{Step: step}
	known := b.steps[step]
	// Workers that are known as good need a new ticket only.
	for _, again := range []bool{true, false} {
		for _, l := range candidates {
			v, seen := known[l]
			if len(c.Workers) >= min(max(usualAsked, 2*tasks), MaxAsked) {
				break
			}
			if seen == again && (!seen || v.good && now >= v.ticket.until) {
				c.Workers = append(c.Workers, l)
			}
		}
		if again && len(c.Workers) >= tasks {
			break
		}
	}
	if len(c.Workers) == 0 {
		return Call{}, false
	}
	b.asking = true
	return c, true
}

// Answered takes in the answer to a call that was made at a time. Tickets are
// by worker; those of the call that have none may not run the step.
func (b *Book) Answered(c Call, tickets map[string]string, sent, valid time.Duration) {
	b.asking = false
	m := b.steps[c.Step]
	if m == nil {
		m = map[Life]verdict{}
		b.steps[c.Step] = m
	}
	for _, l := range c.Workers {
		t, ok := tickets[l.Worker]
		// The ticket's time began after the call was sent.
		m[l] = verdict{good: ok, ticket: ticket{t, sent + valid - min(margin, valid/2)}}
	}
}

// Failed takes in that a call had no answer of use.
func (b *Book) Failed(now time.Duration) {
	b.asking = false
	b.next = now + refusedPause
}

// Refused takes in that a worker took a ticket for one that doesn't hold.
func (b *Book) Refused(step string, l Life) {
	if m := b.steps[step]; m != nil {
		delete(m, l)
	}
}

// Keep forgets all steps but those that are named.
func (b *Book) Keep(steps []string) {
	for s := range b.steps {
		if !slices.Contains(steps, s) {
			delete(b.steps, s)
		}
	}
}
