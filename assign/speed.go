package assign

import (
	"math"
	"slices"
)

const (
	// speedClassWidth is the width, as a logarithm, of the classes into which speeds are divided, a
	// factor of 1.42. In replays, smaller differences matter less than that free capacity stays in
	// one piece.
	speedClassWidth = 0.35
	// tightSpeed is the NeededSpeed from which on a unit goes to the fastest workers first. Other
	// units go to the slowest, so that the fast ones are free for those that need them.
	tightSpeed = 0.5
)

// speed returns the worker's speed relative to a typical worker, 1 if it isn't known.
func (w *Worker) speed() float64 {
	if w.Speed <= 0 {
		return 1
	}
	return w.Speed
}

// speedClass returns the class of the worker's speed, 0 for a typical one.
func (w *Worker) speedClass() int { return int(math.Round(math.Log(w.speed()) / speedClassWidth)) }

// speedOrder ranks workers by their speed for the unit, lowest first.
func (u *Unit) speedOrder(w *Worker) int {
	if u.NeededSpeed >= tightSpeed {
		return -w.speedClass()
	}
	return w.speedClass()
}

// tryFastGang places a gang on workers that are fast enough for it to end in time, and reports
// whether it did. It answers pools of workers of unequal speed, where a gang ends when its slowest
// member does.
func (p *planner) tryFastGang(u *Unit) bool {
	if !p.unequal || u.NeededSpeed <= 0 {
		return false
	}
	u.minSpeed = u.NeededSpeed
	defer func() { u.minSpeed = 0 }()
	racks := p.byLocality(u, p.racks)
	return p.placeGangOnRack(u, racks) || !u.Step.SameRack && p.placeGangOn(u, slices.Concat(racks...))
}
