// Package claims decides which cells this host decides for: it takes a cell
// whose decider is gone, and gives up one that another host has taken.
package claims

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronbridge/cells"
	"citronbridge/fleet"
	"citronbridge/ledger"
	"citronbridge/setup"
	"citronbridge/wire"
)

// Bounds of taking cells.
const (
	checkPeriod = 200 * time.Millisecond
	// settleIn is how long a new host lets others speak before it takes cells.
	settleIn = time.Second
	// isolatedWait is how long a host that sees no other waits in addition.
	isolatedWait = 5 * time.Second
	// fencedWait is how long a host keeps off a cell that was taken from it.
	fencedWait = 3 * time.Second
	// takeWait is how long a takeover that was seen in the table service gets
	// before another is tried.
	takeWait    = time.Second
	takeTimeout = 10 * time.Second
)

// Manager decides which cells this host decides for.
type Manager struct {
	c       setup.Config
	started time.Time
	poke    chan struct{}

	mu       sync.Mutex
	cells    map[string]*cells.Cell
	taking   map[string]bool
	holders  map[string]ledger.Owner
	keepOff  map[string]time.Time
	lastPeer time.Time
	draining bool
}

// New returns a Manager that decides for no cell yet.
func New(c setup.Config) (*Manager, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	c.Bounds = c.Bounds.WithDefaults()
	n := c.Timer.Now()
	return &Manager{
		c: c, started: n, lastPeer: n, poke: make(chan struct{}, 1),
		cells: map[string]*cells.Cell{}, taking: map[string]bool{},
		holders: map[string]ledger.Owner{}, keepOff: map[string]time.Time{},
	}, nil
}

// Poke makes the manager look at the cells now.
func (m *Manager) Poke() {
	select {
	case m.poke <- struct{}{}:
	default:
	}
}

// Run keeps cells until ctx ends, then gives up those it has.
func (m *Manager) Run(ctx context.Context) {
	s := m.c.Timer.Every(checkPeriod, func(time.Time) { m.Poke() })
	defer s.Cancel()
	for {
		select {
		case <-ctx.Done():
			m.release()
			return
		case <-m.poke:
			m.check(ctx)
		}
	}
}

// release gives up all cells.
func (m *Manager) release() {
	m.mu.Lock()
	l := m.cells
	m.cells = map[string]*cells.Cell{}
	m.mu.Unlock()
	for _, c := range l {
		c.Close()
	}
}

// Drain makes the manager take no more cells and start nothing new. It goes on
// deciding for those it has until another host takes them.
func (m *Manager) Drain() {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for _, c := range m.Cells() {
		c.Quiesce()
	}
}

// Quiet reports whether no gang is between reservation and start, so that a
// handover cuts none short.
func (m *Manager) Quiet() bool {
	for _, c := range m.Cells() {
		if c.Launching() {
			return false
		}
	}
	return true
}

// Cell returns the cell of that name if this host decides for it, or nil.
func (m *Manager) Cell(name string) *cells.Cell {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cells[name]
}

// Cells returns the cells that this host decides for.
func (m *Manager) Cells() []*cells.Cell {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := make([]*cells.Cell, 0, len(m.cells))
	for _, c := range m.cells {
		l = append(l, c)
	}
	slices.SortFunc(l, func(a, b *cells.Cell) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return l
}

// Holder returns the host that decides for a cell as far as is known, or "".
func (m *Manager) Holder(cell string) string {
	if m.Cell(cell) != nil {
		return m.c.Host
	}
	host, epoch := "", int64(0)
	for _, b := range m.c.Live() {
		for _, h := range b.Holds {
			if h.Cell == cell && h.Epoch > epoch {
				host, epoch = b.Host, h.Epoch
			}
		}
	}
	return host
}

// check looks at every cell once.
func (m *Manager) check(ctx context.Context) {
	live := m.c.Live()
	now := m.c.Timer.Now()
	m.mu.Lock()
	if len(live) > 0 || len(m.c.Hosts.Hosts(fleet.Entry)) <= 1 {
		m.lastPeer = now
	}
	m.mu.Unlock()
	for _, cell := range m.c.Hosts.Cells() {
		m.checkCell(ctx, cell, live, now)
	}
}

func (m *Manager) checkCell(ctx context.Context, cell string, live []*wire.Heartbeat, now time.Time) {
	m.mu.Lock()
	m.note(cell, live)
	own := m.cells[cell]
	seen := m.holders[cell]
	take := own == nil && !m.taking[cell] && m.shouldTake(cell, live, now)
	if take {
		m.taking[cell] = true
	}
	m.mu.Unlock()
	if own != nil && seen.Epoch > own.Epoch() {
		m.drop(own, "taken by "+seen.Host)
	}
	if take {
		go m.take(ctx, cell, seen)
	}
}

// note remembers who claims a cell under the highest epoch. The lock is held.
func (m *Manager) note(cell string, live []*wire.Heartbeat) {
	for _, b := range live {
		for _, h := range b.Holds {
			if h.Cell == cell && h.Epoch > m.holders[cell].Epoch {
				m.holders[cell] = ledger.Owner{Host: b.Host, Epoch: h.Epoch}
			}
		}
	}
}

// shouldTake reports whether this host should decide for a cell. The lock is
// held.
func (m *Manager) shouldTake(cell string, live []*wire.Heartbeat, now time.Time) bool {
	if m.draining || m.c.Storeless() || now.Sub(m.started) < settleIn || now.Before(m.keepOff[cell]) {
		return false
	}
	if len(live) == 0 && now.Sub(m.lastPeer) > checkPeriod && now.Sub(m.lastPeer) < isolatedWait {
		return false
	}
	holder := m.holders[cell].Host
	// A holder that is heard and doesn't claim the cell doesn't hold it: its
	// takeover failed behind the table transaction. One that only others hear
	// may be cut off from here alone.
	heard := holder == m.c.Host || slices.ContainsFunc(live, func(b *wire.Heartbeat) bool { return b.Host == holder })
	for _, b := range live {
		claims := slices.ContainsFunc(b.Holds, func(h *wire.CellClaim) bool { return h.Cell == cell })
		if claims && !yields(b) {
			return false
		}
		if !heard && slices.Contains(b.Sees, holder) {
			return false
		}
	}
	return m.preferred(cell, live) == m.c.Host
}

// yields reports whether a host's cells should go to another: it leaves, or it
// doesn't reach the table service, without which it can't record anything.
func yields(b *wire.Heartbeat) bool { return b.Leaving || b.Storeless }

// preferred returns the live host with the highest rendezvous hash for a cell.
// Hosts in its data centre go before others.
func (m *Manager) preferred(cell string, live []*wire.Heartbeat) string {
	best, near, top := m.c.Host, m.c.DataCentre == cell, rendezvous(cell, m.c.Host)
	for _, b := range live {
		if yields(b) {
			continue
		}
		n, s := b.DataCentre == cell, rendezvous(cell, b.Host)
		if n && !near || n == near && s > top {
			best, near, top = b.Host, n, s
		}
	}
	return best
}

func rendezvous(cell, host string) uint64 { return xxhash.Sum64String(cell + "\x00" + host) }

// take makes this host the decider of a cell.
func (m *Manager) take(ctx context.Context, cell string, seen ledger.Owner) {
	defer func() {
		m.mu.Lock()
		delete(m.taking, cell)
		m.mu.Unlock()
	}()
	began := m.c.Timer.Now()
	x, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	h, err := m.c.Records.Acquire(x, cell, m.c.Host, seen)
	if err != nil {
		if errors.Is(err, ledger.ErrChanged) {
			m.relearn(x, cell)
		}
		return
	}
	var c *cells.Cell
	c = cells.New(&m.c, h, began, func(why string) { m.drop(c, why) })
	if err := c.Recover(x); err != nil {
		m.c.Log.Warn().Str("cell", cell).Int64("epoch", h.Epoch).Err(err).Msg("cell not recovered")
		c.Close()
		return
	}
	m.mu.Lock()
	m.cells[cell] = c
	m.holders[cell] = ledger.Owner{Host: m.c.Host, Epoch: h.Epoch}
	m.mu.Unlock()
	c.Run()
	m.c.Meter.Epoch.WithLabelValues(cell).Set(float64(h.Epoch))
	m.c.Meter.Takeover.Observe(m.c.Timer.Now().Sub(began).Seconds())
	m.c.Log.Info().Str("cell", cell).Int64("epoch", h.Epoch).Int("jobs", c.Size()).Msg("cell taken")
}

// relearn reads who owns a cell after another host was faster.
func (m *Manager) relearn(ctx context.Context, cell string) {
	o, err := m.c.Records.Owner(ctx, cell)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Epoch > m.holders[cell].Epoch {
		m.holders[cell] = o
		// The new owner may still be at its takeover.
		m.keepOff[cell] = m.c.Timer.Now().Add(takeWait)
	}
}

// drop gives up a cell that another host has taken.
func (m *Manager) drop(c *cells.Cell, why string) {
	m.mu.Lock()
	m.keepOff[c.Name] = m.c.Timer.Now().Add(fencedWait)
	mine := m.cells[c.Name] == c
	if mine {
		delete(m.cells, c.Name)
	}
	m.mu.Unlock()
	if !mine {
		return
	}
	go c.Close()
	m.c.Meter.Epoch.WithLabelValues(c.Name).Set(0)
	m.c.Log.Info().Str("cell", c.Name).Int64("epoch", c.Epoch()).Str("why", why).Msg("cell given up")
}

// Held returns the cells held, for heartbeats.
func (m *Manager) Held() []*wire.CellClaim {
	var l []*wire.CellClaim
	for _, c := range m.Cells() {
		l = append(l, &wire.CellClaim{Cell: c.Name, Epoch: c.Epoch(), Free: int64(c.Free())})
	}
	return l
}
