// Package claims decides for which cells this host is the decider: it acquires a cell whose
// decider is gone, and releases one that another host has acquired.
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

// Periods and time limits of acquiring cells.
const (
	checkPeriod = 200 * time.Millisecond
	// startupWait is how long a new host listens for the heartbeats of others before it
	// acquires cells.
	startupWait = time.Second
	// isolatedWait is how long a host whose peers' heartbeats have all expired waits before it
	// acquires cells, as the peers may still be running.
	isolatedWait = 5 * time.Second
	// fencedBackoff is how long a host doesn't acquire a cell that another host has acquired
	// from it.
	fencedBackoff = 3 * time.Second
	// takeoverWait is how long another host's takeover, seen in the table service, gets to
	// complete before this host tries its own.
	takeoverWait    = time.Second
	takeoverTimeout = 10 * time.Second
)

// Manager acquires and releases the cells for which this host decides.
type Manager struct {
	config        setup.Config
	started       time.Time
	checkRequests chan struct{}

	mu           sync.Mutex
	cells        map[string]*cells.Cell
	acquiring    map[string]bool
	holders      map[string]ledger.Owner
	backoffUntil map[string]time.Time
	lastPeerSeen time.Time
	draining     bool
}

// New returns a Manager without cells. It returns an error if c lacks something that is
// required.
func New(c setup.Config) (*Manager, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	c.Bounds = c.Bounds.WithDefaults()
	n := c.Timer.Now()
	return &Manager{
		config: c, started: n, lastPeerSeen: n, checkRequests: make(chan struct{}, 1),
		cells: map[string]*cells.Cell{}, acquiring: map[string]bool{},
		holders: map[string]ledger.Owner{}, backoffUntil: map[string]time.Time{},
	}, nil
}

// RequestCheck makes Run check all cells soon.
func (m *Manager) RequestCheck() {
	select {
	case m.checkRequests <- struct{}{}:
	default:
	}
}

// Run checks the cells every checkPeriod and on request until ctx ends, then releases all.
func (m *Manager) Run(ctx context.Context) {
	s := m.config.Timer.Every(checkPeriod, func(time.Time) { m.RequestCheck() })
	defer s.Cancel()
	for {
		select {
		case <-ctx.Done():
			m.releaseAll()
			return
		case <-m.checkRequests:
			m.check(ctx)
		}
	}
}

// releaseAll stops this host's work on all its cells.
func (m *Manager) releaseAll() {
	m.mu.Lock()
	l := m.cells
	m.cells = map[string]*cells.Cell{}
	m.mu.Unlock()
	for _, c := range l {
		c.Close()
	}
}

// Drain makes the manager acquire no more cells and start no more jobs. It stays the decider
// of its cells until other hosts acquire them.
func (m *Manager) Drain() {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for _, c := range m.Cells() {
		c.Quiesce()
	}
}

// NoneLaunching reports whether no gang is being launched, so that a handover interrupts no
// launch.
func (m *Manager) NoneLaunching() bool {
	for _, c := range m.Cells() {
		if c.Launching() {
			return false
		}
	}
	return true
}

// Cell returns the cell with the given name if this host decides for it, or nil.
func (m *Manager) Cell(name string) *cells.Cell {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cells[name]
}

// Cells returns the cells for which this host decides, ordered by name.
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

// Holder returns the host that decides for a cell according to the latest heartbeats, or "" if
// none claims it.
func (m *Manager) Holder(cell string) string {
	if m.Cell(cell) != nil {
		return m.config.Host
	}
	host, epoch := "", int64(0)
	for _, b := range m.config.LivePeers() {
		for _, h := range b.Holds {
			if h.Cell == cell && h.Epoch > epoch {
				host, epoch = b.Host, h.Epoch
			}
		}
	}
	return host
}

// check checks every cell once.
func (m *Manager) check(ctx context.Context) {
	live := m.config.LivePeers()
	now := m.config.Timer.Now()
	m.mu.Lock()
	if len(live) > 0 || len(m.config.Hosts.Hosts(fleet.Entry)) <= 1 {
		m.lastPeerSeen = now
	}
	m.mu.Unlock()
	for _, cell := range m.config.Hosts.Cells() {
		m.checkCell(ctx, cell, live, now)
	}
}

// checkCell releases a cell that another host holds under a higher epoch, and begins to
// acquire one that this host should hold.
func (m *Manager) checkCell(ctx context.Context, cell string, live []*wire.Heartbeat, now time.Time) {
	m.mu.Lock()
	m.recordHolder(cell, live)
	held := m.cells[cell]
	owner := m.holders[cell]
	acquire := held == nil && !m.acquiring[cell] && m.shouldAcquire(cell, live, now)
	if acquire {
		m.acquiring[cell] = true
	}
	m.mu.Unlock()
	if held != nil && owner.Epoch > held.Epoch() {
		m.releaseFenced(held, "acquired by "+owner.Host)
	}
	if acquire {
		go m.acquire(ctx, cell, owner)
	}
}

// recordHolder records the host that claims a cell under the highest epoch. The caller holds
// mu.
func (m *Manager) recordHolder(cell string, live []*wire.Heartbeat) {
	for _, b := range live {
		for _, h := range b.Holds {
			if h.Cell == cell && h.Epoch > m.holders[cell].Epoch {
				m.holders[cell] = ledger.Owner{Host: b.Host, Epoch: h.Epoch}
			}
		}
	}
}

// shouldAcquire reports whether this host should acquire a cell. The caller holds mu.
func (m *Manager) shouldAcquire(cell string, live []*wire.Heartbeat, now time.Time) bool {
	if m.draining || m.config.Storeless() || now.Sub(m.started) < startupWait || now.Before(m.backoffUntil[cell]) {
		return false
	}
	if len(live) == 0 && now.Sub(m.lastPeerSeen) > checkPeriod && now.Sub(m.lastPeerSeen) < isolatedWait {
		return false
	}
	holder := m.holders[cell].Host
	// A holder whose heartbeats arrive without a claim doesn't hold the cell: its takeover
	// failed after the table transaction. A holder that only other hosts receive heartbeats
	// from may be disconnected from this host alone.
	holderVisible := holder == m.config.Host || slices.ContainsFunc(live, func(b *wire.Heartbeat) bool { return b.Host == holder })
	for _, b := range live {
		claims := slices.ContainsFunc(b.Holds, func(h *wire.CellClaim) bool { return h.Cell == cell })
		if claims && !shouldRelinquish(b) {
			return false
		}
		if !holderVisible && slices.Contains(b.Sees, holder) {
			return false
		}
	}
	return m.preferredHost(cell, live) == m.config.Host
}

// shouldRelinquish reports whether a host's cells should go to another host: it is leaving, or
// it can't reach the table service and so can't record anything.
func shouldRelinquish(b *wire.Heartbeat) bool { return b.Leaving || b.Storeless }

// preferredHost returns the live host, this one included, with the highest rendezvous hash for
// a cell. Hosts in the cell's data centre are preferred.
func (m *Manager) preferredHost(cell string, live []*wire.Heartbeat) string {
	best, bestLocal, bestHash := m.config.Host, m.config.DataCentre == cell, rendezvousHash(cell, m.config.Host)
	for _, b := range live {
		if shouldRelinquish(b) {
			continue
		}
		n, s := b.DataCentre == cell, rendezvousHash(cell, b.Host)
		if n && !bestLocal || n == bestLocal && s > bestHash {
			best, bestLocal, bestHash = b.Host, n, s
		}
	}
	return best
}

// rendezvousHash returns the rendezvous hash of a host for a cell.
func rendezvousHash(cell, host string) uint64 { return xxhash.Sum64String(cell + "\x00" + host) }

// acquire makes this host the decider of a cell, unless another host has acquired it after the
// given owner did. An owner with epoch 0 is unknown and isn't compared.
func (m *Manager) acquire(ctx context.Context, cell string, owner ledger.Owner) {
	defer func() {
		m.mu.Lock()
		delete(m.acquiring, cell)
		m.mu.Unlock()
	}()
	began := m.config.Timer.Now()
	x, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	h, err := m.config.Records.Acquire(x, cell, m.config.Host, owner)
	if err != nil {
		if errors.Is(err, ledger.ErrChanged) {
			m.refreshOwner(x, cell)
		}
		return
	}
	var c *cells.Cell
	c = cells.New(&m.config, h, began, func(reason string) { m.releaseFenced(c, reason) })
	if err := c.Recover(x); err != nil {
		m.config.Log.Warn().Str("cell", cell).Int64("epoch", h.Epoch).Err(err).Msg("cell acquired but its state could not be read; takeover will be retried")
		c.Close()
		return
	}
	m.mu.Lock()
	m.cells[cell] = c
	m.holders[cell] = ledger.Owner{Host: m.config.Host, Epoch: h.Epoch}
	m.mu.Unlock()
	c.Run()
	m.config.Meter.Epoch.WithLabelValues(cell).Set(float64(h.Epoch))
	m.config.Meter.Takeover.Observe(m.config.Timer.Now().Sub(began).Seconds())
	m.config.Log.Info().Str("cell", cell).Int64("epoch", h.Epoch).Int("jobs", c.JobCount()).Msg("cell taken")
}

// refreshOwner reads the owner of a cell from the table service after another host has
// acquired it first.
func (m *Manager) refreshOwner(ctx context.Context, cell string) {
	o, err := m.config.Records.Owner(ctx, cell)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Epoch > m.holders[cell].Epoch {
		m.holders[cell] = o
		// The new owner may not have completed its takeover yet.
		m.backoffUntil[cell] = m.config.Timer.Now().Add(takeoverWait)
	}
}

// releaseFenced releases a cell that another host has acquired, and doesn't acquire it again
// for fencedBackoff.
func (m *Manager) releaseFenced(c *cells.Cell, reason string) {
	m.mu.Lock()
	m.backoffUntil[c.Name] = m.config.Timer.Now().Add(fencedBackoff)
	current := m.cells[c.Name] == c
	if current {
		delete(m.cells, c.Name)
	}
	m.mu.Unlock()
	if !current {
		return
	}
	go c.Close()
	m.config.Meter.Epoch.WithLabelValues(c.Name).Set(0)
	m.config.Log.Info().Str("cell", c.Name).Int64("epoch", c.Epoch()).Str("why", reason).Msg("cell released: another host has acquired it")
}

// HeldCells returns the claims of this host for its heartbeats.
func (m *Manager) HeldCells() []*wire.CellClaim {
	var l []*wire.CellClaim
	for _, c := range m.Cells() {
		l = append(l, &wire.CellClaim{Cell: c.Name, Epoch: c.Epoch(), Free: int64(c.FreeAccelerators())})
	}
	return l
}
