// Package logs writes log lines without ever blocking the code that logs.
package logs

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// queueLines limits the lines that wait to be written. At some 300 bytes per line a full
// queue takes about 1 MB.
const queueLines = 4096

// timeFormat lets the lines of several hosts be sorted by their text.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// timeHook adds the time to each line.
type timeHook struct{}

// Run implements zerolog.Hook.
func (timeHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("time", time.Now().UTC().Format(timeFormat))
}

// New returns a logger that writes lines of level info and above to w, with the time.
func New(w io.Writer) zerolog.Logger {
	return zerolog.New(w).Level(zerolog.InfoLevel).Hook(timeHook{})
}

// Writer writes lines to another writer in the background. Lines that don't fit into its queue
// are dropped and counted.
type Writer struct {
	out        io.Writer
	lines      chan []byte
	unreported atomic.Int64
	dropped    atomic.Int64
	done       chan struct{}
	once       sync.Once
}

var _ io.Writer = (*Writer)(nil)

// NewWriter returns a Writer that writes to another writer until Close is called.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{out: to, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full. It never returns an error.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.unreported.Add(1)
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped since the Writer was created.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and ends the Writer. Write must not be called after it.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

// run writes the queued lines. After lines were dropped it first writes a line with their
// number.
func (w *Writer) run() {
	defer close(w.done)
	for b := range w.lines {
		if n := w.unreported.Swap(0); n > 0 {
			w.out.Write([]byte(`{"level":"warn","dropped":` + strconv.FormatInt(n, 10) + `,"message":"log lines were left out"}` + "\n"))
		}
		w.out.Write(b)
	}
}
