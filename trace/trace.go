// Package trace extracts the history of a job or a worker from the log lines of all hosts.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine limits the length of a log line, in bytes. Longer lines are skipped.
const maxLine = 1 << 20

// Line is one line of a host's log.
type Line struct {
	// Time is by the host's clock; the clocks of hosts may differ.
	Time time.Time
	Host string
	// Text is the log message.
	Text string
	// Job, Task and Worker identify what the line is about; each may be empty.
	Job, Task, Worker string
	// Path is the URL path of a rejected call, otherwise empty.
	Path string
	// Pool and Epoch are those of the decider that wrote the line, Run is the number of
	// the task's run.
	Pool       string
	Epoch, Run int64
	// Fields holds all other members of the JSON object, by name.
	Fields map[string]any
}

// namedMembers are the members of the JSON object that are left out of Line.Fields, because
// they have a field of their own or, like the level, are not printed.
var namedMembers = []string{"time", "host", "message", "job", "task", "worker", "path", "pool", "epoch", "run", "level"}

// Decode decodes one log line. It ignores what precedes the first brace, such as a machine
// name or a time that a log collector adds. It returns false for a line that the scheduler's
// hosts didn't write.
func Decode(b []byte) (Line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return Line{}, false
	}
	b = b[i:]
	l := Line{}
	if json.Unmarshal(b, &l.Fields) != nil {
		return Line{}, false
	}
	text := func(k string) string { v, _ := l.Fields[k].(string); return v }
	number := func(k string) int64 { v, _ := l.Fields[k].(float64); return int64(v) }
	at, err := time.Parse(time.RFC3339Nano, text("time"))
	if err != nil || text("message") == "" {
		return Line{}, false
	}
	l.Time, l.Host, l.Text, l.Path = at, text("host"), text("message"), text("path")
	l.Job, l.Task, l.Worker, l.Pool = text("job"), text("task"), text("worker"), text("pool")
	l.Epoch, l.Run = number("epoch"), number("run")
	for _, k := range namedMembers {
		delete(l.Fields, k)
	}
	return l, true
}

// Read decodes all lines of r. It also returns how many lines were skipped, because the
// scheduler's hosts didn't write them or they are longer than maxLine.
func Read(r io.Reader) ([]Line, int, error) {
	var l []Line
	skipped := 0
	s := bufio.NewReaderSize(r, 64<<10)
	for {
		b, err := readLine(s)
		if x, ok := Decode(b); ok {
			l = append(l, x)
		} else if len(bytes.TrimSpace(b)) > 0 {
			skipped++
		}
		if err == io.EOF {
			return l, skipped, nil
		}
		if err != nil {
			return l, skipped, fmt.Errorf("read log: %w", err)
		}
	}
}

// readLine reads one line, or returns tooLong in place of one that is longer than maxLine.
func readLine(s *bufio.Reader) ([]byte, error) {
	var b []byte
	long := false
	for {
		chunk, err := s.ReadSlice('\n')
		long = long || len(b)+len(chunk) > maxLine
		if !long {
			b = append(b, chunk...)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if long {
			return []byte(tooLong), err
		}
		return b, err
	}
}

// tooLong replaces a line that is longer than maxLine. It doesn't decode, and so counts as
// skipped.
const tooLong = "(too long)"

// mentions reports whether the line is about the job or worker with the given ID.
func (l *Line) mentions(id string) bool {
	return l.Job == id || l.Worker == id || strings.HasPrefix(l.Task, id+".") || l.Path != "" && strings.HasSuffix(l.Path, "/"+id)
}

// isContext reports whether the line is about no particular job, task, worker or call, but
// about a host's view of the system.
func (l *Line) isContext() bool {
	return l.Job == "" && l.Worker == "" && l.Task == "" && l.Path == ""
}

// contextBefore is how long before the first line about a job or worker a history begins to
// include context lines.
const contextBefore = 2 * time.Second

// History is the part of a log that concerns a job or a worker.
type History struct {
	ID string
	// Lines are the lines about ID, and the context lines from contextBefore the first
	// to the last of them, in the order of their times.
	Lines []Line
	// Matches counts the lines about ID.
	Matches int
}

// HistoryOf extracts the history of the job or worker with the given ID from lines.
func HistoryOf(id string, lines []Line) History {
	h := History{ID: id}
	var first, last time.Time
	for i := range lines {
		l := &lines[i]
		if !l.mentions(id) {
			continue
		}
		h.Matches++
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	for i := range lines {
		l := &lines[i]
		between := !l.Time.Before(first.Add(-contextBefore)) && !l.Time.After(last)
		if h.Matches > 0 && (l.mentions(id) || l.isContext() && between) {
			h.Lines = append(h.Lines, *l)
		}
	}
	slices.SortStableFunc(h.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return h
}

// Print writes the history as text. Context lines are indented.
func (h *History) Print(w io.Writer) error {
	for i := range h.Lines {
		l := &h.Lines[i]
		mark := ""
		if !l.mentions(h.ID) {
			mark = "    "
		}
		_, err := fmt.Fprintf(w, "%s  %-20s %s%s%s\n", l.Time.Format("15:04:05.000"), l.Host, mark, l.Text, l.formatMembers())
		if err != nil {
			return err
		}
	}
	return nil
}

// formatMembers returns the non-empty members of a line as text, each after a space.
func (l *Line) formatMembers() string {
	var b strings.Builder
	add := func(name string, v any) { fmt.Fprintf(&b, " %s=%v", name, v) }
	if l.Task != "" {
		add("task", l.Task)
		add("run", l.Run)
	}
	if l.Worker != "" {
		add("worker", l.Worker)
	}
	if l.Path != "" {
		add("path", l.Path)
	}
	if l.Pool != "" {
		add("pool", l.Pool)
		add("epoch", l.Epoch)
	}
	names := make([]string, 0, len(l.Fields))
	for k := range l.Fields {
		names = append(names, k)
	}
	slices.Sort(names)
	for _, k := range names {
		if v := l.Fields[k]; v != "" {
			add(k, v)
		}
	}
	return b.String()
}
