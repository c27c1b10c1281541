package budget

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// firstBuffer is the size of the first buffer of ReadAll; most bodies fit into it.
	firstBuffer = 4 << 10
	// bufferGrowth is the factor by which a full buffer grows. With 4, the buffers that are
	// given up for larger ones add up to a third of the last one; with 2, to all of it.
	bufferGrowth = 4
)

// ErrTooLarge means that a reader had more bytes than ReadAll was to read.
var ErrTooLarge = errors.New("too many bytes")

// Lease is the share of a Pool that one request holds. Only one goroutine may make it grow, others
// may give bytes back meanwhile or close it.
type Lease struct {
	pool   *Pool
	holder Holder
	// progress is the time of the last progress in Unix nanoseconds. It isn't guarded by
	// the Pool's lock, so that reading a small piece doesn't take the lock.
	progress atomic.Int64

	// address and account are the groups that the lease belongs to.
	address, account *group

	// The Pool's lock guards the following fields. waiter is set while Grow waits.
	bytes                 int64
	evicted, held, closed bool
	waiter                *waiter
}

// Grow adds n bytes to the lease. If they don't fit, other leases are evicted, and Grow waits for
// their bytes. It returns ErrExhausted if the bytes can't be had, and ErrEvicted if the lease had
// to give way. A negative n gives bytes back; with 0, Grow reports whether the lease was evicted.
func (l *Lease) Grow(n int64) error {
	p := l.pool
	l.Progress()
	p.mu.Lock()
	if n < 0 {
		p.add(l, max(n, -l.bytes))
		p.grant()
	}
	switch {
	case l.evicted:
		p.mu.Unlock()
		return ErrEvicted
	case n <= 0:
		p.mu.Unlock()
		return nil
	case l.closed:
		p.mu.Unlock()
		return ErrExhausted
	case len(p.waiters) == 0 && p.used.Load()+n <= p.limit:
		p.add(l, n)
		p.mu.Unlock()
		return nil
	}
	evicted, err := p.makeRoom(l, n)
	w := &waiter{l, n, make(chan error, 1)}
	if err == nil {
		l.waiter = w
		p.waiters = append(p.waiters, w)
		p.waiting += n
		p.grant()
	}
	p.mu.Unlock()
	active := p.c.Now().Add(-activeTime).UnixNano()
	for _, v := range evicted {
		reason := Stalled
		if v.progress.Load() >= active {
			reason = Active
		}
		p.c.OnEvict(reason)
		if v.holder.Evict != nil {
			v.holder.Evict()
		}
	}
	if err != nil {
		return err
	}
	return p.wait(w)
}

// wait returns the result of a waiter, or ErrExhausted after waitTime.
func (p *Pool) wait(w *waiter) error {
	t := time.NewTimer(waitTime)
	defer t.Stop()
	select {
	case err := <-w.result:
		return err
	case <-t.C:
	}
	p.mu.Lock()
	p.settle(w, ErrExhausted)
	// Requests behind this one may need fewer bytes.
	p.grant()
	p.mu.Unlock()
	return <-w.result
}

// Progress records that the request made progress. ReadAll does so itself.
func (l *Lease) Progress() { l.progress.Store(l.pool.c.Now().UnixNano()) }

// Hold keeps the lease from being evicted from now on, for the part of a request that must not be
// ended halfway. It returns ErrEvicted if it was evicted before.
func (l *Lease) Hold() error {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.evicted {
		return ErrEvicted
	}
	l.held = true
	return nil
}

// Close gives all bytes back. Further calls do nothing.
func (l *Lease) Close() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	if l.waiter != nil {
		p.settle(l.waiter, ErrExhausted)
	}
	p.add(l, -l.bytes)
	delete(p.leases, l)
	leave(p.addresses, l.holder.Address)
	leave(p.keys, account{l.holder.Address, l.holder.Key})
	p.grant()
}

// ReadAll reads r to its end and returns its bytes, at most limit. It returns ErrTooLarge if there
// are more. The lease keeps the bytes of the returned buffer; after an error it keeps none
// of those that ReadAll added. A caller that knows the length passes it as the limit, and the
// buffer never gets larger. An error of r after the lease was evicted is reported as ErrEvicted.
func (l *Lease) ReadAll(r io.Reader, limit int64) ([]byte, error) {
	b, err := l.readAll(r, limit)
	if err != nil {
		if e := l.Grow(-int64(cap(b))); e != nil && !errors.Is(err, ErrEvicted) {
			err = fmt.Errorf("%w: %w", ErrEvicted, err)
		}
		return nil, err
	}
	return b, nil
}

// readAll does the work of ReadAll. It returns the buffer that the lease was charged for
// also with an error.
func (l *Lease) readAll(r io.Reader, limit int64) ([]byte, error) {
	var b []byte
	for {
		if int64(len(b)) == limit {
			return b, l.expectEnd(r)
		}
		if len(b) == cap(b) {
			n := min(limit, max(firstBuffer, bufferGrowth*int64(cap(b))))
			if err := l.Grow(n); err != nil {
				return b, err
			}
			// Not append, which may allocate more than was charged.
			larger := make([]byte, len(b), n)
			copy(larger, b)
			if err := l.Grow(-int64(cap(b))); err != nil {
				return larger, err
			}
			b = larger
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if n > 0 {
			l.Progress()
		}
		switch {
		case err == io.EOF:
			return b, l.Grow(0)
		case err != nil:
			return b, err
		}
	}
}

// expectEnd returns nil if r is at its end, and else ErrTooLarge or the error of r.
func (l *Lease) expectEnd(r io.Reader) error {
	var one [1]byte
	for {
		n, err := r.Read(one[:])
		switch {
		case n > 0:
			return ErrTooLarge
		case err == io.EOF:
			return l.Grow(0)
		case err != nil:
			return err
		}
	}
}
