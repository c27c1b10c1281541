package model

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Machine is a machine that hosts one worker.
type Machine struct {
	ID, Pool string
	// Worker is the ID of its worker.
	Worker string

	// replacements is how many workers have replaced the first one.
	replacements int
	// token and holder are the highest fencing token of its orders, and who used it.
	token  int64
	holder string
	// wavesBegun are the waves for which it has begun maintenance, lastWave the
	// last of them.
	wavesBegun map[int64]bool
	lastWave   int64
	// returnsAt is when its maintenance ends, 0 if it has none now.
	returnsAt time.Duration
}

// Wave is a maintenance wave as the operator requests it. Cap is the largest number
// of its machines that may be in maintenance at once.
type Wave struct {
	N        int64
	Machines []string
	Cap      int
}

// AddMachine adds a machine for a worker.
func (c *Cluster) AddMachine(id, pool, worker string) {
	c.Machines = append(c.Machines, &Machine{ID: id, Pool: pool, Worker: worker, wavesBegun: map[int64]bool{}})
}

// State returns the platform's name for a machine's state.
func (c *Cluster) State(m *Machine) string {
	switch {
	case m.returnsAt > 0:
		return "upkeep"
	case !c.Workers[m.Worker].up:
		return "down"
	}
	return "up"
}

// MaintenanceBegun reports whether a machine has begun its maintenance for a wave.
func (c *Cluster) MaintenanceBegun(machine string, wave int64) bool {
	return slices.ContainsFunc(c.Machines, func(m *Machine) bool { return m.ID == machine && m.wavesBegun[wave] })
}

// Maintain carries out an order to maintain a machine. It returns the reason of a
// refusal, or "" if the maintenance begins or has begun before. It reports a token
// used by two holders, and a wave that exceeds its Cap, to OnViolation.
func (c *Cluster) Maintain(machine string, wave int64, holder string, token int64) string {
	i := slices.IndexFunc(c.Machines, func(m *Machine) bool { return m.ID == machine })
	if i < 0 {
		return "none"
	}
	m := c.Machines[i]
	switch {
	case token >= m.token:
	case !c.Unfenced:
		return "fence"
	case c.OnLowerToken != nil:
		c.OnLowerToken(machine, token, m.token)
	}
	if token == m.token && holder != m.holder {
		c.violation("ONE: %s and %s use token %d for %s", m.holder, holder, token, machine)
	}
	if token >= m.token {
		m.token, m.holder = token, holder
	}
	w := c.Waves[wave]
	switch {
	case m.wavesBegun[wave]:
		return ""
	case !slices.Contains(w.Machines, machine):
		return "wave"
	case c.State(m) != "up":
		return "busy"
	}
	inMaintenance := 0
	for _, o := range c.Machines {
		if o.returnsAt > 0 && o.lastWave == wave {
			inMaintenance++
		}
	}
	if inMaintenance >= w.Cap {
		c.violation("LIMIT: %s begins maintenance while %d machines are down", machine, inMaintenance)
	}
	if c.OnMaintenance != nil {
		c.OnMaintenance(c.Workers[m.Worker])
	}
	m.wavesBegun[wave], m.lastWave, m.returnsAt = true, wave, c.now+c.Bounds.MaintenanceTime
	c.Crash(m.Worker)
	return ""
}

// endMaintenance puts a new worker on each machine whose maintenance is over.
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

// nextReturn returns when the next maintenance ends, and false if there is none.
func (c *Cluster) nextReturn() (time.Duration, bool) {
	at, ok := time.Duration(0), false
	for _, m := range c.Machines {
		if m.returnsAt > 0 && (!ok || m.returnsAt < at) {
			at, ok = m.returnsAt, true
		}
	}
	return at, ok
}
