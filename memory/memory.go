// Package memory derives the Go runtime's memory limit from the memory that a process may use.
package memory

import "runtime/debug"

// softShare is the share of a process's memory that is set as the Go runtime's soft limit. The rest
// is left for memory that the runtime doesn't count, and for the time the collector needs.
const softShare = 0.7

// SetLimit sets the Go runtime's soft limit for a process that may use size bytes.
func SetLimit(size int64) { debug.SetMemoryLimit(int64(softShare * float64(size))) }
