// Package trace tells the history of a job or a worker from the log lines of
// all hosts.
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

// maxLine bounds one line of a log, in bytes. Longer ones are left out.
const maxLine = 1 << 20

// Line is one line of a host's log.
type Line struct {
	// Time is by the host's clock; hosts' clocks may differ.
	Time time.Time
	Host string
	// Text is what happened.
	Text string
	// Job, Task and Worker name what the line is about; each may be empty.
	Job, Task, Worker string
	// Path is that of a call that was rejected.
	Path string
	// Pool and Epoch are the decider's, Run is the run of a task.
	Pool       string
	Epoch, Run int64
	// Fields is the other members, by name.
	Fields map[string]any
}

// namedMembers are the members of a line that have fields of their own.
var namedMembers = []string{"time", "host", "message", "job", "task", "worker", "path", "pool", "epoch", "run", "level"}

// Decode reads one line. What stands before its first brace, such as the name
// of a machine or a time that a collector adds, is left out. It reports false
// for a line that isn't of this log.
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

// Read reads lines until r ends. It returns how many were of no use: not of
// this log, or too long.
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

// readLine returns a line, or tooLong for one that is.
func readLine(s *bufio.Reader) ([]byte, error) {
	var b []byte
	long := false
	for {
		part, err := s.ReadSlice('\n')
		long = long || len(b)+len(part) > maxLine
		if !long {
			b = append(b, part...)
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

// tooLong stands for a line that was left out.
const tooLong = "(too long)"

// mentions reports whether the line names a job or a worker.
func (l *Line) mentions(id string) bool {
	return l.Job == id || l.Worker == id || strings.HasPrefix(l.Task, id+".") || l.Path != "" && strings.HasSuffix(l.Path, "/"+id)
}

// isContext reports whether the line tells what the hosts believed, of no one
// job or worker.
func (l *Line) isContext() bool {
	return l.Job == "" && l.Worker == "" && l.Task == "" && l.Path == ""
}

// contextBefore is how long before the first line about a job or a worker what
// the hosts believed is told too.
const contextBefore = 2 * time.Second

// History is what the lines tell of a job or a worker.
type History struct {
	ID string
	// Lines are in the order of their times, with those between that tell
	// what the hosts believed.
	Lines []Line
	// Matches counts the lines that name ID.
	Matches int
}

// HistoryOf returns the history of a job or a worker.
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

// Print writes the history for people: lines that name no job and no worker
// are set back.
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

// formatMembers returns the members of a line that say something.
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
