package assign

// waiver says what a unit that has waited for too long no longer waits for.
type waiver int

const (
	waiveNothing waiver = iota
	// waivePlace: its preferred rack, a single rack, and room that isn't reserved.
	waivePlace
	// waiveWorker: also workers on which no runs have failed or were slow.
	waiveWorker
)

// waivers returns the waivers with which to try to place the unit, in order.
func (u *Unit) waivers() []waiver {
	if u.Starved || u.Overdue {
		return []waiver{waiveNothing, waivePlace, waiveWorker}
	}
	return []waiver{waiveNothing}
}
