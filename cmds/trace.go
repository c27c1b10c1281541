package cmds

import (
	"fmt"
	"io"
	"os"

	"citronbridge/trace"
)

// stdinName stands for standard input among the files of --log.
const stdinName = "-"

// explainLogs prints the history of a job or a worker, found by its ID in the log
// files of --log.
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
	h := trace.HistoryOf(a.id, all)
	if h.Matches == 0 {
		return &exitError{ExitRefused, fmt.Errorf("none of the %d log lines names %s (%d more lines are too long or not of a host's log)", len(all), a.id, skipped)}
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
