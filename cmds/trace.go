package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"

	"citronbridge/loads"
	"citronbridge/trace"
)

// stdinName stands for standard input among the files of --log.
const stdinName = "-"

// explainLogs prints the history of a job or a worker, found by its ID in the log
// files of --log.
func (a *app) explainLogs() error {
	all, skipped, err := a.readLogs()
	if err != nil {
		return err
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

// runRecord prints the load that the log files of --log describe.
func (a *app) runRecord() error {
	if len(a.logs) == 0 {
		return &exitError{ExitInvalid, errors.New("no log given; pass --log FILE, or --log - for standard input")}
	}
	all, skipped, err := a.readLogs()
	if err != nil {
		return err
	}
	l := loads.Record(all)
	if len(l.Jobs) == 0 {
		return &exitError{ExitRefused, fmt.Errorf("none of the %d log lines tells of a job that a decider received (%d more lines are too long or not of a host's log)", len(all), skipped)}
	}
	return l.Write(a.out)
}

// readLogs reads the log files of --log. It also returns how many of their lines were skipped.
func (a *app) readLogs() ([]trace.Line, int, error) {
	var all []trace.Line
	skipped := 0
	for _, f := range a.logs {
		l, n, err := a.readLog(f)
		if err != nil {
			return nil, 0, &exitError{ExitInvalid, err}
		}
		all = append(all, l...)
		skipped += n
	}
	return all, skipped, nil
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
