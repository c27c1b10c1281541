package config

import (
	"os"
	"testing"

	"citronbridge/golden"
)

// TestBadSettings checks that every fault of a file is told in one run, with
// line, field, value and what is allowed.
func TestBadSettings(t *testing.T) {
	_, err := Load("testdata/bad.yaml")
	if err == nil {
		t.Fatal("no faults found")
	}
	golden.Check(t, "testdata/bad.golden", err.Error()+"\n")
}

// TestExamples checks the settings in the examples.
func TestExamples(t *testing.T) {
	for _, f := range []string{"../examples/kelani/host.yaml", "../examples/agency/host.yaml"} {
		if _, err := Load(f); err != nil {
			t.Errorf("%s: %v", f, err)
		}
	}
}

// FuzzSettings feeds the decoder of settings anything.
func FuzzSettings(f *testing.F) {
	for _, n := range []string{"testdata/bad.yaml", "../examples/kelani/host.yaml"} {
		b, err := os.ReadFile(n)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode("fuzz", b)
		if err == nil && len(s.Check()) > 0 {
			t.Error("accepted settings with faults")
		}
	})
}
