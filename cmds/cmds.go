// Package cmds implements the commands of the program citronbridge.
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

// Exit statuses of the program.
const (
	ExitOK = 0
	// ExitFailed is an internal or an input/output error.
	ExitFailed = 1
	// ExitInvalid is an invalid input file, request or command line.
	ExitInvalid = 2
	// ExitSuperseded is a conflict: a proposal whose base revision is no longer in
	// force, or a request whose ID a different request has.
	ExitSuperseded = 3
	// ExitRefused is a call that a host refused for another reason, or a job or
	// worker that no given log names.
	ExitRefused = 4
	// ExitUnavailable means that no host could serve the call.
	ExitUnavailable = 5
	// ExitNotDone is a job that ended with another outcome than Done, or hasn't
	// ended yet.
	ExitNotDone = 6
)

// version is the version that --version prints.
const version = "0.1.0"

// app holds the streams, arguments and flags of one run of the program.
type app struct {
	in          io.Reader
	out, errOut io.Writer

	settingsFile, manifestFile string
	file, id, proposalID       string
	hosts, logs                []string
	nodeFile                   string
	token, account             string
	// authority is the path of a PEM file, "" for unencrypted connections.
	authority              string
	printJSON, keepRunning bool
	wait                   time.Duration
	// base is -1 if the base of a proposal is the revision in force.
	base, after int
}

// command is a subcommand and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(*app) error
}

// exitError is an error with the exit status of the program.
type exitError struct {
	status int
	error
}

// Unwrap returns the error without its exit status.
func (e *exitError) Unwrap() error { return e.error }

// Run parses the arguments, runs the command that they name and returns the exit
// status of the program.
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

// exitStatus prints an error, with the faults that a host reported, and returns
// its exit status. An error without a status, fault or answer of a host counts as
// ExitUnavailable.
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

// printResult writes v as JSON if --json is given, and calls text to write it for people
// otherwise.
func (a *app) printResult(v any, text func(w io.Writer)) error {
	if !a.printJSON {
		text(a.out)
		return nil
	}
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// tlsConfig returns a configuration that trusts the authority of --authority, or
// nil for unencrypted connections.
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
		return nil, errors.New("read authority: no certificate in " + a.authority)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: p}, nil
}

// newClient returns a client of the hosts given by --host.
func (a *app) newClient() (*client.Client, error) {
	if len(a.hosts) == 0 {
		return nil, &exitError{ExitInvalid, errors.New("no host given; pass --host, such as --host 127.0.0.1:8080")}
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
