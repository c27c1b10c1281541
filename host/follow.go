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

// certificatePoll is how often the certificate files are looked at.
const certificatePoll = 5 * time.Second

// openJobsPoll is how often the number of open jobs is learned.
const openJobsPoll = time.Second

// schedule subscribes the periodic tasks.
func (h *Host) schedule(ctx context.Context) {
	poll := func(d time.Duration, f func(context.Context)) {
		run := func(time.Time) {
			x, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			f(x)
		}
		h.timer.After(0, run)
		h.timer.Every(d, run)
	}
	poll(h.s.Bounds.HostListPoll.D(), h.followHosts)
	poll(h.s.Bounds.ManifestPoll.D(), h.followManifest)
	poll(h.s.Bounds.Heartbeat.D(), func(context.Context) { h.confirmByPeers() })
	poll(openJobsPoll, h.api.RefreshOpenJobs)
	if h.certs != nil {
		poll(certificatePoll, func(context.Context) { h.followCertificates() })
	}
}

// followHosts reads the list of hosts.
func (h *Host) followHosts(ctx context.Context) {
	if h.view.Refresh(ctx, h.timer.Now()) != nil {
		return
	}
	m := map[string]string{}
	for _, e := range h.view.Hosts(fleet.Entry) {
		m[e.ID] = e.Address
	}
	h.mesh.UpdateHosts(m, h.timer.Now())
}

// followManifest reads the manifest in force.
func (h *Host) followManifest(ctx context.Context) {
	asked := h.timer.Now()
	r, err := h.reg.Read(ctx)
	if err != nil {
		return
	}
	h.polled.Store(true)
	if r == nil {
		return
	}
	h.adopt(r)
	h.book.Confirm(r.Number, asked)
}

// adopt takes a revision if it is newer.
func (h *Host) adopt(r *rules.Revision) {
	if !h.book.Adopt(r, h.timer.Now()) {
		return
	}
	h.meter.Revision.Set(float64(h.book.Number()))
	h.log.Info().Int64("revision", r.Number).Msg("manifest adopted")
}

// accepted puts a manifest in force that this host has accepted, here and at
// every other host.
func (h *Host) accepted(r *rules.Revision) {
	h.adopt(r)
	h.book.Confirm(r.Number, h.timer.Now())
	for _, b := range h.live() {
		go h.route.PushRevision(context.Background(), b.Host, r)
	}
}

// heard acts on news from other hosts.
func (h *Host) heard() {
	h.meter.Peers.Set(float64(len(h.live())))
	h.claims.RequestCheck()
	for _, b := range h.live() {
		if b.Revision > h.book.Number() {
			go h.pull(b.Host)
		}
	}
}

// pull takes the revision of another host.
func (h *Host) pull(host string) {
	r, err := h.route.PullRevision(context.Background(), host)
	if err == nil {
		h.adopt(r)
	}
}

// confirmByPeers takes the word of hosts in other data centres for the
// revision in force.
func (h *Host) confirmByPeers() {
	n := h.timer.Now()
	for _, b := range h.live() {
		if b.DataCentre != h.s.DataCentre && b.Revision > 0 {
			h.book.Confirm(b.Revision, n.Add(-h.s.Bounds.HeartbeatTimeout.D()))
		}
	}
}

// followCertificates reads certificates that have changed.
func (h *Host) followCertificates() {
	changed, err := h.certs.Refresh()
	switch {
	case err != nil:
		h.log.Warn().Err(err).Msg("certificates not read, the old ones stay in force")
	case changed:
		h.log.Info().Msg("certificates read")
	}
}
