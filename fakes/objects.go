package fakes

import (
	"io"
	"net/http"
	"sync"
)

// Objects is an object store in memory.
type Objects struct {
	mu     sync.Mutex
	data   map[string][]byte
	outage bool
}

// NewObjects returns an empty store.
func NewObjects() *Objects { return &Objects{data: map[string][]byte{}} }

// Handler serves GET and PUT of /objects/NAME, and for tests PUT of /outage, during
// which the others answer 503.
func (o *Objects) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /objects/{name}", o.get)
	m.HandleFunc("PUT /objects/{name}", o.put)
	m.HandleFunc("PUT /outage", flagHandler(&o.mu, &o.outage))
	return m
}

func (o *Objects) get(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	b, ok := o.data[r.PathValue("name")]
	outage := o.outage
	o.mu.Unlock()
	switch {
	case outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case !ok:
		http.Error(w, "no such object", http.StatusNotFound)
	default:
		w.Write(b)
	}
}

func (o *Objects) put(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	o.data[r.PathValue("name")] = b
}
