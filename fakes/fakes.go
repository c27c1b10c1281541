// Package fakes has small fakes of the platform's services, for tests and the demo: table service,
// object store, host list and targets.
package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const maxBodyBytes = 64 << 20

// Server is a fake service that listens on an address.
type Server struct {
	// Address is the IP number and port that it listens on.
	Address string
	http    *http.Server
}

// Listen starts a server for h on address. Port 0 selects a free one.
func Listen(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &Server{Address: l.Addr().String(), http: &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}}
	go s.http.Serve(l)
	return s, nil
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address }

// Close stops the server and closes all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// decodeRequest decodes the JSON body into v. If that fails, it answers 400 and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// flagHandler returns a handler that sets *v, guarded by mu, to the JSON boolean in the body.
func flagHandler(mu *sync.Mutex, v *bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var b bool
		if decodeRequest(w, r, &b) {
			mu.Lock()
			defer mu.Unlock()
			*v = b
		}
	}
}
