//go:build !race

package itest

// raceEnabled says that the programs under test are built with the detector.
const raceEnabled = false
