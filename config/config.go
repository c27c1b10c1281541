// Package config reads and checks the settings of one host from a YAML file.
package config

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/certs"
	"citronbridge/entry"
	"citronbridge/fault"
	"citronbridge/jobs"
	"citronbridge/rules"
	"citronbridge/setup"
	"citronbridge/state"
	"citronbridge/units"
)

// Settings is the configuration of one host, as written by an operator.
type Settings struct {
	// Host is the name of this host, unique in the deployment.
	Host       string `yaml:"Host"`
	DataCentre string `yaml:"DataCentre"`
	// HTTPAddress is the listen address for callers and operators, PeerAddress
	// the one for other hosts. Both are an IP number and a port.
	HTTPAddress string   `yaml:"HTTPAddress"`
	PeerAddress string   `yaml:"PeerAddress"`
	Platform    Platform `yaml:"Platform"`
	// OperatorTokenHash is the SHA-256 of the operators' bearer token, in
	// lower-case hexadecimal digits.
	OperatorTokenHash string `yaml:"OperatorTokenHash"`
	// PlainTCP allows unencrypted connections on addresses other than loopback.
	PlainTCP bool `yaml:"PlainTCP"`
	// TLS names the certificate files. If they are set, the connections of
	// callers and those between hosts are encrypted.
	TLS      certs.Files `yaml:"TLS"`
	LogLevel string      `yaml:"LogLevel"`
	Bounds   Bounds      `yaml:"Bounds"`
	Store    Store       `yaml:"Store"`
	Limits   Limits      `yaml:"Limits"`
	// Policy turns off single rules of placement, to compare results with and
	// without them.
	Policy state.Policy `yaml:"Policy"`
}

// Platform holds the base URLs of the platform's services: the table service, the
// object store and the list of hosts.
type Platform struct {
	Table   string `yaml:"Table"`
	Objects string `yaml:"Objects"`
	Hosts   string `yaml:"Hosts"`
}

// Store limits this host's calls of the table service, retries included.
type Store struct {
	CallsPerSecond int `yaml:"CallsPerSecond"`
}

// Limits are the resources that the process may use.
type Limits struct {
	// Memory is the memory that the process may use. A share of it is the Go runtime's soft
	// limit, see package memory.
	Memory units.Bytes `yaml:"Memory"`
	// Descriptors is the maximum number of open files and connections of the process.
	Descriptors int `yaml:"Descriptors"`
}

// Bounds are the leases, timeouts and poll intervals of a host. The fields from
// Lease to Probe are described at setup.Bounds.
type Bounds struct {
	Lease            units.Duration `yaml:"Lease"`
	Start            units.Duration `yaml:"Start"`
	Arm              units.Duration `yaml:"Arm"`
	Checkpoint       units.Duration `yaml:"Checkpoint"`
	Stop             units.Duration `yaml:"Stop"`
	Confirm          units.Duration `yaml:"Confirm"`
	Offer            units.Duration `yaml:"Offer"`
	Probe            units.Duration `yaml:"Probe"`
	Heartbeat        units.Duration `yaml:"Heartbeat"`
	HeartbeatTimeout units.Duration `yaml:"HeartbeatTimeout"`
	LongPoll         units.Duration `yaml:"LongPoll"`
	ManifestPoll     units.Duration `yaml:"ManifestPoll"`
	HostListPoll     units.Duration `yaml:"HostListPoll"`
	// DrainGrace is the least time that a host in a planned stop still accepts new
	// connections.
	DrainGrace units.Duration `yaml:"DrainGrace"`
	// DrainLimit bounds the whole planned stop, from Drain until requests in flight
	// are no longer waited for.
	DrainLimit units.Duration `yaml:"DrainLimit"`
}

// Defaults returns the default settings. Names, addresses, URLs and the token's
// hash have no default, so an operator has to set them.
func Defaults() Settings {
	d := func(t time.Duration) units.Duration { return units.Duration(t) }
	return Settings{
		LogLevel: "info",
		Store:    Store{CallsPerSecond: 200},
		Limits:   Limits{Memory: 512 << 20, Descriptors: 4096},
		Bounds: Bounds{
			Lease: d(setup.DefaultLease), Start: d(setup.DefaultStart), Arm: d(setup.DefaultArm), Checkpoint: d(setup.DefaultCheckpoint),
			Stop: d(setup.DefaultStop), Confirm: d(setup.DefaultConfirm), Offer: d(setup.DefaultOffer), Probe: d(setup.DefaultProbe),
			Heartbeat: d(400 * time.Millisecond), HeartbeatTimeout: d(1500 * time.Millisecond),
			LongPoll: d(entry.DefaultMaxWait), ManifestPoll: d(2 * time.Second), HostListPoll: d(500 * time.Millisecond),
			DrainGrace: d(time.Second), DrainLimit: d(30 * time.Second),
		},
	}
}

var _ fault.Checker = (*Settings)(nil)

// Load reads a settings file, fills in defaults and checks the result.
func Load(file string) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Decode(file, b)
}

// Decode decodes YAML over the default settings and checks the result. The name
// file is used in errors only.
func Decode(file string, b []byte) (*Settings, error) {
	s := Defaults()
	if err := fault.DecodeYAML(file, b, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Check returns all faults of the settings.
func (s *Settings) Check() fault.List {
	var l fault.List
	l.Check(jobs.ValidName(s.Host), "Host", s.Host, jobs.NameRule)
	l.Check(jobs.ValidName(s.DataCentre), "DataCentre", s.DataCentre, jobs.NameRule)
	s.checkAddress(&l, "HTTPAddress", s.HTTPAddress)
	s.checkAddress(&l, "PeerAddress", s.PeerAddress)
	l.Check(s.HTTPAddress == "" || s.HTTPAddress != s.PeerAddress || s.httpPortIsZero(), "PeerAddress", s.PeerAddress, "another address than HTTPAddress")
	s.checkTLS(&l)
	checkURL(&l, "Platform.Table", s.Platform.Table)
	checkURL(&l, "Platform.Objects", s.Platform.Objects)
	checkURL(&l, "Platform.Hosts", s.Platform.Hosts)
	l.Check(rules.ValidHash(s.OperatorTokenHash), "OperatorTokenHash", s.OperatorTokenHash, rules.HashRule)
	_, err := zerolog.ParseLevel(s.LogLevel)
	l.Check(err == nil && s.LogLevel != "", "LogLevel", s.LogLevel, "trace, debug, info, warn, error or disabled")
	l.CheckRange("Store.CallsPerSecond", int64(s.Store.CallsPerSecond), 1, 100000)
	l.Check(s.Limits.Memory >= minMemory && s.Limits.Memory <= maxMemory, "Limits.Memory", s.Limits.Memory, fmt.Sprintf("an amount of memory from %s to %s", minMemory, maxMemory))
	l.CheckRange("Limits.Descriptors", int64(s.Limits.Descriptors), minDescriptors, maxDescriptors)
	return append(l, s.Bounds.check().WithPrefix("Bounds.")...)
}

// TLSEnabled reports whether connections are encrypted, which is so if any
// certificate file is named.
func (s *Settings) TLSEnabled() bool { return s.TLS != certs.Files{} }

func (s *Settings) checkTLS(l *fault.List) {
	if !s.TLSEnabled() {
		return
	}
	for _, f := range [][2]string{{"TLS.Certificate", s.TLS.Certificate}, {"TLS.Key", s.TLS.Key}, {"TLS.Authority", s.TLS.Authority}} {
		i, err := os.Stat(f[1])
		l.Check(err == nil && i.Mode().IsRegular(), f[0], f[1], "a PEM file that can be read")
	}
}

func (s *Settings) httpPortIsZero() bool {
	a, err := netip.ParseAddrPort(s.HTTPAddress)
	return err == nil && a.Port() == 0
}

func (s *Settings) checkAddress(l *fault.List, field, v string) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		l.Add(field, v, "an IP number and a port, such as 10.0.0.1:8080")
		return
	}
	l.Check(a.Addr().IsLoopback() || s.PlainTCP || s.TLSEnabled(), field, v, "a loopback address, unless TLS names files or PlainTCP is true")
}

func checkURL(l *fault.List, field, v string) {
	u, err := url.Parse(v)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Path == "" && net.ParseIP(u.Hostname()) != nil
	l.Check(ok, field, v, "a URL of scheme http or https, an IP number and a port")
}

// The ranges of Limits. The lower ends leave room for clients and other hosts beside what an idle
// host uses itself.
const (
	minMemory      = units.Bytes(64 << 20)
	maxMemory      = units.Bytes(1 << 40)
	minDescriptors = 256
	maxDescriptors = 1 << 20
)

// The range that each duration of Bounds must lie in.
const (
	minBound = 10 * time.Millisecond
	maxBound = 10 * time.Minute
)

func (b *Bounds) check() fault.List {
	var l fault.List
	for _, f := range []struct {
		name string
		v    units.Duration
	}{
		{"Lease", b.Lease}, {"Start", b.Start}, {"Arm", b.Arm}, {"Checkpoint", b.Checkpoint}, {"Stop", b.Stop}, {"Confirm", b.Confirm},
		{"Offer", b.Offer}, {"Probe", b.Probe}, {"Heartbeat", b.Heartbeat}, {"HeartbeatTimeout", b.HeartbeatTimeout},
		{"LongPoll", b.LongPoll}, {"ManifestPoll", b.ManifestPoll}, {"HostListPoll", b.HostListPoll},
		{"DrainGrace", b.DrainGrace}, {"DrainLimit", b.DrainLimit},
	} {
		l.Check(f.v.D() >= minBound && f.v.D() <= maxBound, f.name, f.v, fmt.Sprintf("a duration from %s to %s", minBound, maxBound))
	}
	l.Check(b.HeartbeatTimeout >= 2*b.Heartbeat, "HeartbeatTimeout", b.HeartbeatTimeout, "twice Heartbeat or more")
	l.Check(b.Confirm > b.ManifestPoll, "Confirm", b.Confirm, "more than ManifestPoll")
	l.Check(b.Lease >= 3*b.Start, "Lease", b.Lease, "three times Start or more")
	l.Check(b.Start >= 2*b.Arm, "Start", b.Start, "twice Arm or more")
	return l
}

// DeciderBounds returns the bounds that apply to a decider.
func (b *Bounds) DeciderBounds() setup.Bounds {
	return setup.Bounds{
		Lease: b.Lease.D(), Start: b.Start.D(), Arm: b.Arm.D(), Checkpoint: b.Checkpoint.D(), Stop: b.Stop.D(),
		Confirm: b.Confirm.D(), Offer: b.Offer.D(), Probe: b.Probe.D(),
	}
}
