package repo

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"
)

// Writer writes a decider's rows. Writes that arrive while a transaction is
// under way go together in the next. Each is conditional on the owner's row,
// so that a former decider writes nothing, and on the version of the row
// itself, so that a write that is carried out late overwrites nothing newer.
type Writer struct {
	store Store
	owner Condition
	// deposed is told that another decider has the pool, confirmed when the
	// last call that proved the opposite was sent.
	deposed   func()
	confirmed func(time.Duration)
	now       func() time.Duration
	failed    func(error)

	mu       sync.Mutex
	queue    map[rowKey]*write
	order    []rowKey
	versions map[rowKey]int64
	wake     chan struct{}
}

type rowKey struct{ table, key string }

// write is a row to be put, or deleted if value is nil.
type write struct {
	value []byte
	// forget names a row that is deleted along with the write.
	forget []rowKey
	done   []func()
}

// WriterConfig is what a Writer needs.
type WriterConfig struct {
	Store Store
	// Owner is the condition under which the decider may write. All rows are
	// in its part.
	Owner     Condition
	Deposed   func()
	Confirmed func(time.Duration)
	Failed    func(error)
	Now       func() time.Duration
}

// NewWriter returns a Writer. Run drives it.
func NewWriter(c WriterConfig) *Writer {
	return &Writer{
		store: c.Store, owner: c.Owner, deposed: c.Deposed, confirmed: c.Confirmed, now: c.Now, failed: c.Failed,
		queue: map[rowKey]*write{}, versions: map[rowKey]int64{}, wake: make(chan struct{}, 1),
	}
}

// Known tells the version of a row.
func (w *Writer) Known(table, key string, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := rowKey{table, key}
	w.versions[k] = max(w.versions[k], version)
}

// Put asks for a row to be written, or deleted if value is nil. Done is called
// once it is durable. A later Put of the same row replaces one that isn't
// under way. Forget names tables in which the row of the same key goes with it.
func (w *Writer) Put(table, key string, value []byte, done func(), forget ...string) {
	w.mu.Lock()
	k := rowKey{table, key}
	q := w.queue[k]
	if q == nil {
		q = &write{}
		w.queue[k] = q
		w.order = append(w.order, k)
	}
	q.value = value
	if value == nil {
		// The row that earlier callers wait for isn't written.
		q.done = nil
	}
	for _, t := range forget {
		q.forget = append(q.forget, rowKey{t, key})
	}
	if done != nil {
		q.done = append(q.done, done)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// maxRows bounds the rows of one transaction. The platform allows 100 entries,
// and a row takes up to three: its condition, itself, and one that goes.
const maxRows = 32

// maxBytes bounds the values of one transaction, well below the platform's MB.
const maxBytes = 512 << 10

// Run writes until ctx ends or the pool is lost.
func (w *Writer) Run(ctx context.Context) {
	for {
		keys, batch := w.take()
		if len(keys) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-w.wake:
			}
			continue
		}
		if !w.commit(ctx, keys, batch) {
			return
		}
	}
}

// take removes the next batch from the queue.
func (w *Writer) take() ([]rowKey, []*write) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var keys []rowKey
	var batch []*write
	size := 0
	for len(w.order) > 0 && len(keys) < maxRows && size < maxBytes {
		k := w.order[0]
		w.order = w.order[1:]
		keys = append(keys, k)
		batch = append(batch, w.queue[k])
		size += len(w.queue[k].value)
		delete(w.queue, k)
	}
	return keys, batch
}

// commit writes a batch, trying until it is answered. It returns false if the
// pool is lost or ctx has ended.
func (w *Writer) commit(ctx context.Context, keys []rowKey, batch []*write) bool {
	for ctx.Err() == nil {
		sent := w.now()
		a, err := w.store.Apply(ctx, w.change(keys, batch))
		switch {
		case err != nil:
			w.failed(err)
			select {
			case <-ctx.Done():
			case <-time.After(retryPause):
			}
		case a.Applied:
			w.confirmed(sent)
			w.finish(keys, batch, func(rowKey) int64 { return a.Version })
			return true
		default:
			current := map[rowKey]Row{}
			for _, r := range a.Current {
				current[rowKey{r.Table, r.Key}] = r
			}
			if current[rowKey{w.owner.Table, w.owner.Key}].Version != w.owner.Version {
				w.deposed()
				return false
			}
			w.confirmed(sent)
			if w.same(keys, batch, current) {
				w.finish(keys, batch, func(k rowKey) int64 { return current[k].Version })
				return true
			}
			w.mu.Lock()
			for _, k := range keys {
				w.versions[k] = current[k].Version
			}
			w.mu.Unlock()
		}
	}
	return false
}

// same reports whether the store already holds a whole batch.
func (w *Writer) same(keys []rowKey, batch []*write, current map[rowKey]Row) bool {
	for i, k := range keys {
		r := current[k]
		gone := r.Version == 0 || r.Deleted
		if batch[i].value == nil != gone || !bytes.Equal(batch[i].value, r.Value) {
			return false
		}
	}
	return true
}

func (w *Writer) change(keys []rowKey, batch []*write) Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := Change{If: []Condition{w.owner}}
	for i, k := range keys {
		c.If = append(c.If, at(k.table, k.key, w.versions[k]))
		if batch[i].value == nil {
			c.Delete = append(c.Delete, newRow(k.table, k.key, nil))
		} else {
			c.Put = append(c.Put, newRow(k.table, k.key, batch[i].value))
		}
		for _, f := range batch[i].forget {
			if !slices.ContainsFunc(c.Delete, func(r Row) bool { return r.Table == f.table && r.Key == f.key }) {
				c.Delete = append(c.Delete, newRow(f.table, f.key, nil))
			}
		}
	}
	return c
}

func (w *Writer) finish(keys []rowKey, batch []*write, version func(rowKey) int64) {
	w.mu.Lock()
	for i, k := range keys {
		w.versions[k] = version(k)
		if batch[i].value == nil {
			delete(w.versions, k)
		}
	}
	w.mu.Unlock()
	for _, b := range batch {
		for _, f := range b.done {
			f()
		}
	}
}
