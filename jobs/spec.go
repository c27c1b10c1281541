// Package jobs defines the domain types of jobs: the request of a caller, the stored record of
// a job, its outcome and its answer.
package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"
	"time"

	"citronbridge/fault"
	"citronbridge/units"
)

// Limits of a request.
const (
	MaxMembers       = 256
	MaxAccelerators  = 64
	MaxProcessors    = 1024
	MaxMemory        = units.Bytes(16 << 40)
	MaxArguments     = 64
	MaxArgumentBytes = 4 << 10
	MaxInputBytes    = 64 << 10
	MaxRunTime       = 30 * 24 * time.Hour
	MaxRetries       = 10
)

// Adjacency is the smallest part of the fleet that must hold a whole gang.
type Adjacency string

// The adjacencies from the narrowest to the widest.
const (
	AdjacentHost       Adjacency = "Host"
	AdjacentRack       Adjacency = "Rack"
	AdjacentDataCentre Adjacency = "DataCentre"
)

// Valid reports whether a is one of the known adjacencies.
func (a Adjacency) Valid() bool {
	return a == AdjacentHost || a == AdjacentRack || a == AdjacentDataCentre
}

// Room is an amount of a target's resources. Slots limit how many tasks run at once.
type Room struct {
	Accelerators int         `yaml:"Accelerators"`
	Processors   int         `yaml:"Processors"`
	Memory       units.Bytes `yaml:"Memory"`
	Slots        int         `yaml:"Slots" json:",omitempty"`
}

// Fits reports whether r is no larger than o in any dimension.
func (r Room) Fits(o Room) bool {
	return r.Accelerators <= o.Accelerators && r.Processors <= o.Processors && r.Memory <= o.Memory && r.Slots <= o.Slots
}

// Plus returns the sum of r and o.
func (r Room) Plus(o Room) Room {
	return Room{r.Accelerators + o.Accelerators, r.Processors + o.Processors, r.Memory + o.Memory, r.Slots + o.Slots}
}

// Minus returns r less o. Dimensions may become negative.
func (r Room) Minus(o Room) Room {
	return Room{r.Accelerators - o.Accelerators, r.Processors - o.Processors, r.Memory - o.Memory, r.Slots - o.Slots}
}

// Times returns r multiplied by n.
func (r Room) Times(n int) Room {
	return Room{r.Accelerators * n, r.Processors * n, r.Memory * units.Bytes(n), r.Slots * n}
}

// Shape describes a gang: Members tasks that need the room Each, placed within Adjacency.
type Shape struct {
	Members   int       `yaml:"Members"`
	Each      Room      `yaml:"Each"`
	Adjacency Adjacency `yaml:"Adjacency"`
}

// Accelerators returns the number of accelerators of the whole gang.
func (s Shape) Accelerators() int { return s.Members * s.Each.Accelerators }

// String describes the shape in words.
func (s Shape) String() string {
	return fmt.Sprintf("%d x %d accelerators in one %s", s.Members, s.Each.Accelerators, s.Adjacency)
}

// Check returns the faults of the shape.
func (s Shape) Check() fault.List {
	var l fault.List
	l.CheckRange("Members", int64(s.Members), 1, MaxMembers)
	l.CheckRange("Each.Accelerators", int64(s.Each.Accelerators), 0, MaxAccelerators)
	l.CheckRange("Each.Processors", int64(s.Each.Processors), 0, MaxProcessors)
	l.CheckRange("Each.Memory", int64(s.Each.Memory), 0, int64(MaxMemory))
	l.Check(s.Each.Slots == 0 || s.Each.Slots == 1, "Each.Slots", s.Each.Slots, "left out: a task takes one slot")
	l.Check(s.Adjacency.Valid(), "Adjacency", s.Adjacency, "Host, Rack or DataCentre")
	return l
}

// Key identifies a request throughout the system. The same ID in another client account is
// another request.
type Key struct {
	Account string
	ID      string
}

// String returns the text form Account/ID.
func (k Key) String() string { return k.Account + "/" + k.ID }

// Spec is the request of a caller.
type Spec struct {
	// ID is the caller's request ID, unique within its client account.
	ID string
	// Account is the client account, set from the caller's token.
	Account string
	// Caller names the caller within the account.
	Caller string
	// Kind is the name of one of the manifest's kinds of work.
	Kind  string
	Shape Shape
	// NonIdempotent marks a request that must run at most once.
	NonIdempotent bool `json:",omitempty"`
	// Checkpoints says that the job can be stopped at a checkpoint and resumed from it.
	Checkpoints bool `json:",omitempty"`
	// RunTime is the run time that the caller expects.
	RunTime units.Duration
	// StartBy is the time after which the job must not start. Zero means no limit.
	StartBy units.Time `json:",omitzero"`
	// Retries is how often an idempotent job is repeated after it failed.
	Retries int `json:",omitempty"`
	// Arguments and Input are passed to each task without being interpreted.
	Arguments []string `json:",omitempty"`
	Input     []byte   `json:",omitempty"`
}

var (
	idPattern   = regexp.MustCompile(`^[A-Za-z0-9._~-]{1,128}$`)
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
)

// ValidName reports whether s is a valid name of an account, caller, kind, host or data
// centre.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// ValidID reports whether s is a valid request ID.
func ValidID(s string) bool { return idPattern.MatchString(s) }

// IDRule describes what ValidID accepts.
const IDRule = "1 to 128 letters, digits, dots, underscores, tildes or hyphens"

// NameRule describes what ValidName accepts.
const NameRule = "1 to 64 letters, digits, dots, underscores or hyphens, a letter or digit first"

// Key returns the key of the request.
func (s *Spec) Key() Key { return Key{s.Account, s.ID} }

// Check returns the faults of the request.
func (s *Spec) Check() fault.List {
	var l fault.List
	l.Check(ValidID(s.ID), "ID", s.ID, IDRule)
	l.Check(s.Account == "" || ValidName(s.Account), "Account", s.Account, NameRule)
	l.Check(ValidName(s.Caller), "Caller", s.Caller, NameRule)
	l.Check(ValidName(s.Kind), "Kind", s.Kind, NameRule)
	l = append(l, s.Shape.Check().WithPrefix("Shape.")...)
	l.Check(s.RunTime.D() > 0 && s.RunTime.D() <= MaxRunTime, "RunTime", s.RunTime, "a duration above 0s, at most "+MaxRunTime.String())
	l.CheckRange("Retries", int64(s.Retries), 0, MaxRetries)
	l.Check(!s.NonIdempotent || s.Retries == 0, "Retries", s.Retries, "0 for a non-idempotent job")
	l.Check(len(s.Arguments) <= MaxArguments, "Arguments", len(s.Arguments), fmt.Sprintf("at most %d arguments", MaxArguments))
	for i, a := range s.Arguments {
		l.Check(len(a) <= MaxArgumentBytes, fmt.Sprintf("Arguments[%d]", i), len(a), fmt.Sprintf("at most %d bytes", MaxArgumentBytes))
	}
	l.Check(len(s.Input) <= MaxInputBytes, "Input", len(s.Input), fmt.Sprintf("at most %d bytes", MaxInputBytes))
	return l
}

// Digest returns a hash of the whole request, which distinguishes a repeated request from a
// conflicting one with the same ID.
func (s *Spec) Digest() (string, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return "", fmt.Errorf("encode job %s: %w", s.Key(), err)
	}
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:]), nil
}

// TaskRoom returns the room that one member takes, its slot included.
func (s *Spec) TaskRoom() Room {
	r := s.Shape.Each
	r.Slots = 1
	return r
}
