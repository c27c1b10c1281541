//go:build !race

package itest

// raceEnabled tells whether the programs under test are built with the race detector.
const raceEnabled = false
