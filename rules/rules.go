// Package rules holds the manifest, by which every host decides: the client accounts, their
// guarantees, the kinds of work and the limits.
package rules

import (
	"fmt"
	"regexp"

	"citronbridge/fault"
	"citronbridge/jobs"
)

// Limits of a manifest.
const (
	MaxAccounts   = 1000
	MaxGuarantees = 64
	MaxKinds      = 32
	// maxFaults is how many faults of a manifest are reported, and those of one more account.
	maxFaults   = 1000
	MaxRate     = 100000
	MaxOpenJobs = 100000
)

// Manifest holds the rules of one deployment. It is always adopted as a whole.
type Manifest struct {
	// Kinds are the kinds of work, the most urgent one first.
	Kinds []Kind `yaml:"Kinds"`
	// CastingVote names the account that wins ties between accounts.
	CastingVote string    `yaml:"CastingVote"`
	Accounts    []Account `yaml:"Accounts"`
}

// Kind is a kind of work.
type Kind struct {
	Name string `yaml:"Name"`
	// FloorPercent is a share of a cell's accelerators. While the kind holds less, its waiting
	// jobs go before those of more urgent kinds.
	FloorPercent int `yaml:"FloorPercent"`
}

// Account is a client account.
type Account struct {
	Name string `yaml:"Name"`
	// TokenHash is the SHA-256 of the account's token in hexadecimal.
	TokenHash  string      `yaml:"TokenHash"`
	Guarantees []Guarantee `yaml:"Guarantees"`
	Limits     Limits      `yaml:"Limits"`
}

// Guarantee is a shape for which its account can always reclaim the accelerators.
type Guarantee struct {
	// DataCentre names the cell whose targets back the guarantee.
	DataCentre string     `yaml:"DataCentre"`
	Shape      jobs.Shape `yaml:"Shape"`
}

// Limits limits the requests and jobs of an account. Zero means the default.
type Limits struct {
	// RequestsPerSecond and Burst limit the rate of new requests of the account.
	RequestsPerSecond int `yaml:"RequestsPerSecond"`
	Burst             int `yaml:"Burst"`
	// CallerRequestsPerSecond and CallerBurst limit the rate of new requests of each caller.
	CallerRequestsPerSecond int `yaml:"CallerRequestsPerSecond"`
	CallerBurst             int `yaml:"CallerBurst"`
	// OpenJobs limits the jobs that wait or run.
	OpenJobs int `yaml:"OpenJobs"`
}

// Defaults of Limits.
const (
	DefaultRate       = 100
	DefaultBurst      = 200
	DefaultCallerRate = 50
	DefaultOpenJobs   = 5000
)

// WithDefaults returns l with the default for each field that is zero.
func (l Limits) WithDefaults() Limits {
	set := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	set(&l.RequestsPerSecond, DefaultRate)
	set(&l.Burst, DefaultBurst)
	set(&l.CallerRequestsPerSecond, DefaultCallerRate)
	set(&l.CallerBurst, DefaultBurst)
	set(&l.OpenJobs, DefaultOpenJobs)
	return l
}

var _ fault.Checker = (*Manifest)(nil)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// HashRule describes what ValidHash accepts.
const HashRule = "a SHA-256 as 64 lower-case hexadecimal digits"

// ValidHash reports whether s has the form of a token hash.
func ValidHash(s string) bool { return hashPattern.MatchString(s) }

// Check returns the faults of the manifest that can be found without knowing the fleet.
func (m *Manifest) Check() fault.List {
	var l fault.List
	l.CheckRange("Kinds", int64(len(m.Kinds)), 1, MaxKinds)
	l.CheckRange("Accounts", int64(len(m.Accounts)), 1, MaxAccounts)
	if len(m.Kinds) > MaxKinds || len(m.Accounts) > MaxAccounts {
		// The faults of all elements would take hundreds of times the bytes of the manifest.
		return l
	}
	l = append(l, m.checkKinds()...)
	names, hashes := map[string]bool{}, map[string]bool{}
	for i, a := range m.Accounts {
		if len(l) >= maxFaults {
			return l
		}
		p := fmt.Sprintf("Accounts[%d].", i)
		l.Check(!names[a.Name], p+"Name", a.Name, "a name that no other account has")
		l.Check(!hashes[a.TokenHash], p+"TokenHash", a.TokenHash, "a hash that no other account has")
		names[a.Name], hashes[a.TokenHash] = true, true
		l = append(l, a.check().WithPrefix(p)...)
	}
	l.Check(names[m.CastingVote], "CastingVote", m.CastingVote, "the name of one of the accounts")
	return l
}

// checkKinds returns the faults of the kinds.
func (m *Manifest) checkKinds() fault.List {
	var l fault.List
	names, sum := map[string]bool{}, 0
	for i, k := range m.Kinds {
		p := fmt.Sprintf("Kinds[%d].", i)
		l.Check(jobs.ValidName(k.Name), p+"Name", k.Name, jobs.NameRule)
		l.Check(!names[k.Name], p+"Name", k.Name, "a name that no other kind has")
		l.CheckRange(p+"FloorPercent", int64(k.FloorPercent), 0, 100)
		names[k.Name] = true
		sum += k.FloorPercent
	}
	l.Check(sum <= 100, "Kinds", sum, "floors that add up to 100 percent at most")
	return l
}

// check returns the faults of an account.
func (a *Account) check() fault.List {
	var l fault.List
	l.Check(jobs.ValidName(a.Name), "Name", a.Name, jobs.NameRule)
	l.Check(ValidHash(a.TokenHash), "TokenHash", a.TokenHash, HashRule)
	l.CheckRange("Guarantees", int64(len(a.Guarantees)), 0, MaxGuarantees)
	if len(a.Guarantees) > MaxGuarantees {
		return l
	}
	for i, g := range a.Guarantees {
		p := fmt.Sprintf("Guarantees[%d].", i)
		l.Check(jobs.ValidName(g.DataCentre), p+"DataCentre", g.DataCentre, jobs.NameRule)
		l.Check(g.Shape.Each.Accelerators > 0, p+"Shape.Each.Accelerators", g.Shape.Each.Accelerators, "1 accelerator or more")
		l = append(l, g.Shape.Check().WithPrefix(p+"Shape.")...)
	}
	l.CheckRange("Limits.RequestsPerSecond", int64(a.Limits.RequestsPerSecond), 0, MaxRate)
	l.CheckRange("Limits.Burst", int64(a.Limits.Burst), 0, MaxRate)
	l.CheckRange("Limits.CallerRequestsPerSecond", int64(a.Limits.CallerRequestsPerSecond), 0, MaxRate)
	l.CheckRange("Limits.CallerBurst", int64(a.Limits.CallerBurst), 0, MaxRate)
	l.CheckRange("Limits.OpenJobs", int64(a.Limits.OpenJobs), 0, MaxOpenJobs)
	return l
}

// Account returns the account with the given name, or nil.
func (m *Manifest) Account(name string) *Account {
	for i := range m.Accounts {
		if m.Accounts[i].Name == name {
			return &m.Accounts[i]
		}
	}
	return nil
}

// Urgency returns the index of a kind in the order of urgency, 0 being the most urgent, or -1
// if there is no such kind.
func (m *Manifest) Urgency(kind string) int {
	for i, k := range m.Kinds {
		if k.Name == kind {
			return i
		}
	}
	return -1
}

// Revision is one accepted manifest.
type Revision struct {
	// Number is one higher than that of the revision before.
	Number   int64
	Manifest Manifest
	// Proposal identifies the proposal that was accepted.
	Proposal string
}

// Check returns the faults of a revision that was read.
func (r *Revision) Check() fault.List {
	var l fault.List
	l.Check(r.Number > 0, "Number", r.Number, "1 or more")
	return append(l, r.Manifest.Check().WithPrefix("Manifest.")...)
}
