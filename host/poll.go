package host

import (
	"context"
	"time"

	"citronbridge/fleet"
	"citronbridge/jobs"
	"citronbridge/rules"
)

type jobKey = jobs.Key

// pollTimeout bounds what a periodic task may take.
const pollTimeout = 3 * time.Second

// certificatePollInterval is how often the certificate files are looked at.
const certificatePollInterval = 5 * time.Second

// openJobsPollInterval is how often the number of open jobs is learned.
const openJobsPollInterval = time.Second

// schedulePolls subscribes the periodic tasks.
func (h *Host) schedulePolls(ctx context.Context) {
	poll := func(d time.Duration, f func(context.Context)) {
		run := func(time.Time) {
			x, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			f(x)
		}
		h.timer.After(0, run)
		h.timer.Every(d, run)
	}
	poll(h.settings.Bounds.HostListPoll.D(), h.refreshHosts)
	poll(h.settings.Bounds.ManifestPoll.D(), h.refreshManifest)
	poll(h.settings.Bounds.Heartbeat.D(), func(context.Context) { h.confirmFromPeers() })
	poll(openJobsPollInterval, h.api.Refresh)
	if h.certs != nil {
		poll(certificatePollInterval, func(context.Context) { h.refreshCertificates() })
	}
}

// refreshHosts reads the list of hosts.
func (h *Host) refreshHosts(ctx context.Context) {
	if h.view.Refresh(ctx, h.timer.Now()) != nil {
		return
	}
	m := map[string]string{}
	for _, e := range h.view.Hosts(fleet.Entry) {
		m[e.ID] = e.Address
	}
	h.mesh.Update(m, h.timer.Now())
}

// refreshManifest reads the manifest in force.
func (h *Host) refreshManifest(ctx context.Context) {
	readAt := h.timer.Now()
	r, err := h.register.Read(ctx)
	if err != nil {
		return
	}
	h.manifestPolled.Store(true)
	if r == nil {
		return
	}
	h.adopt(r)
	h.book.Confirm(r.Number, readAt)
}

// adopt takes a revision if it is newer.
func (h *Host) adopt(r *rules.Revision) {
	if !h.book.Adopt(r, h.timer.Now()) {
		return
	}
	h.meter.Revision.Set(float64(h.book.Number()))
	h.log.Info().Int64("revision", r.Number).Msg("manifest adopted")
}

// publish puts a manifest in force that this host has accepted, here and at
// every other host.
func (h *Host) publish(r *rules.Revision) {
	h.adopt(r)
	h.book.Confirm(r.Number, h.timer.Now())
	for _, b := range h.liveHosts() {
		go h.route.Push(context.Background(), b.Host, r)
	}
}

// handlePeerChange acts on news from other hosts.
func (h *Host) handlePeerChange() {
	h.meter.Peers.Set(float64(len(h.liveHosts())))
	h.claims.Poke()
	for _, b := range h.liveHosts() {
		if b.Revision > h.book.Number() {
			go h.pullRevision(b.Host)
		}
	}
}

// pullRevision takes the revision of another host.
func (h *Host) pullRevision(host string) {
	r, err := h.route.Pull(context.Background(), host)
	if err == nil {
		h.adopt(r)
	}
}

// confirmFromPeers takes the word of hosts in other data centres for the
// revision in force.
func (h *Host) confirmFromPeers() {
	n := h.timer.Now()
	for _, b := range h.liveHosts() {
		if b.DataCentre != h.settings.DataCentre && b.Revision > 0 {
			h.book.Confirm(b.Revision, n.Add(-h.settings.Bounds.HeartbeatTimeout.D()))
		}
	}
}

// refreshCertificates reads certificates that have changed.
func (h *Host) refreshCertificates() {
	changed, err := h.certs.Refresh()
	switch {
	case err != nil:
		h.log.Warn().Err(err).Msg("certificates not read, the old ones stay in force")
	case changed:
		h.log.Info().Msg("certificates read")
	}
}
