package fakes

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"citronbridge/fleet"
)

// Hosts is a host list that shows changes only after a delay.
type Hosts struct {
	lag time.Duration

	mu      sync.Mutex
	hosts   map[string]fleet.Host
	history []snapshot // the list after each change, oldest first, from the one shown now on
	outage  bool
}

type snapshot struct {
	at   time.Time
	list []fleet.Host
}

// NewHosts returns an empty list that shows changes after lag.
func NewHosts(lag time.Duration) *Hosts {
	return &Hosts{lag: lag, hosts: map[string]fleet.Host{}}
}

// Handler serves GET /hosts, and for tests PUT and DELETE of /hosts/ID, and PUT of
// /outage, during which GET /hosts answers 503.
func (h *Hosts) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /hosts", h.get)
	m.HandleFunc("PUT /hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		var v fleet.Host
		if decodeRequest(w, r, &v) {
			h.Set(v)
		}
	})
	m.HandleFunc("DELETE /hosts/{id}", func(_ http.ResponseWriter, r *http.Request) { h.Remove(r.PathValue("id")) })
	m.HandleFunc("PUT /outage", flagHandler(&h.mu, &h.outage))
	return m
}

// Set adds or replaces a host.
func (h *Hosts) Set(v fleet.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts[v.ID] = v
	h.recordSnapshot()
}

// Remove removes a host.
func (h *Hosts) Remove(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.hosts, id)
	h.recordSnapshot()
}

// recordSnapshot appends the current list to the history. The caller holds h.mu.
func (h *Hosts) recordSnapshot() {
	s := snapshot{at: time.Now()}
	for _, v := range h.hosts {
		s.list = append(s.list, v)
	}
	slices.SortFunc(s.list, func(a, b fleet.Host) int { return strings.Compare(a.ID, b.ID) })
	h.history = append(h.history, s)
}

func (h *Hosts) get(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	list := []fleet.Host{}
	shownAt := time.Now().Add(-h.lag)
	for len(h.history) > 1 && !h.history[1].at.After(shownAt) {
		h.history = h.history[1:]
	}
	if len(h.history) > 0 && !h.history[0].at.After(shownAt) {
		list = h.history[0].list
	}
	writeJSON(w, list)
}
