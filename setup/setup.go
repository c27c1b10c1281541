// Package setup holds the configuration of a decider: its time limits, and interfaces to the
// rows, the list of hosts, the targets and the object store.
package setup

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/blobs"
	"citronbridge/fleet"
	"citronbridge/jobs"
	"citronbridge/ledger"
	"citronbridge/meter"
	"citronbridge/rules"
	"citronbridge/state"
	"citronbridge/target"
	"citronbridge/timer"
	"citronbridge/wire"
)

// records reads and writes the rows of jobs and cells.
type records interface {
	Owner(ctx context.Context, cell string) (ledger.Owner, error)
	Acquire(ctx context.Context, cell, host string, seen ledger.Owner) (ledger.Ownership, error)
	ListOpen(ctx context.Context, cell string) ([]jobs.Key, error)
	LoadAll(ctx context.Context, keys []jobs.Key) ([]ledger.Entry, int, error)
	Load(ctx context.Context, k jobs.Key) (ledger.Entry, error)
	Update(ctx context.Context, h ledger.Ownership, e ledger.Entry) (int64, error)
	Move(ctx context.Context, h ledger.Ownership, e ledger.Entry, cell string) (int64, error)
}

// hosts lists the hosts, targets included, and the cells.
type hosts interface {
	Targets(cell string) []fleet.Host
	Cells() []string
	Hosts(r fleet.Role) []fleet.Host
}

// Conn is a connection to one target. Fence makes it accept only orders of this epoch or a
// later one, Watch renews the leases and waits for changes after the sequence number since, and
// Send delivers orders.
type Conn interface {
	Fence(ctx context.Context, epoch int64) (target.Report, error)
	Watch(ctx context.Context, epoch, since int64, wait time.Duration) (target.Report, error)
	Send(ctx context.Context, epoch int64, orders []target.Order) ([]target.Refusal, error)
}

// objects reads large outputs from the object store.
type objects interface {
	Get(ctx context.Context, name string) ([]byte, error)
}

var (
	_ objects = (*blobs.Client)(nil)
	_ records = (*ledger.Ledger)(nil)
	_ hosts   = (*fleet.View)(nil)
	_ Conn    = (*target.Client)(nil)
)

// Config is what a claims.Manager needs.
type Config struct {
	Host       string
	DataCentre string
	Records    records
	Objects    objects
	Hosts      hosts
	Revisions  *rules.RevisionCache
	Timer      *timer.Service
	Meter      *meter.Set
	Log        zerolog.Logger
	// Storeless reports whether this host has failed to reach the table service for so long
	// that other hosts should acquire its cells.
	Storeless func() bool
	// LivePeers returns the latest heartbeats of the other hosts, without those that have
	// expired.
	LivePeers func() []*wire.Heartbeat
	// Connect returns a connection to a target whose renewals last for lease.
	Connect func(h fleet.Host, lease time.Duration) Conn
	// NotifyMoved notifies the decider of a cell that a job was moved to it. If it is nil, no
	// job is moved.
	NotifyMoved func(cell string, k jobs.Key)
	Policy      state.Policy
	Bounds      Bounds
}

// Bounds are the time limits of a decider.
type Bounds struct {
	// Lease is how long a target keeps tasks running without a renewal.
	Lease time.Duration
	// Start is how long a started task runs without its first renewal.
	Start time.Duration
	// Arm is the delay between the start orders of a gang that spans several targets and its
	// start. If one target doesn't answer within half of it, no member of the gang starts.
	Arm time.Duration
	// Checkpoint limits the time to checkpoint a preempted job, Stop the time to stop a job
	// after that.
	Checkpoint time.Duration
	Stop       time.Duration
	// Confirm is how long the manifest may stay unconfirmed before no more jobs are started.
	Confirm time.Duration
	// Offer is how long a job waits before it may be moved to another cell.
	Offer time.Duration
	// Probe is how long a suspect target gets no work before it is probed with one task. The
	// time doubles with each earlier probe.
	Probe time.Duration
}

// Defaults of Bounds.
const (
	DefaultLease      = 10 * time.Second
	DefaultStart      = 2 * time.Second
	DefaultArm        = 200 * time.Millisecond
	DefaultCheckpoint = 2 * time.Second
	DefaultStop       = 2 * time.Second
	DefaultConfirm    = 5 * time.Second
	DefaultOffer      = 3 * time.Second
	DefaultProbe      = 15 * time.Second
)

// WithDefaults returns b with the default for each field that is zero.
func (b Bounds) WithDefaults() Bounds {
	set := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	set(&b.Lease, DefaultLease)
	set(&b.Start, DefaultStart)
	set(&b.Arm, DefaultArm)
	set(&b.Checkpoint, DefaultCheckpoint)
	set(&b.Stop, DefaultStop)
	set(&b.Confirm, DefaultConfirm)
	set(&b.Offer, DefaultOffer)
	set(&b.Probe, DefaultProbe)
	return b
}

// Check returns an error if a required field is not set.
func (c *Config) Check() error {
	if c.Records == nil || c.Objects == nil || c.Hosts == nil || c.Revisions == nil || c.Timer == nil || c.Meter == nil || c.LivePeers == nil || c.Storeless == nil || c.Connect == nil {
		return errors.New("setup: Records, Objects, Hosts, Revisions, Timer, Meter, LivePeers, Storeless and Connect must be set")
	}
	return nil
}

// ConnectHTTP returns a connection over HTTP to the address of a target.
func ConnectHTTP(h fleet.Host, lease time.Duration) Conn {
	return target.NewClient("http://"+h.Address, lease)
}

// FitsEmptyCell reports whether a cell could hold a job if nothing ran there.
func FitsEmptyCell(l hosts, cell string, s *jobs.Spec) bool {
	var t []state.Target
	for _, h := range l.Targets(cell) {
		t = append(t, state.Target{ID: h.ID, Rack: h.Rack, Room: h.Room, Open: true})
	}
	return state.FitsEmpty(t, s)
}
