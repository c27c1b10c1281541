// Package setup holds what a decider is given: its bounds, and interfaces to the
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

// records keeps the rows of jobs and cells.
type records interface {
	Owner(ctx context.Context, cell string) (ledger.Owner, error)
	Acquire(ctx context.Context, cell, host string, seen ledger.Owner) (ledger.Ownership, error)
	ListOpen(ctx context.Context, cell string) ([]jobs.Key, error)
	LoadAll(ctx context.Context, keys []jobs.Key) ([]ledger.Entry, int, error)
	Load(ctx context.Context, k jobs.Key) (ledger.Entry, error)
	Update(ctx context.Context, h ledger.Ownership, e ledger.Entry) (int64, error)
	Move(ctx context.Context, h ledger.Ownership, e ledger.Entry, cell string) (int64, error)
}

// hosts lists the targets.
type hosts interface {
	Targets(cell string) []fleet.Host
	Cells() []string
	Hosts(r fleet.Role) []fleet.Host
}

// Conn is the conversation with one target.
type Conn interface {
	Fence(ctx context.Context, epoch int64) (target.Report, error)
	Watch(ctx context.Context, epoch, since int64, wait time.Duration) (target.Report, error)
	Send(ctx context.Context, epoch int64, orders []target.Order) ([]target.Refusal, error)
}

// objects holds large outputs.
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
	Book       *rules.Book
	Timer      *timer.Service
	Meter      *meter.Set
	Log        zerolog.Logger
	// Storeless reports whether this host has not reached the table service for
	// long.
	Storeless func() bool
	// Live returns the heartbeats of the other hosts that live.
	Live func() []*wire.Heartbeat
	// Connect returns the conversation with a target.
	Connect func(h fleet.Host, lease time.Duration) Conn
	// Offered tells another cell's decider of a job that was moved to it.
	Offered func(cell string, k jobs.Key)
	Policy  state.Policy
	Bounds  Bounds
}

// Bounds are the times that a decider works by.
type Bounds struct {
	// Lease is how long a target keeps tasks without a renewal.
	Lease time.Duration
	// Start is how long a started task runs without a first renewal.
	Start time.Duration
	// Arm is the delay between the orders to start a gang that spans several
	// targets and its start. A target that doesn't answer in half of it keeps
	// the whole gang from starting.
	Arm time.Duration
	// Checkpoint and Stop bound the steps of making room.
	Checkpoint time.Duration
	Stop       time.Duration
	// Confirm is how long the manifest may go unconfirmed before nothing is
	// started any more.
	Confirm time.Duration
	// Offer is how long a job waits before another cell is tried.
	Offer time.Duration
	// Probe is how long a target that fails everything gets no work.
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

// WithDefaults returns b with zeroes replaced.
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

// Check returns an error if something needed is missing.
func (c *Config) Check() error {
	if c.Records == nil || c.Objects == nil || c.Hosts == nil || c.Book == nil || c.Timer == nil || c.Meter == nil || c.Live == nil || c.Storeless == nil || c.Connect == nil {
		return errors.New("cells: Records, Objects, Hosts, Book, Timer, Meter, Live, Storeless and Connect are needed")
	}
	return nil
}

// ConnectHTTP connects to a target by its address.
func ConnectHTTP(h fleet.Host, lease time.Duration) Conn {
	return target.NewClient("http://"+h.Address, lease)
}

// Holds reports whether a cell could hold a job if it were empty.
func Holds(l hosts, cell string, s *jobs.Spec) bool {
	var t []state.Target
	for _, h := range l.Targets(cell) {
		t = append(t, state.Target{ID: h.ID, Rack: h.Rack, Room: h.Room, Open: true})
	}
	return state.Holds(t, s)
}
