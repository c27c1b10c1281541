package cmds

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"citronbridge/logs"
	"citronbridge/node"
	"citronbridge/platform"
)

// nodeCommand declares the command node, which runs a host on the users' platform.
func (a *app) nodeCommand(add attachFunc) command {
	s := flaggy.NewSubcommand("node")
	s.Description = "Run one host on the users' platform: node --settings node.yaml"
	s.String(&a.settingsFile, "", "settings", "The platform's settings file; the default is the path in the environment variable "+platform.SettingsVariable+".")
	add(s, 1)
	return command{s, (*app).runNode}
}

// runNode runs one host until SIGTERM or SIGINT begins a planned stop. SIGHUP
// reloads the settings file, also if it seems unchanged.
func (a *app) runNode() error {
	// Signals are caught before the host starts, since the default action of one
	// that arrives during the start would end the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	file := a.settingsFile
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	if file == "" {
		return &exitError{ExitInvalid, errors.New("node needs --settings FILE or " + platform.SettingsVariable)}
	}
	s, err := platform.LoadSettings(file)
	if err != nil {
		return inputError(err)
	}
	w := logs.NewWriter(a.out)
	defer w.Close()
	log := logs.New(w)
	h, err := node.New(node.Config{Settings: s, SettingsFile: file, Log: log, DroppedLogLines: w.Dropped})
	if err != nil {
		return &exitError{ExitFailed, err}
	}
	go func() {
		for g := range signals {
			if g != syscall.SIGHUP {
				h.Drain()
				continue
			}
			h.Reload(true)
		}
	}()
	if err := h.Run(context.Background()); err != nil {
		return &exitError{ExitFailed, err}
	}
	return nil
}
