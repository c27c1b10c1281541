// Package logs writes log lines without ever making their writer wait.
package logs

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// queueLines bounds the lines that wait to be written. At some 300 bytes a
// line they hold about a MB.
const queueLines = 4096

// Writer passes lines on to another writer, in the background. Lines that
// don't fit its queue are left out and counted.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}
	once    sync.Once
}

var _ io.Writer = (*Writer)(nil)

// NewWriter returns a Writer to another writer. Close ends it.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were left out since the start.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// Close writes what is queued and ends the writer. No Write may follow.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

// run writes lines, and a line of its own for those that were left out.
func (w *Writer) run() {
	defer close(w.done)
	for b := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			w.to.Write([]byte(`{"level":"warn","dropped":` + strconv.FormatInt(n, 10) + `,"message":"log lines were left out"}` + "\n"))
		}
		w.to.Write(b)
	}
}
