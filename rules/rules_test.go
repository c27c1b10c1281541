package rules

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"citronbridge/fault"
	"citronbridge/golden"
)

// TestBadManifest checks that every fault of a file is told in one run.
func TestBadManifest(t *testing.T) {
	b, err := os.ReadFile("testdata/bad.yaml")
	if err != nil {
		t.Fatal(err)
	}
	err = fault.DecodeYAML("bad.yaml", b, &Manifest{})
	if err == nil {
		t.Fatal("no faults found")
	}
	golden.Check(t, "testdata/bad.golden", err.Error()+"\n")
}

// TestRevisionCache checks that a book never goes back, and tells how long ago its
// revision was confirmed.
func TestRevisionCache(t *testing.T) {
	b, n := NewRevisionCache(), time.Unix(1000, 0)
	b.Confirm(1, n)
	if b.Fresh(n, time.Second) {
		t.Error("fresh without a revision")
	}
	for _, x := range []struct {
		number  int64
		adopted bool
	}{{2, true}, {1, false}, {2, false}, {3, true}} {
		if got := b.Adopt(&Revision{Number: x.number}, n); got != x.adopted {
			t.Errorf("adopt %d: %t", x.number, got)
		}
	}
	b.Confirm(4, n)
	if b.Fresh(n, time.Second) {
		t.Error("confirmed by a revision that the book doesn't have")
	}
	b.Confirm(3, n)
	if !b.Fresh(n.Add(time.Second), time.Second) || b.Fresh(n.Add(2*time.Second), time.Second) {
		t.Error("freshness doesn't last as long as it should")
	}
}

// FuzzRevision feeds the decoder of revisions anything.
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
			t.Errorf("revision doesn't survive: %v", err)
		}
	})
}
