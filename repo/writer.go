package repo

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// Writer writes a decider's rows in the background. Writes that arrive while a
// transaction is in flight are batched into the next one. Each transaction is conditional
// on WriterConfig.Owner, so that a former decider can't write, and on the versions of the
// written rows, so that a delayed write can't overwrite a newer one.
type Writer struct {
	store Store
	owner Condition
	// The callbacks are described at WriterConfig.
	onDeposed   func()
	onConfirmed func(time.Duration)
	now         func() time.Duration
	onError     func(error)
	foreign     func(table string, value []byte) bool
	onForeign   func(key string)

	mu         sync.Mutex
	queue      map[rowKey]*write
	queueOrder []rowKey
	// rejected are the writes that the store has rejected and that aren't queued again yet.
	rejected map[rowKey]*write
	versions map[rowKey]int64
	wake     chan struct{}
}

type rowKey struct{ table, key string }

// write is a row to be written, or deleted if value is nil.
type write struct {
	value []byte
	// alsoDelete names further rows that the same transaction deletes, alsoPut those that it
	// writes, whatever their versions.
	alsoDelete []rowKey
	alsoPut    []Row
	done       []func()
	// rejected is set if the store has rejected the row. It is written by itself then.
	rejected bool
	// unless and version are set for a deletion by DeleteUnless: it requires the row to have this
	// version, whatever other version becomes known meanwhile.
	unless  func(value []byte) bool
	version int64
}

// WriterConfig configures a Writer. All fields but Foreign and OnForeign are required.
type WriterConfig struct {
	Store Store
	// Owner is the condition under which the decider may write. All rows are in the
	// partition of its row.
	Owner Condition
	// OnDeposed is called if Owner no longer holds: another decider has the pool.
	OnDeposed func()
	// OnConfirmed is called with the time at which a call was sent whose answer
	// proves that Owner still held.
	OnConfirmed func(time.Duration)
	// OnError is called with the error of each failed call, before it is retried.
	OnError func(error)
	// Now returns a monotonic time.
	Now func() time.Duration
	// Foreign, if set, reports whether a row that others have changed belongs to the decider of
	// another pool by now. Such a row isn't written: OnForeign is called with its key instead.
	Foreign   func(table string, value []byte) bool
	OnForeign func(key string)
}

// NewWriter returns a Writer, which writes nothing until Run is called.
func NewWriter(c WriterConfig) *Writer {
	return &Writer{
		store: c.Store, owner: c.Owner, onDeposed: c.OnDeposed, onConfirmed: c.OnConfirmed, now: c.Now, onError: c.OnError, foreign: c.Foreign, onForeign: c.OnForeign,
		queue: map[rowKey]*write{}, rejected: map[rowKey]*write{}, versions: map[rowKey]int64{}, wake: make(chan struct{}, 1),
	}
}

// RecordVersion sets the version of a row that was read from the store, unless a newer
// one is known.
func (w *Writer) RecordVersion(table, key string, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := rowKey{table, key}
	w.versions[k] = max(w.versions[k], version)
}

// Put queues a row to be written, or deleted if value is nil, and calls done once that is
// durable. A later Put of the same row replaces one that isn't in flight yet; the callers
// of both are notified, except that a deletion drops the callbacks of the writes that it
// replaces. alsoDelete names tables whose row of the same key is deleted in the same
// transaction.
func (w *Writer) Put(table, key string, value []byte, done func(), alsoDelete ...string) {
	w.mu.Lock()
	k := rowKey{table, key}
	q := w.queue[k]
	if q == nil {
		if q = w.rejected[k]; q == nil {
			q = &write{}
		}
		delete(w.rejected, k)
		w.enqueue(k, q)
	}
	if q.unless != nil {
		*q = write{}
	}
	q.value = value
	if value == nil {
		// The value that earlier callers wait for will not be written.
		q.done = nil
	}
	for _, t := range alsoDelete {
		q.alsoDelete = append(q.alsoDelete, rowKey{t, key})
	}
	if done != nil {
		q.done = append(q.done, done)
	}
	w.mu.Unlock()
	w.signal()
}

// PutBoth is Put of a row that exists, with another row of the same key that the same transaction
// writes, whatever its version. No other write of the first row may be queued. If the first row is
// found deleted, nothing is written, as if it belonged to another pool.
func (w *Writer) PutBoth(table, key string, value []byte, other string, otherValue []byte, done func()) {
	w.mu.Lock()
	w.enqueue(rowKey{table, key}, &write{value: value, alsoPut: []Row{newRow(other, key, otherValue)}, done: []func(){done}})
	w.mu.Unlock()
	w.signal()
}

// DeleteUnless queues the deletion of a row and of the rows of the same key in the tables of
// alsoDelete. If the row turns out to have changed, unless decides by its present value whether it
// is kept: others than the decider may have replaced it. DeleteUnless returns false, and queues
// nothing, if another write of the row is queued.
func (w *Writer) DeleteUnless(table, key string, unless func(value []byte) bool, alsoDelete ...string) bool {
	w.mu.Lock()
	k := rowKey{table, key}
	if w.queue[k] != nil || w.rejected[k] != nil {
		w.mu.Unlock()
		return false
	}
	q := &write{unless: unless, version: w.versions[k]}
	for _, t := range alsoDelete {
		q.alsoDelete = append(q.alsoDelete, rowKey{t, key})
	}
	w.enqueue(k, q)
	w.mu.Unlock()
	w.signal()
	return true
}

// Version returns the newest known version of a row, 0 if none is known.
func (w *Writer) Version(table, key string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.versions[rowKey{table, key}]
}

// maxBatchRows limits the rows of one transaction. The platform allows 100 entries, and a
// row takes up to three: its condition, the write, and the deletion of a related row.
const maxBatchRows = 32

// maxBatchBytes limits the values of one transaction, well below the platform's limit of
// 1 MB.
const maxBatchBytes = 512 << 10

// Run writes queued rows until ctx ends or another decider has the pool.
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
		if w.queue[k].rejected && len(keys) > 0 {
			break
		}
		w.queueOrder = w.queueOrder[1:]
		keys = append(keys, k)
		batch = append(batch, w.queue[k])
		size += len(w.queue[k].value)
		for _, r := range w.queue[k].alsoPut {
			size += len(r.Value)
		}
		rejected := w.queue[k].rejected
		delete(w.queue, k)
		if rejected {
			break
		}
	}
	return keys, batch
}

// invalidRetryInterval is the wait before a row that the store rejects is written again. Other
// rows are written meanwhile.
const invalidRetryInterval = time.Second

// commit writes a batch, retrying until the store holds it. It returns false if another
// decider has the pool or ctx has ended. A row that the store rejects doesn't keep the others
// from being written.
func (w *Writer) commit(ctx context.Context, keys []rowKey, batch []*write) bool {
	for ctx.Err() == nil {
		sent := w.now()
		a, err := w.store.Apply(ctx, w.buildChange(keys, batch))
		switch {
		case errors.Is(err, ErrInvalid):
			w.onError(err)
			return w.commitSingly(ctx, keys, batch)
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
			keys, batch = w.dropForeign(keys, batch, current)
			if keys, batch = w.adoptVersions(keys, batch, current); len(keys) == 0 {
				return true
			}
		}
	}
	return false
}

// dropForeign returns the batch without the rows that belong to another pool by now.
func (w *Writer) dropForeign(keys []rowKey, batch []*write, current map[rowKey]Row) ([]rowKey, []*write) {
	if w.foreign == nil {
		return keys, batch
	}
	var restKeys []rowKey
	var rest []*write
	for i, k := range keys {
		r := current[k]
		gone := r.Version == 0 || r.Deleted
		if gone && batch[i].alsoPut != nil || !gone && batch[i].unless == nil && w.foreign(k.table, r.Value) {
			w.RecordVersion(k.table, k.key, r.Version)
			w.onForeign(k.key)
			continue
		}
		restKeys, rest = append(restKeys, k), append(rest, batch[i])
	}
	return restKeys, rest
}

// adoptVersions takes over the versions of the current rows for the next try, and returns the
// batch without the deletions that their rows don't allow any more.
func (w *Writer) adoptVersions(keys []rowKey, batch []*write, current map[rowKey]Row) ([]rowKey, []*write) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var restKeys []rowKey
	var rest []*write
	for i, k := range keys {
		r := current[k]
		w.versions[k] = r.Version
		if b := batch[i]; b.unless != nil && r.Version != b.version {
			if r.Version > 0 && !r.Deleted && b.unless(r.Value) {
				continue
			}
			b.version = r.Version
		}
		restKeys, rest = append(restKeys, k), append(rest, batch[i])
	}
	return restKeys, rest
}

// commitSingly writes each row of a batch that the store rejects in a transaction of its own.
// A row that is rejected by itself is queued again later.
func (w *Writer) commitSingly(ctx context.Context, keys []rowKey, batch []*write) bool {
	if len(keys) == 1 {
		w.setAside(keys[0], batch[0])
		return true
	}
	for i := range keys {
		if !w.commit(ctx, keys[i:i+1], batch[i:i+1]) {
			return false
		}
	}
	return true
}

// setAside queues a write that the store has rejected again after invalidRetryInterval, unless
// a later Put of the row does so before. If one has been queued already, that replaces it.
func (w *Writer) setAside(k rowKey, b *write) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if q := w.queue[k]; q != nil {
		if q.value != nil {
			q.done = append(b.done, q.done...)
		}
		q.alsoDelete = append(b.alsoDelete, q.alsoDelete...)
		return
	}
	b.rejected = true
	w.rejected[k] = b
	time.AfterFunc(invalidRetryInterval, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.rejected[k] == b {
			delete(w.rejected, k)
			w.enqueue(k, b)
			w.signal()
		}
	})
}

// enqueue appends a write to the queue. The caller holds w.mu.
func (w *Writer) enqueue(k rowKey, b *write) {
	w.queue[k] = b
	w.queueOrder = append(w.queueOrder, k)
}

// signal wakes Run.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// alreadyStored reports whether the store already holds a whole batch, which is so after
// a try that was applied but whose answer was lost.
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

// buildChange returns the transaction that writes a batch. The versions that its
// conditions require may change between two tries.
func (w *Writer) buildChange(keys []rowKey, batch []*write) Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := Change{If: []Condition{w.owner}}
	for i, k := range keys {
		version := w.versions[k]
		if batch[i].unless != nil {
			version = batch[i].version
		}
		c.If = append(c.If, hasVersion(k.table, k.key, version))
		if batch[i].value == nil {
			c.Delete = append(c.Delete, newRow(k.table, k.key, nil))
		} else {
			c.Put = append(c.Put, newRow(k.table, k.key, batch[i].value))
		}
		c.Put = append(c.Put, batch[i].alsoPut...)
		for _, f := range batch[i].alsoDelete {
			if !slices.ContainsFunc(c.Delete, func(r Row) bool { return r.Table == f.table && r.Key == f.key }) {
				c.Delete = append(c.Delete, newRow(f.table, f.key, nil))
			}
		}
	}
	return c
}

// complete sets the new versions of a batch that is durable, and calls its callbacks.
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
