// Package binary builds the programs that tests run as processes.
package binary

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Run builds the programs of packages, runs the tests of m and returns the exit status for
// os.Exit. Each program has the name of its package's last element, in the folder that dir
// is set to before the tests. With race, the programs have the race detector.
func Run(m *testing.M, dir *string, race bool, packages ...string) int {
	d, err := os.MkdirTemp("", "citronbridge")
	if err != nil {
		fmt.Fprintln(os.Stderr, "create folder for programs:", err)
		return 1
	}
	defer os.RemoveAll(d)
	args := []string{"build", "-o", d + string(filepath.Separator)}
	if race {
		args = append(args, "-race")
	}
	b := exec.Command("go", append(args, packages...)...)
	b.Stderr = os.Stderr
	if err := b.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build programs under test:", err)
		return 1
	}
	*dir = d
	return m.Run()
}
