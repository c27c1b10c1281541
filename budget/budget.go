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
	// used is the number of bytes of all leases. It is changed under the lock.
	used atomic.Int64

	mu    sync.Mutex
	limit int64
	// leaving is the number of bytes held by evicted leases that aren't closed yet,
	// waiting that of the requests in waiters.
	leaving, waiting int64
	leases           map[*Lease]struct{}
	addresses        map[string]*group
	keys             map[account]*group
	waiters          []*waiter
}

// account identifies the holders that share an address and a key.
type account struct{ address, key string }

// group counts the leases of an address or an account, and the bytes of those that aren't evicted.
type group struct {
	leases int
	bytes  int64
}

// join returns the group of a key with one more lease.
func join[K comparable](m map[K]*group, k K) *group {
	g := m[k]
	if g == nil {
		g = &group{}
		m[k] = g
	}
	g.leases++
	return g
}

// leave takes a lease from the group of a key.
func leave[K comparable](m map[K]*group, k K) {
	if m[k].leases--; m[k].leases == 0 {
		delete(m, k)
	}
}

// waiter is a Grow that waits for the bytes of evicted leases.
type waiter struct {
	lease *Lease
	bytes int64
	// result receives exactly one value.
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
	return &Pool{c: c, limit: c.Limit, leases: map[*Lease]struct{}{}, addresses: map[string]*group{}, keys: map[account]*group{}}
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
	l.address, l.account = join(p.addresses, h.Address), join(p.keys, account{h.Address, h.Key})
	return l
}

// add changes the bytes of a lease by n, which may be negative. The caller holds the lock.
func (p *Pool) add(l *Lease, n int64) {
	l.bytes += n
	p.used.Add(n)
	if l.evicted {
		p.leaving += n
		return
	}
	l.address.bytes += n
	l.account.bytes += n
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
			w.lease.waiter = nil
			w.result <- err
			return
		}
	}
}

// makeRoom evicts leases until n bytes will fit once the evicted ones are closed. It returns the
// evicted leases, for which the caller calls Evict after it has released the lock, or
// ErrExhausted if l itself or nobody is to give way; then none is evicted. The caller holds
// the lock.
func (p *Pool) makeRoom(l *Lease, n int64) ([]*Lease, error) {
	if n > p.limit {
		return nil, ErrExhausted
	}
	var evicted []*Lease
	for p.used.Load()-p.leaving+p.waiting+n > p.limit {
		v := p.selectVictim(l, n)
		if v == nil || v == l {
			for _, e := range evicted {
				p.setEvicted(e, false)
			}
			return nil, ErrExhausted
		}
		p.setEvicted(v, true)
		evicted = append(evicted, v)
	}
	for _, v := range evicted {
		if v.waiter != nil {
			p.waiting += v.waiter.bytes
			p.settle(v.waiter, ErrEvicted)
		}
	}
	return evicted, nil
}

// setEvicted marks a lease as evicted or as not evicted. The bytes that it waits for don't count
// while it is evicted. The caller holds the lock.
func (p *Pool) setEvicted(v *Lease, evicted bool) {
	n, w := v.bytes, int64(0)
	if v.waiter != nil {
		w = v.waiter.bytes
	}
	if !evicted {
		n, w = -n, -w
	}
	v.evicted = evicted
	p.leaving += n
	p.waiting -= w
	v.address.bytes -= n
	v.account.bytes -= n
}

// selectVictim returns the lease that is to give way to l, which may be l itself, or nil if there
// is none. It ranks by the bytes of the address, then those of the key, then the time without
// progress. Active leases come last, after all leases without progress at addresses that hold at
// least as much as l's: a request can't push out clients at addresses with less than its own.
// The caller holds the lock.
func (p *Pool) selectVictim(l *Lease, n int64) *Lease {
	activeSince := p.c.Now().Add(-activeTime).UnixNano()
	own := l.address.bytes + n
	var best rank
	for c := range p.leases {
		if c.evicted || c.held || c.bytes == 0 && c != l {
			continue
		}
		r := rank{lease: c, address: c.address.bytes, key: c.account.bytes, progress: c.progress.Load()}
		if c.address == l.address {
			r.address += n
		}
		if c.account == l.account {
			r.key += n
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
