// Package keeper decides which cells this host decides for: it takes a cell
// whose decider is gone, and gives up one that another host has taken.
package keeper

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

// Keeper decides which cells this host decides for.
type Keeper struct {
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

// New returns a Keeper that decides for no cell yet.
func New(c setup.Config) (*Keeper, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	c.Bounds = c.Bounds.WithDefaults()
	n := c.Timer.Now()
	return &Keeper{
		c: c, started: n, lastPeer: n, poke: make(chan struct{}, 1),
		cells: map[string]*cells.Cell{}, taking: map[string]bool{},
		holders: map[string]ledger.Owner{}, keepOff: map[string]time.Time{},
	}, nil
}

// Poke makes the keeper look at the cells now.
func (k *Keeper) Poke() {
	select {
	case k.poke <- struct{}{}:
	default:
	}
}

// Run keeps cells until ctx ends, then gives up those it has.
func (k *Keeper) Run(ctx context.Context) {
	s := k.c.Timer.Every(checkPeriod, func(time.Time) { k.Poke() })
	defer s.Cancel()
	for {
		select {
		case <-ctx.Done():
			k.release()
			return
		case <-k.poke:
			k.check(ctx)
		}
	}
}

// release gives up all cells.
func (k *Keeper) release() {
	k.mu.Lock()
	l := k.cells
	k.cells = map[string]*cells.Cell{}
	k.mu.Unlock()
	for _, c := range l {
		c.Close()
	}
}

// Drain makes the keeper take no more cells and start nothing new. It goes on
// deciding for those it has until another host takes them.
func (k *Keeper) Drain() {
	k.mu.Lock()
	k.draining = true
	k.mu.Unlock()
	for _, c := range k.Cells() {
		c.Quiesce()
	}
}

// Quiet reports whether no gang is between reservation and start, so that a
// handover cuts none short.
func (k *Keeper) Quiet() bool {
	for _, c := range k.Cells() {
		if c.Launching() {
			return false
		}
	}
	return true
}

// Cell returns the cell of that name if this host decides for it, or nil.
func (k *Keeper) Cell(name string) *cells.Cell {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cells[name]
}

// Cells returns the cells that this host decides for.
func (k *Keeper) Cells() []*cells.Cell {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := make([]*cells.Cell, 0, len(k.cells))
	for _, c := range k.cells {
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
func (k *Keeper) Holder(cell string) string {
	if k.Cell(cell) != nil {
		return k.c.Host
	}
	host, epoch := "", int64(0)
	for _, b := range k.c.Live() {
		for _, h := range b.Holds {
			if h.Cell == cell && h.Epoch > epoch {
				host, epoch = b.Host, h.Epoch
			}
		}
	}
	return host
}

// check looks at every cell once.
func (k *Keeper) check(ctx context.Context) {
	live := k.c.Live()
	now := k.c.Timer.Now()
	k.mu.Lock()
	if len(live) > 0 || len(k.c.Hosts.Hosts(fleet.Entry)) <= 1 {
		k.lastPeer = now
	}
	k.mu.Unlock()
	for _, cell := range k.c.Hosts.Cells() {
		k.checkCell(ctx, cell, live, now)
	}
}

func (k *Keeper) checkCell(ctx context.Context, cell string, live []*wire.Heartbeat, now time.Time) {
	k.mu.Lock()
	k.note(cell, live)
	own := k.cells[cell]
	seen := k.holders[cell]
	take := own == nil && !k.taking[cell] && k.shouldTake(cell, live, now)
	if take {
		k.taking[cell] = true
	}
	k.mu.Unlock()
	if own != nil && seen.Epoch > own.Epoch() {
		k.drop(own, "taken by "+seen.Host)
	}
	if take {
		go k.take(ctx, cell, seen)
	}
}

// note remembers who claims a cell under the highest epoch. The lock is held.
func (k *Keeper) note(cell string, live []*wire.Heartbeat) {
	for _, b := range live {
		for _, h := range b.Holds {
			if h.Cell == cell && h.Epoch > k.holders[cell].Epoch {
				k.holders[cell] = ledger.Owner{Host: b.Host, Epoch: h.Epoch}
			}
		}
	}
}

// shouldTake reports whether this host should decide for a cell. The lock is
// held.
func (k *Keeper) shouldTake(cell string, live []*wire.Heartbeat, now time.Time) bool {
	if k.draining || k.c.Storeless() || now.Sub(k.started) < settleIn || now.Before(k.keepOff[cell]) {
		return false
	}
	if len(live) == 0 && now.Sub(k.lastPeer) > checkPeriod && now.Sub(k.lastPeer) < isolatedWait {
		return false
	}
	holder := k.holders[cell].Host
	// A holder that is heard and doesn't claim the cell doesn't hold it: its
	// takeover failed behind the table transaction. One that only others hear
	// may be cut off from here alone.
	heard := holder == k.c.Host || slices.ContainsFunc(live, func(b *wire.Heartbeat) bool { return b.Host == holder })
	for _, b := range live {
		claims := slices.ContainsFunc(b.Holds, func(h *wire.CellClaim) bool { return h.Cell == cell })
		if claims && !yields(b) {
			return false
		}
		if !heard && slices.Contains(b.Sees, holder) {
			return false
		}
	}
	return k.preferred(cell, live) == k.c.Host
}

// yields reports whether a host's cells should go to another: it leaves, or it
// doesn't reach the table service, without which it can't record anything.
func yields(b *wire.Heartbeat) bool { return b.Leaving || b.Storeless }

// preferred returns the live host with the highest rendezvous hash for a cell.
// Hosts in its data centre go before others.
func (k *Keeper) preferred(cell string, live []*wire.Heartbeat) string {
	best, near, top := k.c.Host, k.c.DataCentre == cell, rendezvous(cell, k.c.Host)
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
func (k *Keeper) take(ctx context.Context, cell string, seen ledger.Owner) {
	defer func() {
		k.mu.Lock()
		delete(k.taking, cell)
		k.mu.Unlock()
	}()
	began := k.c.Timer.Now()
	x, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	h, err := k.c.Records.Take(x, cell, k.c.Host, seen)
	if err != nil {
		if errors.Is(err, ledger.ErrChanged) {
			k.relearn(x, cell)
		}
		return
	}
	var c *cells.Cell
	c = cells.New(&k.c, h, began, func(why string) { k.drop(c, why) })
	if err := c.Recover(x); err != nil {
		k.c.Log.Warn().Str("cell", cell).Int64("epoch", h.Epoch).Err(err).Msg("cell not recovered")
		c.Close()
		return
	}
	k.mu.Lock()
	k.cells[cell] = c
	k.holders[cell] = ledger.Owner{Host: k.c.Host, Epoch: h.Epoch}
	k.mu.Unlock()
	c.Run()
	k.c.Meter.Epoch.WithLabelValues(cell).Set(float64(h.Epoch))
	k.c.Meter.Takeover.Observe(k.c.Timer.Now().Sub(began).Seconds())
	k.c.Log.Info().Str("cell", cell).Int64("epoch", h.Epoch).Int("jobs", c.Size()).Msg("cell taken")
}

// relearn reads who owns a cell after another host was faster.
func (k *Keeper) relearn(ctx context.Context, cell string) {
	o, err := k.c.Records.Owner(ctx, cell)
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if o.Epoch > k.holders[cell].Epoch {
		k.holders[cell] = o
		// The new owner may still be at its takeover.
		k.keepOff[cell] = k.c.Timer.Now().Add(takeWait)
	}
}

// drop gives up a cell that another host has taken.
func (k *Keeper) drop(c *cells.Cell, why string) {
	k.mu.Lock()
	k.keepOff[c.Name] = k.c.Timer.Now().Add(fencedWait)
	mine := k.cells[c.Name] == c
	if mine {
		delete(k.cells, c.Name)
	}
	k.mu.Unlock()
	if !mine {
		return
	}
	go c.Close()
	k.c.Meter.Epoch.WithLabelValues(c.Name).Set(0)
	k.c.Log.Info().Str("cell", c.Name).Int64("epoch", c.Epoch()).Str("why", why).Msg("cell given up")
}

// Claims returns the cells held, for heartbeats.
func (k *Keeper) Claims() []*wire.CellClaim {
	var l []*wire.CellClaim
	for _, c := range k.Cells() {
		l = append(l, &wire.CellClaim{Cell: c.Name, Epoch: c.Epoch(), Free: int64(c.Free())})
	}
	return l
}
