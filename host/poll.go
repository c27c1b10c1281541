package host

import (
	"context"
	"time"

	"citronbridge/fleet"
	"citronbridge/jobs"
	"citronbridge/rules"
)

type jobKey = jobs.Key

// pollTimeout bounds one run of a periodic task.
const pollTimeout = 3 * time.Second

// certificatePollInterval is the time between checks of the certificate files for
// changes.
const certificatePollInterval = 5 * time.Second

// openJobsPollInterval is the time between reads of each account's number of open
// jobs.
const openJobsPollInterval = time.Second

// schedulePolls runs the periodic tasks, each immediately and then at its interval.
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
	poll(openJobsPollInterval, h.api.RefreshOpenJobs)
	if h.certs != nil {
		poll(certificatePollInterval, func(context.Context) { h.refreshCertificates() })
	}
}

// refreshHosts reads the platform's list of hosts and passes the scheduler's hosts
// among them to the mesh. If the read fails, the previous list stays.
func (h *Host) refreshHosts(ctx context.Context) {
	if h.view.Refresh(ctx, h.timer.Now()) != nil {
		return
	}
	m := map[string]string{}
	for _, e := range h.view.Hosts(fleet.Entry) {
		m[e.ID] = e.Address
	}
	h.mesh.UpdateHosts(m, h.timer.Now())
}

// refreshManifest reads the manifest in force from the table service, adopts it if
// it is newer and confirms its revision as of the start of the read.
func (h *Host) refreshManifest(ctx context.Context) {
	readAt := h.timer.Now()
	r, err := h.revisionStore.Read(ctx)
	if err != nil {
		return
	}
	h.manifestPolled.Store(true)
	if r == nil {
		return
	}
	h.adopt(r)
	h.revisions.Confirm(r.Number, readAt)
}

// adopt replaces the manifest of this host by the revision r if r is newer.
func (h *Host) adopt(r *rules.Revision) {
	if !h.revisions.Adopt(r, h.timer.Now()) {
		return
	}
	h.meter.Revision.Set(float64(h.revisions.Number()))
	h.log.Info().Int64("revision", r.Number).Msg("manifest adopted")
}

// publish puts a manifest that this host has accepted from an operator in force
// here, and sends it to every other live host.
func (h *Host) publish(r *rules.Revision) {
	h.adopt(r)
	h.revisions.Confirm(r.Number, h.timer.Now())
	for _, b := range h.liveHosts() {
		go h.route.PushRevision(context.Background(), b.Host, r)
	}
}

// handlePeerChange is called when the first or a changed heartbeat of another host
// arrives, or its connection breaks. It triggers a check of the cells, and pulls the
// manifest from hosts that have a newer revision.
func (h *Host) handlePeerChange() {
	h.meter.Peers.Set(float64(len(h.liveHosts())))
	h.claims.RequestCheck()
	for _, b := range h.liveHosts() {
		if b.Revision > h.revisions.Number() {
			go h.pullRevision(b.Host)
		}
	}
}

// pullRevision reads the manifest of another host and adopts it if it is newer. A
// failure is ignored: the manifest is also polled from the table service.
func (h *Host) pullRevision(host string) {
	r, err := h.route.PullRevision(context.Background(), host)
	if err == nil {
		h.adopt(r)
	}
}

// confirmFromPeers confirms the revision in force from the heartbeats of hosts in
// other data centres. A heartbeat may be as old as HeartbeatTimeout, so it
// confirms the revision only as of that long ago.
func (h *Host) confirmFromPeers() {
	n := h.timer.Now()
	for _, b := range h.liveHosts() {
		if b.DataCentre != h.settings.DataCentre && b.Revision > 0 {
			h.revisions.Confirm(b.Revision, n.Add(-h.settings.Bounds.HeartbeatTimeout.D()))
		}
	}
}

// refreshCertificates reloads the certificates if their files have changed.
func (h *Host) refreshCertificates() {
	changed, err := h.certs.Refresh()
	switch {
	case err != nil:
		h.log.Warn().Err(err).Msg("certificate reload failed; the previous certificates stay in use")
	case changed:
		h.log.Info().Msg("certificates reloaded")
	}
}
