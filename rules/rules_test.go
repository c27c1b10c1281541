package rules

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"citronbridge/fault"
	"citronbridge/golden"
)

// TestBadManifest checks that one check reports all faults of a file.
func TestBadManifest(t *testing.T) {
	b, err := os.ReadFile("testdata/bad.yaml")
	if err != nil {
		t.Fatal(err)
	}
	err = fault.DecodeYAML("bad.yaml", b, &Manifest{})
	if err == nil {
		t.Fatal("no faults found in testdata/bad.yaml")
	}
	golden.Check(t, "testdata/bad.golden", err.Error()+"\n")
}

// TestRevisionCache checks that a RevisionCache never adopts an older revision, that a newer
// revision than the current one confirms nothing, and that a confirmation is valid for exactly
// the given duration.
func TestRevisionCache(t *testing.T) {
	b, n := NewRevisionCache(), time.Unix(1000, 0)
	b.Confirm(1, n)
	if b.Fresh(n, time.Second) {
		t.Error("cache without a revision reports a fresh one")
	}
	for _, x := range []struct {
		number  int64
		adopted bool
	}{{2, true}, {1, false}, {2, false}, {3, true}} {
		if got := b.Adopt(&Revision{Number: x.number}, n); got != x.adopted {
			t.Errorf("Adopt of revision %d returned %t", x.number, got)
		}
	}
	b.Confirm(4, n)
	if b.Fresh(n, time.Second) {
		t.Error("confirmed by a revision newer than the current one")
	}
	b.Confirm(3, n)
	if !b.Fresh(n.Add(time.Second), time.Second) || b.Fresh(n.Add(2*time.Second), time.Second) {
		t.Error("confirmation is not valid for exactly the given duration")
	}
}

// FuzzRevision checks that a revision that can be decoded can be encoded and decoded again.
func FuzzRevision(f *testing.F) {
	f.Add([]byte(`{"Number":1,"Manifest":{"Kinds":[{"Name":"k"}],"CastingVote":"a","Accounts":[{"Name":"a"}]}}`))
	f.Add([]byte(`{"Number":-1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeRevision(b)
		if err != nil {
			return
		}
		c, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeRevision(c); err != nil {
			t.Errorf("decoded revision can't be decoded again after encoding: %v", err)
		}
	})
}

// TestManyFaults guards against lists of faults that take hundreds of times the memory of the
// manifest.
func TestManyFaults(t *testing.T) {
	for _, x := range []struct{ accounts, guarantees, max int }{{70_000, 0, 1}, {MaxAccounts, MaxGuarantees, 2 * maxFaults}, {1, 70_000, 10}} {
		m := Manifest{Kinds: []Kind{{Name: "k"}}}
		for range x.accounts {
			m.Accounts = append(m.Accounts, Account{Guarantees: make([]Guarantee, x.guarantees)})
		}
		if n := len(m.Check()); n == 0 || n > x.max {
			t.Errorf("%d accounts with %d guarantees: %d faults, want 1 to %d", x.accounts, x.guarantees, n, x.max)
		}
	}
}
