package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"citronbridge/fakes/model"
)

const (
	machinesPerPage = 100
	cloudTime       = 20 * time.Millisecond // time of a call
)

// serveCloud serves the machine service.
func (b *bed) serveCloud() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.cloud = l.Addr().String()
	m := http.NewServeMux()
	m.HandleFunc("GET /-/machines", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(cloudTime)
		from, _ := strconv.Atoi(r.URL.Query().Get("page-token"))
		list, more := []map[string]any{}, false
		b.platform.Lock(func(c *model.Cluster) {
			to := min(from+machinesPerPage, len(c.Machines))
			more = to < len(c.Machines)
			for _, x := range c.Machines[min(from, to):to] {
				e := map[string]any{"machine": x.ID, "pool": x.Pool, "state": c.State(x), "zone": b.platform.DataCentreOf(x.Worker)}
				if e["state"] == "up" {
					e["id"] = x.Worker
				}
				list = append(list, e)
			}
		})
		answer := map[string]any{"machines": list}
		if more {
			answer["next-token"] = strconv.Itoa(from + machinesPerPage)
		}
		b.log("machine service: lists %d machines from %d", len(list), from)
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(answer)
	})
	m.HandleFunc("POST /-/machine-upkeep", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(cloudTime)
		var q struct {
			Machine string
			Wave    int64
		}
		token, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
		holder := r.Header.Get("X-Lease-Holder")
		if err != nil || holder == "" || json.NewDecoder(r.Body).Decode(&q) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		reason := ""
		b.platform.Lock(func(c *model.Cluster) { reason = c.Maintain(q.Machine, q.Wave, holder, token) })
		b.log("machine service: upkeep of %s for wave %d by %s with token %d: %q", q.Machine, q.Wave, holder, token, reason)
		w.Header().Set("Content-Type", "application/json")
		switch reason {
		case "":
		case "none":
			w.WriteHeader(http.StatusBadRequest)
		default:
			w.WriteHeader(http.StatusConflict)
		}
		json.NewEncoder(w).Encode(map[string]string{"reason": reason})
	})
	go (&http.Server{Handler: m, ReadHeaderTimeout: time.Second}).Serve(l)
	return nil
}
