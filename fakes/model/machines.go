package model

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Machine is what a worker lives on.
type Machine struct {
	ID, Pool string
	// Worker is the ID of its worker.
	Worker string

	replacements int
	token        int64
	holder       string
	// wavesBegun are the waves of which it has begun its upkeep, wave the last.
	wavesBegun map[int64]bool
	lastWave   int64
	// returnsAt is when its upkeep is over, 0 if it has none.
	returnsAt time.Duration
}

// Wave is a wave of upkeep as the operator asks for it.
type Wave struct {
	N        int64
	Machines []string
	Cap      int
}

// AddMachine puts a worker on a machine of its own.
func (c *Cluster) AddMachine(id, pool, worker string) {
	c.Machines = append(c.Machines, &Machine{ID: id, Pool: pool, Worker: worker, wavesBegun: map[int64]bool{}})
}

// State returns a machine's state by its name on the wire.
func (c *Cluster) State(m *Machine) string {
	switch {
	case m.returnsAt > 0:
		return "upkeep"
	case !c.Workers[m.Worker].up:
		return "down"
	}
	return "up"
}

// MaintenanceBegun reports whether a machine has begun its upkeep of a wave.
func (c *Cluster) MaintenanceBegun(machine string, wave int64) bool {
	return slices.ContainsFunc(c.Machines, func(m *Machine) bool { return m.ID == machine && m.wavesBegun[wave] })
}

// Maintain takes an order. It returns the reason of a refusal, or "".
func (c *Cluster) Maintain(machine string, wave int64, holder string, token int64) string {
	i := slices.IndexFunc(c.Machines, func(m *Machine) bool { return m.ID == machine })
	if i < 0 {
		return "none"
	}
	m := c.Machines[i]
	if token < m.token {
		return "fence"
	}
	if token == m.token && holder != m.holder {
		c.violation("ONE: %s and %s use token %d for %s", m.holder, holder, token, machine)
	}
	m.token, m.holder = token, holder
	w := c.Waves[wave]
	switch {
	case m.wavesBegun[wave]:
		return ""
	case !slices.Contains(w.Machines, machine):
		return "wave"
	case c.State(m) != "up":
		return "busy"
	}
	down := 0
	for _, o := range c.Machines {
		if o.returnsAt > 0 && o.lastWave == wave {
			down++
		}
	}
	if down >= w.Cap {
		c.violation("LIMIT: %s begins its upkeep while %d machines are down", machine, down)
	}
	if c.OnMaintenance != nil {
		c.OnMaintenance(c.Workers[m.Worker])
	}
	m.wavesBegun[wave], m.lastWave, m.returnsAt = true, wave, c.now+c.Bounds.MaintenanceTime
	c.Crash(m.Worker)
	return ""
}

// endMaintenance gives machines whose upkeep is over another worker.
func (c *Cluster) endMaintenance() {
	for _, m := range c.Machines {
		if m.returnsAt == 0 || m.returnsAt > c.now {
			continue
		}
		m.returnsAt = 0
		m.replacements++
		old := c.Workers[m.Worker]
		base, _, _ := strings.Cut(old.ID, "+")
		w := &Worker{ID: fmt.Sprintf("%s+%d", base, m.replacements), Born: old.Born + 1, CPU: old.CPU, Memory: old.Memory, Accelerators: old.Accelerators, Overcommits: old.Overcommits, Rate: old.Rate}
		m.Worker = w.ID
		c.Add(c.now, w)
		if c.OnReplacement != nil {
			c.OnReplacement(old, w)
		}
	}
}

// nextReturn returns when a machine comes back, and false if none is away.
func (c *Cluster) nextReturn() (time.Duration, bool) {
	at, ok := time.Duration(0), false
	for _, m := range c.Machines {
		if m.returnsAt > 0 && (!ok || m.returnsAt < at) {
			at, ok = m.returnsAt, true
		}
	}
	return at, ok
}
