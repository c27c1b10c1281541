package cmds

import (
	"github.com/integrii/flaggy"
)

// attachFunc attaches a subcommand to the parser or to a parent subcommand, at a
// position among the arguments.
type attachFunc func(s *flaggy.Subcommand, position int)

// commands declares all commands and their flags on the parser p.
func (a *app) commands(p *flaggy.Parser) []command {
	attachTop := func(s *flaggy.Subcommand, n int) { p.AttachSubcommand(s, n) }
	l := []command{
		a.serveCommand(attachTop), a.nodeCommand(attachTop), a.demoCommand(attachTop), a.checkCommand(attachTop), a.recordCommand(attachTop),
		a.remoteCommand(attachTop, "submit", "Send the request in FILE (JSON or YAML): submit job.json --host 127.0.0.1:8080", (*app).runSubmit, a.fileArg),
		a.remoteCommand(attachTop, "status", "Print the state of a job: status ID --host 127.0.0.1:8080", (*app).runStatus, a.idArg),
		a.remoteCommand(attachTop, "answer", "Print a job's answer: answer ID --wait 5m --host 127.0.0.1:8080", (*app).runAnswer, a.idArg, a.waitFlag),
		a.remoteCommand(attachTop, "cancel", "Request that a job be stopped: cancel ID --host 127.0.0.1:8080", (*app).runCancel, a.idArg),
		a.remoteCommand(attachTop, "explain", "Explain why a job waits or how it ended: explain ID --host 127.0.0.1:8080, or from hosts' logs: explain ID --log a.log --log b.log", (*app).runExplain, a.idArg, a.logFlag),
		a.remoteCommand(attachTop, "jobs", "List an account's jobs: jobs --host 127.0.0.1:8080", (*app).runJobs),
		a.remoteCommand(attachTop, "hosts", "List the live hosts and their cells.", (*app).runHosts),
		a.remoteCommand(attachTop, "targets", "List the targets with their free accelerators and running jobs.", (*app).runTargets),
		a.remoteCommand(attachTop, "accounts", "List what accounts are guaranteed, use, borrow and lend.", (*app).runAccounts),
		a.remoteCommand(attachTop, "drain", "Begin a planned stop of the host named by --host.", (*app).runDrain),
	}
	return append(l, a.manifestCommands(p)...)
}

// manifestCommands declares the command manifest and its subcommands.
func (a *app) manifestCommands(p *flaggy.Parser) []command {
	m := flaggy.NewSubcommand("manifest")
	m.Description = "Propose and show manifests."
	p.AttachSubcommand(m, 1)
	attachBelow := func(s *flaggy.Subcommand, _ int) { m.AttachSubcommand(s, 1) }
	return []command{
		a.remoteCommand(attachBelow, "propose", "Propose the manifest in FILE: manifest propose m.yaml --base 3 --host 127.0.0.1:8080", (*app).runPropose, a.fileArg, a.baseFlags),
		a.remoteCommand(attachBelow, "show", "Print the manifest in force.", (*app).runShow),
		a.remoteCommand(attachBelow, "history", "List accepted manifests.", (*app).runHistory, a.afterFlag),
		{m, func(a *app) error {
			p.ShowHelp()
			return &exitError{ExitInvalid, errNoSubcommand}
		}},
	}
}

// remoteCommand declares a command that calls the API of hosts, with the flags that
// all of them share and its own ones.
func (a *app) remoteCommand(add attachFunc, name, description string, run func(*app) error, flags ...func(*flaggy.Subcommand)) command {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	s.StringSlice(&a.hosts, "", "host", "IP number and port of a host; repeat it to name hosts to try if one doesn't answer.")
	s.String(&a.token, "", "token", "Bearer token; the default is the value of the environment variable CITRONBRIDGE_TOKEN.")
	s.String(&a.account, "", "account", "The client account that the call concerns, if the token is an operator's.")
	s.String(&a.authority, "", "authority", "PEM file of the authority that signed the hosts' certificates; without it connections aren't encrypted.")
	s.Bool(&a.printJSON, "", "json", "Print JSON.")
	for _, f := range flags {
		f(s)
	}
	add(s, 1)
	return command{s, run}
}

func (a *app) fileArg(s *flaggy.Subcommand) {
	s.AddPositionalValue(&a.file, "FILE", 1, true, "The file to read.")
}

func (a *app) idArg(s *flaggy.Subcommand) {
	s.AddPositionalValue(&a.id, "ID", 1, true, "The request ID.")
}

func (a *app) waitFlag(s *flaggy.Subcommand) {
	s.Duration(&a.wait, "", "wait", "How long to wait for the job to end.")
}

func (a *app) logFlag(s *flaggy.Subcommand) {
	s.StringSlice(&a.logs, "", "log", "A log file of hosts, - for standard input; may be repeated. ID may also be that of a worker.")
}

func (a *app) baseFlags(s *flaggy.Subcommand) {
	s.Int(&a.base, "", "base", "The revision that the proposal is based on; the default is the one in force.")
	s.String(&a.proposalID, "", "id", "The proposal's ID; the default is a hash of the manifest and its base.")
}

func (a *app) afterFlag(s *flaggy.Subcommand) {
	s.Int(&a.after, "", "after", "List the revisions with higher numbers than this one.")
}

func (a *app) serveCommand(add attachFunc) command {
	s := flaggy.NewSubcommand("serve")
	s.Description = "Run one host: serve --settings host.yaml"
	s.String(&a.settingsFile, "", "settings", "The settings file.")
	add(s, 1)
	return command{s, (*app).runServe}
}

func (a *app) demoCommand(add attachFunc) command {
	s := flaggy.NewSubcommand("demo")
	s.Description = "Run a whole deployment on loopback ports, with two gangs: demo --keep leaves it up."
	s.Bool(&a.keepRunning, "", "keep", "Leave the deployment up until interrupted.")
	add(s, 1)
	return command{s, (*app).runDemo}
}

func (a *app) recordCommand(add attachFunc) command {
	s := flaggy.NewSubcommand("record")
	s.Description = "Print the load of a pool as JSON, from its hosts' logs: record --log a.log --log b.log"
	s.StringSlice(&a.logs, "", "log", "A log file of hosts, - for standard input; may be repeated.")
	add(s, 1)
	return command{s, (*app).runRecord}
}

func (a *app) checkCommand(add attachFunc) command {
	s := flaggy.NewSubcommand("check")
	s.Description = "Check files: check --settings host.yaml, check --manifest m.yaml, check --node node.yaml"
	s.String(&a.settingsFile, "", "settings", "The settings file.")
	s.String(&a.nodeFile, "", "node", "The settings file of a host on the users' platform.")
	s.String(&a.manifestFile, "", "manifest", "The manifest file.")
	add(s, 1)
	return command{s, (*app).runCheck}
}
