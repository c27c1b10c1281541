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
	// onDeposed is told that another decider has the pool, confirmed when the
	// last call that proved the opposite was sent.
	onDeposed   func()
	onConfirmed func(time.Duration)
	now         func() time.Duration
	onError     func(error)

	mu         sync.Mutex
	queue      map[rowKey]*write
	queueOrder []rowKey
	versions   map[rowKey]int64
	wake       chan struct{}
}

type rowKey struct{ table, key string }

// write is a row to be put, or deleted if value is nil.
type write struct {
	value []byte
	// alsoDelete names a row that is deleted along with the write.
	alsoDelete []rowKey
	done       []func()
}

// WriterConfig is what a Writer needs.
type WriterConfig struct {
	Store Store
	// Owner is the condition under which the decider may write. All rows are
	// in its part.
	Owner       Condition
	OnDeposed   func()
	OnConfirmed func(time.Duration)
	OnError     func(error)
	Now         func() time.Duration
}

// NewWriter returns a Writer. Run drives it.
func NewWriter(c WriterConfig) *Writer {
	return &Writer{
		store: c.Store, owner: c.Owner, onDeposed: c.OnDeposed, onConfirmed: c.OnConfirmed, now: c.Now, onError: c.OnError,
		queue: map[rowKey]*write{}, versions: map[rowKey]int64{}, wake: make(chan struct{}, 1),
	}
}

// RecordVersion tells the version of a row.
func (w *Writer) RecordVersion(table, key string, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := rowKey{table, key}
	w.versions[k] = max(w.versions[k], version)
}

// Put asks for a row to be written, or deleted if value is nil. Done is called
// once it is durable. A later Put of the same row replaces one that isn't
// under way. Forget names tables in which the row of the same key goes with it.
func (w *Writer) Put(table, key string, value []byte, done func(), alsoDelete ...string) {
	w.mu.Lock()
	k := rowKey{table, key}
	q := w.queue[k]
	if q == nil {
		q = &write{}
		w.queue[k] = q
		w.queueOrder = append(w.queueOrder, k)
	}
	q.value = value
	if value == nil {
		// The row that earlier callers wait for isn't written.
		q.done = nil
	}
	for _, t := range alsoDelete {
		q.alsoDelete = append(q.alsoDelete, rowKey{t, key})
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

// maxBatchRows bounds the rows of one transaction. The platform allows 100 entries,
// and a row takes up to three: its condition, itself, and one that goes.
const maxBatchRows = 32

// maxBatchBytes bounds the values of one transaction, well below the platform's MB.
const maxBatchBytes = 512 << 10

// Run writes until ctx ends or the pool is lost.
func (w *Writer) Run(ctx context.Context) {
	for {
		keys, batch := w.nextBatch()
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

// nextBatch removes the next batch from the queue.
func (w *Writer) nextBatch() ([]rowKey, []*write) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var keys []rowKey
	var batch []*write
	size := 0
	for len(w.queueOrder) > 0 && len(keys) < maxBatchRows && size < maxBatchBytes {
		k := w.queueOrder[0]
		w.queueOrder = w.queueOrder[1:]
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
		a, err := w.store.Apply(ctx, w.buildChange(keys, batch))
		switch {
		case err != nil:
			w.onError(err)
			select {
			case <-ctx.Done():
			case <-time.After(retryInterval):
			}
		case a.Applied:
			w.onConfirmed(sent)
			w.complete(keys, batch, func(rowKey) int64 { return a.Version })
			return true
		default:
			current := map[rowKey]Row{}
			for _, r := range a.Current {
				current[rowKey{r.Table, r.Key}] = r
			}
			if current[rowKey{w.owner.Table, w.owner.Key}].Version != w.owner.Version {
				w.onDeposed()
				return false
			}
			w.onConfirmed(sent)
			if w.alreadyStored(keys, batch, current) {
				w.complete(keys, batch, func(k rowKey) int64 { return current[k].Version })
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

// alreadyStored reports whether the store already holds a whole batch.
func (w *Writer) alreadyStored(keys []rowKey, batch []*write, current map[rowKey]Row) bool {
	for i, k := range keys {
		r := current[k]
		deleted := r.Version == 0 || r.Deleted
		if batch[i].value == nil != deleted || !bytes.Equal(batch[i].value, r.Value) {
			return false
		}
	}
	return true
}

func (w *Writer) buildChange(keys []rowKey, batch []*write) Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := Change{If: []Condition{w.owner}}
	for i, k := range keys {
		c.If = append(c.If, hasVersion(k.table, k.key, w.versions[k]))
		if batch[i].value == nil {
			c.Delete = append(c.Delete, newRow(k.table, k.key, nil))
		} else {
			c.Put = append(c.Put, newRow(k.table, k.key, batch[i].value))
		}
		for _, f := range batch[i].alsoDelete {
			if !slices.ContainsFunc(c.Delete, func(r Row) bool { return r.Table == f.table && r.Key == f.key }) {
				c.Delete = append(c.Delete, newRow(f.table, f.key, nil))
			}
		}
	}
	return c
}

func (w *Writer) complete(keys []rowKey, batch []*write, version func(rowKey) int64) {
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
