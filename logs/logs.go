// Package logs writes log lines without ever making their writer wait.
package logs

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// queueLines bounds the lines that wait to be written. At some 300 bytes a
// line they hold about a MB.
const queueLines = 4096

// timeFormat orders lines of several hosts.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// timeHook adds the time to each line.
type timeHook struct{}

// Run implements zerolog.Hook.
func (timeHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("time", time.Now().UTC().Format(timeFormat))
}

// New returns a logger of lines that tell of decisions and changes.
func New(w io.Writer) zerolog.Logger {
	return zerolog.New(w).Level(zerolog.InfoLevel).Hook(timeHook{})
}

// Writer passes lines on to another writer, in the background. Lines that
// don't fit its queue are left out and counted.
type Writer struct {
	out        io.Writer
	lines      chan []byte
	unreported atomic.Int64
	dropped    atomic.Int64
	done       chan struct{}
	once       sync.Once
}

var _ io.Writer = (*Writer)(nil)

// NewWriter returns a Writer to another writer. Close ends it.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{out: to, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.unreported.Add(1)
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were left out since the start.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued and ends the writer. No Write may follow.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

// run writes lines, and a line of its own for those that were left out.
func (w *Writer) run() {
	defer close(w.done)
	for b := range w.lines {
		if n := w.unreported.Swap(0); n > 0 {
			w.out.Write([]byte(`{"level":"warn","dropped":` + strconv.FormatInt(n, 10) + `,"message":"log lines were left out"}` + "\n"))
		}
		w.out.Write(b)
	}
}
