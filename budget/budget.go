// Package budget bounds the bytes that requests hold in memory.
package budget

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Reasons that are passed to OnEvict.
const (
	// Stalled holders made no progress within activeTime.
	Stalled = "Stalled"
	// Active holders were evicted although they made progress, as there was no other.
	Active = "Active"
)

const (
	// activeTime is how long a lease counts as active after it made progress. It is longer
	// than the pauses of a client on a slow link, some round trips of up to 80 ms.
	activeTime = 250 * time.Millisecond
	// waitTime limits the wait for the bytes of evicted holders. A handler whose connection
	// is closed returns within milliseconds unless the process is overloaded.
	waitTime = time.Second
)

var (
	// ErrExhausted means that the bytes don't fit and that no other holder had to give way.
	ErrExhausted = errors.New("memory for requests is exhausted")
	// ErrEvicted means that the lease had to give way to another request.
	ErrEvicted = errors.New("request was evicted as memory for requests is exhausted")
)

// Config configures a Pool.
type Config struct {
	// Limit is the number of bytes that all leases may hold together.
	Limit int64
	// Now returns the time; time.Now if nil.
	Now func() time.Time
	// OnEvict, if set, is called for each eviction.
	OnEvict func(reason string)
}

// Holder says who holds a lease.
type Holder struct {
	// Address is the client's IP address without its port, Key the credential of its request.
	Address, Key string
	// Evict is called at most once, from another goroutine. It must end the request soon,
	// as a rule by closing its connection, and must not block.
	Evict func()
}

// Pool divides a number of bytes among leases.
type Pool struct {
	c Config
	// used mirrors the bytes of all leases for Used.
	used atomic.Int64

	mu    sync.Mutex
	limit int64
	// leaving is the number of bytes held by evicted leases that aren't closed yet,
	// waiting that of the requests in waiters.
	leaving, waiting int64
	leases           map[*Lease]struct{}
	addresses        map[string]int64
	keys             map[account]int64
	waiters          []*waiter
}

// account identifies the holders that share an address and a key.
type account struct{ address, key string }

// waiter is a Grow that waits for the bytes of evicted leases.
type waiter struct {
	lease *Lease
	bytes int64
	// result receives exactly one value, unless the waiter removes itself.
	result chan error
}

// New returns a Pool.
func New(c Config) *Pool {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.OnEvict == nil {
		c.OnEvict = func(string) {}
	}
	return &Pool{c: c, limit: c.Limit, leases: map[*Lease]struct{}{}, addresses: map[string]int64{}, keys: map[account]int64{}}
}

// SetLimit changes the limit. If it is below the bytes in use, nothing is evicted at once, and
// leases grow again only when others have released enough or were evicted.
func (p *Pool) SetLimit(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
	p.grant()
}

// Limit returns the limit.
func (p *Pool) Limit() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit
}

// Used returns the number of bytes that all leases hold.
func (p *Pool) Used() int64 { return p.used.Load() }

// Open returns a lease of no bytes, which the caller has to close.
func (p *Pool) Open(h Holder) *Lease {
	l := &Lease{pool: p, holder: h}
	l.progress.Store(p.c.Now().UnixNano())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leases[l] = struct{}{}
	return l
}

// add changes the bytes of a lease by n, which may be negative. The caller holds the lock.
func (p *Pool) add(l *Lease, n int64) {
	l.bytes += n
	p.used.Add(n)
	if l.evicted {
		p.leaving += n
	}
	a := account{l.holder.Address, l.holder.Key}
	if p.addresses[a.address] += n; p.addresses[a.address] == 0 {
		delete(p.addresses, a.address)
	}
	if p.keys[a] += n; p.keys[a] == 0 {
		delete(p.keys, a)
	}
}

// grant gives waiters their bytes, in the order of their requests, while they fit. The caller
// holds the lock.
func (p *Pool) grant() {
	for len(p.waiters) > 0 {
		w := p.waiters[0]
		if p.used.Load()+w.bytes > p.limit {
			return
		}
		p.add(w.lease, w.bytes)
		p.settle(w, nil)
	}
}

// settle removes a waiter and tells it the result. The caller holds the lock.
func (p *Pool) settle(w *waiter, err error) {
	for i, o := range p.waiters {
		if o == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.waiting -= w.bytes
			w.result <- err
			return
		}
	}
}

// makeRoom evicts leases until n bytes will fit once the evicted ones are closed. It returns the
// evicted leases, for which the caller calls Evict after it has released the lock, and
// ErrExhausted if l itself or nobody is to give way. The caller holds the lock.
func (p *Pool) makeRoom(l *Lease, n int64) (evicted []*Lease, err error) {
	if n > p.limit {
		return nil, ErrExhausted
	}
	for p.used.Load()-p.leaving+p.waiting+n > p.limit {
		v := p.selectVictim(l, n)
		if v == nil || v == l {
			return evicted, ErrExhausted
		}
		p.evict(v)
		evicted = append(evicted, v)
	}
	return evicted, nil
}

// evict marks a lease as evicted and ends its wait. The caller holds the lock.
func (p *Pool) evict(v *Lease) {
	v.evicted = true
	p.leaving += v.bytes
	for _, w := range p.waiters {
		if w.lease == v {
			p.settle(w, ErrEvicted)
			break
		}
	}
}

// selectVictim returns the lease that is to give way to l, which may be l itself, or nil if there
// is none. It ranks by the bytes of the address, then those of the key, then the time without
// progress. Active leases come last, after all leases without progress at addresses that hold at
// least as much as l's: a request can't push out clients at addresses with less than its own.
// The caller holds the lock.
func (p *Pool) selectVictim(l *Lease, n int64) *Lease {
	activeSince := p.c.Now().Add(-activeTime).UnixNano()
	own := p.addresses[l.holder.Address] + n
	var best rank
	for c := range p.leases {
		held := c.bytes
		if c == l {
			held += n
		}
		if held == 0 || c.evicted {
			continue
		}
		r := rank{lease: c, address: p.addresses[c.holder.Address], key: p.keys[account{c.holder.Address, c.holder.Key}], progress: c.progress.Load()}
		if c.holder.Address == l.holder.Address {
			r.address += n
			if c.holder.Key == l.holder.Key {
				r.key += n
			}
		}
		r.stalled = c != l && r.progress < activeSince && r.address >= own
		if best.lease == nil || r.before(&best) {
			best = r
		}
	}
	return best.lease
}

// rank is the order in which leases give way.
type rank struct {
	lease        *Lease
	stalled      bool
	address, key int64
	progress     int64
}

// before reports whether r's lease gives way before o's.
func (r *rank) before(o *rank) bool {
	switch {
	case r.stalled != o.stalled:
		return r.stalled
	case r.address != o.address:
		return r.address > o.address
	case r.key != o.key:
		return r.key > o.key
	}
	return r.progress < o.progress
}
