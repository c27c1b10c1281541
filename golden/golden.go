// Package golden compares the output of a test with a golden file. With the flag
// -update the test writes the file first.
package golden

import (
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files")

const fileMode = 0o600

// Check fails the test if got differs from the content of the file.
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
