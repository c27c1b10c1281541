package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"citronbridge/config"
	"citronbridge/demo"
	"citronbridge/fault"
	"citronbridge/host"
	"citronbridge/platform"
	"citronbridge/rules"
)

var errNoSubcommand = errors.New("no subcommand given; pass propose, show or history")

// runServe runs one host until SIGTERM or SIGINT begins a planned stop. A second
// signal doesn't shorten the planned stop.
func (a *app) runServe() error {
	if a.settingsFile == "" {
		return &exitError{ExitInvalid, errors.New("serve needs --settings FILE")}
	}
	s, err := config.Load(a.settingsFile)
	if err != nil {
		return inputError(err)
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return &exitError{ExitInvalid, err}
	}
	h, err := host.New(s, zerolog.New(a.errOut).Level(level).With().Timestamp().Logger())
	if err != nil {
		return &exitError{ExitFailed, err}
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	go func() {
		for range signals {
			h.Drain()
		}
	}()
	if err := h.Run(context.Background()); err != nil {
		return &exitError{ExitFailed, err}
	}
	return nil
}

// inputError returns err, an error of reading an input file, as one that exits with
// ExitInvalid. A list of faults already does.
func inputError(err error) error {
	var l fault.List
	if errors.As(err, &l) {
		return err
	}
	return &exitError{ExitInvalid, err}
}

// runCheck checks the files given and returns the faults of all of them, or only the
// error of a file that can't be read.
func (a *app) runCheck() error {
	if a.settingsFile == "" && a.manifestFile == "" && a.nodeFile == "" {
		return &exitError{ExitInvalid, errors.New("check needs --settings FILE, --manifest FILE or --node FILE")}
	}
	var all fault.List
	for _, f := range []struct {
		file string
		load func(string) error
	}{{a.settingsFile, checkSettings}, {a.manifestFile, checkManifest}, {a.nodeFile, checkNode}} {
		if f.file == "" {
			continue
		}
		err := f.load(f.file)
		var l fault.List
		switch {
		case errors.As(err, &l):
			all = append(all, l...)
		case err != nil:
			return inputError(err)
		default:
			fmt.Fprintf(a.out, "%s: no faults\n", f.file)
		}
	}
	return all.Err()
}

func checkSettings(file string) error {
	_, err := config.Load(file)
	return err
}

func checkNode(file string) error {
	_, err := platform.LoadSettings(file)
	return err
}

func checkManifest(file string) error {
	_, err := loadManifest(file)
	return err
}

// loadManifest reads a manifest file and checks it.
func loadManifest(file string) (*rules.Manifest, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read manifest: %w", err)
	}
	m := &rules.Manifest{}
	if err := fault.DecodeYAML(file, b, m); err != nil {
		return nil, err
	}
	return m, nil
}

// runDemo starts a deployment in this process and runs two gangs on it. With --keep
// the deployment then stays up until an interrupt.
func (a *app) runDemo() error {
	d := &demo.Demo{Out: a.out, Err: a.errOut}
	ctx, cancel := context.WithTimeout(context.Background(), demo.Timeout)
	defer cancel()
	if err := d.Start(ctx); err != nil {
		return &exitError{ExitFailed, err}
	}
	defer d.Stop()
	err := d.RunGangs(ctx)
	if errors.Is(err, demo.ErrNotDone) {
		return &exitError{ExitNotDone, err}
	}
	if err != nil || !a.keepRunning {
		return err
	}
	fmt.Fprintln(a.out, "The deployment stays up until interrupted.")
	s := make(chan os.Signal, 1)
	signal.Notify(s, os.Interrupt)
	<-s
	return nil
}
