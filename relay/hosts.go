package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronbridge/hosts"
)

// pollHosts keeps this host announced and polls the list of hosts until ctx ends.
func (r *Relay) pollHosts(ctx context.Context) {
	var announced time.Time
	// Spread the first call, so that many hosts that start together don't overload the
	// table service.
	pause := time.Duration(xxhash.Sum64String(r.c.Host) % uint64(firstPollSpread))
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = pollInterval
		if announced.IsZero() {
			pause = secondPollDelay
		}
		if r.c.Listener != nil && (announced.IsZero() || time.Since(announced) > hosts.AnnounceInterval) {
			err := hosts.Announce(ctx, r, hosts.Row{Name: r.c.Host, Address: r.c.Listener.Addr().String(), Announced: time.Now().UnixMilli(), Capacity: r.c.Capacity})
			if err == nil {
				announced = time.Now()
			} else if ctx.Err() == nil {
				r.c.Log.Warn().Err(err).Msg("announcing this host in the table service failed; will retry")
			}
		}
		if l, err := hosts.List(ctx, r, r.c.Host, maxKnownHosts); err == nil {
			r.updatePeers(ctx, l)
		} else if ctx.Err() == nil {
			r.c.Log.Warn().Err(err).Msg("reading the list of hosts failed; keeping the known hosts")
		}
		r.closeIdle()
	}
}

// updatePeers replaces the peers by the listed hosts. It also removes the rows of hosts
// that haven't announced themselves for hosts.ExpireAfter.
func (r *Relay) updatePeers(ctx context.Context, l hosts.Page) {
	if l.Malformed > 0 {
		r.c.Log.Warn().Int("rows", l.Malformed).Msg("malformed rows in the list of hosts ignored")
	}
	listed := map[string]bool{}
	capacities := []float64{r.c.Capacity}
	for _, h := range l.Rows {
		if h.Name == r.c.Host {
			continue
		}
		if time.Since(time.UnixMilli(h.Announced)) > hosts.ExpireAfter {
			if err := hosts.Withdraw(ctx, r, h.Name); err != nil {
				r.c.Log.Warn().Err(err).Msg("removing the row of an expired host failed; will retry")
			}
			continue
		}
		listed[h.Name] = true
		capacities = append(capacities, h.Capacity)
		r.mu.Lock()
		r.addPeer(h.Name, h.Address)
		r.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hostCount > 0 {
		// Not at the first poll, as it may come before hosts that start together
		// with this one are listed.
		r.capacities = capacities
	}
	r.hostCount = l.Total
	kept := r.peers[:0]
	for _, p := range r.peers {
		// A seed without a name stays, as it may be listed later.
		if n := p.name(); n == "" || listed[n] {
			kept = append(kept, p)
			continue
		}
		p.close()
	}
	clear(r.peers[len(kept):])
	r.peers = kept
}

// HostCount returns the number of hosts, estimated if there are more than maxKnownHosts,
// and 0 before the list of hosts was first read.
func (r *Relay) HostCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hostCount
}

// Capacities returns the capacities of this host and of the other known hosts, in cores.
// It is empty until the list of hosts was read twice.
func (r *Relay) Capacities() []float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.capacities)
}

// addPeer adds a host, or updates its name or address. The caller holds the lock, or is
// the only one to use the Relay.
func (r *Relay) addPeer(host, address string) {
	if address == "" || r.c.Listener != nil && address == r.c.Listener.Addr().String() {
		return
	}
	for i, p := range r.peers {
		if p.address == address {
			p.setName(host)
			return
		}
		if host != "" && p.name() == host {
			p.close()
			r.peers[i] = newPeer(host, address)
			return
		}
	}
	r.peers = append(r.peers, newPeer(host, address))
}

// Withdraw removes this host from the list of hosts before it stops.
func (r *Relay) Withdraw(ctx context.Context) error {
	if r.c.Listener == nil {
		return nil
	}
	return hosts.Withdraw(ctx, r, r.c.Host)
}

// closeIdle closes unused connections to peers while direct calls succeed.
func (r *Relay) closeIdle() {
	if r.FailedOver() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		p.closeIdle()
	}
}
