package cmds

import (
	"fmt"
	"io"
	"os"

	"citronbridge/trace"
)

// stdinName names standard input among files.
const stdinName = "-"

// explainLogs tells the history of a job or a worker from log lines.
func (a *app) explainLogs() error {
	var all []trace.Line
	skipped := 0
	for _, f := range a.logs {
		l, n, err := a.readLog(f)
		if err != nil {
			return &exitError{ExitInvalid, err}
		}
		all = append(all, l...)
		skipped += n
	}
	h := trace.Of(a.id, all)
	if h.About == 0 {
		return &exitError{ExitRefused, fmt.Errorf("none of %d lines names %s (%d others aren't of this log)", len(all), a.id, skipped)}
	}
	var failed error
	if err := a.printResult(h.Lines, func(w io.Writer) { failed = h.Print(w) }); err != nil {
		return err
	}
	return failed
}

func (a *app) readLog(file string) ([]trace.Line, int, error) {
	if file == stdinName {
		return trace.Read(a.in)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, 0, fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	return trace.Read(f)
}
