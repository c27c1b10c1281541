// Package golden compares what a test got with a file. The flag -update writes
// the files.
package golden

import (
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files")

const fileMode = 0o600

// Check fails the test if got isn't what the file holds.
func Check(t testing.TB, file, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(got), fileMode); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
	}
}
