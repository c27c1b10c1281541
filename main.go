// Command citronbridge schedules jobs that need several accelerators, under
// guarantees to client accounts.
package main

import (
	"os"

	"citronbridge/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}
