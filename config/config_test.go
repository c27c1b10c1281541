package config

import (
	"os"
	"testing"

	"citronbridge/golden"
)

// TestBadSettings checks that a single load reports every fault of a file, each
// with line, field, value and the values allowed.
func TestBadSettings(t *testing.T) {
	_, err := Load("testdata/bad.yaml")
	if err == nil {
		t.Fatal("Load accepted testdata/bad.yaml, which has faults")
	}
	golden.Check(t, "testdata/bad.golden", err.Error()+"\n")
}

// TestExamples checks that the example settings files are valid.
func TestExamples(t *testing.T) {
	for _, f := range []string{"../examples/kelani/host.yaml", "../examples/agency/host.yaml"} {
		if _, err := Load(f); err != nil {
			t.Errorf("%s: %v", f, err)
		}
	}
}

// FuzzSettings checks that the decoder doesn't panic on arbitrary input, and that
// settings it accepts have no faults.
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
			t.Error("Decode accepted settings that Check finds faults in")
		}
	})
}
