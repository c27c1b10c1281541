package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronbridge/event"
)

const (
	// speedsPause is the shortest time between two writes of learnt speeds. A successor learns anew
	// what it lacks.
	speedsPause = 5 * time.Second
	// speedShards is the number of rows into which learnt speeds are divided, so that a row of one
	// of 3,700 workers stays well below the store's limit.
	speedShards = 16
)

// saveSpeeds requests the writes of learnt speeds that have changed. In a pool of equal workers
// there is nothing to save.
func (s *State) saveSpeeds() {
	if s.Now.Steady < s.nextSpeeds {
		return
	}
	s.nextSpeeds = s.Now.Steady + speedsPause
	if !s.Speeds.Unequal() {
		return
	}
	n, slowest, fastest := s.Speeds.Known()
	s.Emit(event.SpeedsKnown{Workers: n, Slowest: slowest, Fastest: fastest})
	l := s.Speeds.Unsaved(func(id string) int { return int(xxhash.Sum64String(id) % speedShards) })
	for _, i := range slices.Sorted(maps.Keys(l)) {
		s.Emit(event.SaveSpeeds{Shard: i, Speeds: l[i]})
	}
}
