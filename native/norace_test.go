//go:build !race

package native

const raceEnabled = false
