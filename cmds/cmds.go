// Package cmds holds the commands of citronbridge.
package cmds

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"citronbridge/client"
	"citronbridge/fault"
)

// Exit statuses.
const (
	ExitOK = 0
	// ExitFailed is an internal or an input/output error.
	ExitFailed = 1
	// ExitInvalid is input with faults, or a wrong command line.
	ExitInvalid = 2
	// ExitSuperseded is a proposal whose base is no longer in force, or a
	// request whose ID another one has.
	ExitSuperseded = 3
	// ExitRefused is a request that a host refused.
	ExitRefused = 4
	// ExitUnavailable says that no host could serve the call.
	ExitUnavailable = 5
	// ExitNotDone is an answer whose outcome isn't Done, or that isn't there yet.
	ExitNotDone = 6
)

// version is what --version prints.
const version = "0.1.0"

// app is one run of the program.
type app struct {
	in          io.Reader
	out, errOut io.Writer

	settingsFile, manifestFile string
	file, id, proposalID       string
	hosts, logs                []string
	nodeFile                   string
	token, account             string
	authority                  string
	printJSON, keepRunning     bool
	wait                       time.Duration
	base, after                int
}

// command is a subcommand and what it does.
type command struct {
	sub *flaggy.Subcommand
	run func(*app) error
}

// exitError is an error with the exit status that it leads to.
type exitError struct {
	status int
	error
}

// Unwrap returns the error itself.
func (e *exitError) Unwrap() error { return e.error }

// Run parses the arguments, runs a command and returns the exit status.
func Run(args []string, out, errOut io.Writer) int {
	a := &app{in: os.Stdin, out: out, errOut: errOut, wait: time.Minute, token: os.Getenv("CITRONBRIDGE_TOKEN"), base: -1}
	p := flaggy.NewParser("citronbridge")
	p.Description = "Schedules jobs that need several accelerators, under guarantees to client accounts."
	p.Version = version
	l := a.commands(p)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitInvalid
	}
	for _, c := range l {
		if c.sub.Used {
			return a.exitStatus(c.run(a))
		}
	}
	p.ShowHelp()
	return ExitInvalid
}

// exitStatus prints an error and returns the status that it leads to.
func (a *app) exitStatus(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(a.errOut, "citronbridge:", err)
	var e *exitError
	var l fault.List
	switch {
	case errors.As(err, &e):
		return e.status
	case errors.As(err, &l):
		return ExitInvalid
	}
	p := client.ProblemOf(err)
	if p == nil {
		return ExitUnavailable
	}
	for _, f := range p.Faults {
		fmt.Fprintln(a.errOut, " ", f)
	}
	switch p.Status {
	case 400, 413:
		return ExitInvalid
	case 409:
		return ExitSuperseded
	case 502, 503:
		return ExitUnavailable
	}
	return ExitRefused
}

// printResult writes v as JSON, or by text if people are to read it.
func (a *app) printResult(v any, text func(w io.Writer)) error {
	if !a.printJSON {
		text(a.out)
		return nil
	}
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// tlsConfig returns how to trust hosts, or nil for unencrypted connections.
func (a *app) tlsConfig() (*tls.Config, error) {
	if a.authority == "" {
		return nil, nil
	}
	b, err := os.ReadFile(a.authority)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, errors.New("no certificate in " + a.authority)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: p}, nil
}

// newClient returns a client of the hosts named on the command line.
func (a *app) newClient() (*client.Client, error) {
	if len(a.hosts) == 0 {
		return nil, &exitError{ExitInvalid, errors.New("name a host with --host, such as --host 127.0.0.1:8080")}
	}
	t, err := a.tlsConfig()
	if err != nil {
		return nil, &exitError{ExitInvalid, err}
	}
	c, err := client.New(a.hosts, a.token, t)
	if err != nil {
		return nil, err
	}
	c.Account = a.account
	return c, nil
}
