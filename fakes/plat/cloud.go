package plat

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"citronbridge/fakes/model"
)

// CloudFaults are faults that the machine service injects into calls.
type CloudFaults struct {
	// Status, if not 0, is the answer to every call. Orders have no effect then.
	Status int
	// Delay is how long a call takes.
	Delay time.Duration
	// LoseOneIn, if positive, drops the answer to one in LoseOneIn orders. Every
	// second one of these takes effect only LateBy later.
	LoseOneIn int
	LateBy    time.Duration
}

// pageSize is the number of machines on a page of the list.
const pageSize = 3

// ServeCloud starts the machine service and returns its address.
func (p *Platform) ServeCloud() (string, error) {
	p.mu.Lock()
	p.Cluster.OnReplacement = p.registerReplacement
	p.mu.Unlock()
	return p.serve(anyPort, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		delay := p.CloudFaults.Delay
		p.mu.Unlock()
		time.Sleep(delay)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.Cluster.Advance(p.now())
		if t := p.CloudFaults; t.Status != 0 {
			w.WriteHeader(t.Status)
			return
		}
		switch r.URL.Path {
		case "/-/machines":
			p.handleMachines(w, r)
		case "/-/machine-upkeep":
			p.handleMaintenance(w, r)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
}

// handleMachines writes a page of the list of machines. The caller holds p.mu.
func (p *Platform) handleMachines(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("page-token"))
	l := []map[string]any{}
	to := min(from+pageSize, len(p.Cluster.Machines))
	for _, m := range p.Cluster.Machines[from:to] {
		e := map[string]any{"machine": m.ID, "pool": m.Pool, "state": p.Cluster.State(m), "zone": p.DataCentreOf(m.Worker)}
		if e["state"] == "up" {
			e["id"] = m.Worker
		}
		l = append(l, e)
	}
	body := map[string]any{"machines": l}
	if to < len(p.Cluster.Machines) {
		body["next-token"] = strconv.Itoa(to)
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}

// handleMaintenance carries out a maintenance order, or injects the faults set: the
// order takes effect at once or late, without an answer. The caller holds p.mu.
func (p *Platform) handleMaintenance(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string
		Wave    int64
	}
	token, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Lease-Holder")
	if err != nil || holder == "" || json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.maintenanceOrders++
	if t := p.CloudFaults; t.LoseOneIn > 0 && p.maintenanceOrders%t.LoseOneIn == 0 {
		if p.maintenanceOrders/t.LoseOneIn%2 == 0 {
			time.AfterFunc(t.LateBy, func() {
				p.Lock(func(c *model.Cluster) { c.Maintain(b.Machine, b.Wave, holder, token) })
			})
		} else {
			p.Cluster.Maintain(b.Machine, b.Wave, holder, token)
		}
		panic(http.ErrAbortHandler)
	}
	reason := p.Cluster.Maintain(b.Machine, b.Wave, holder, token)
	w.Header().Set("Content-Type", "application/json")
	switch reason {
	case "":
		w.WriteHeader(http.StatusOK)
	case "none":
		w.WriteHeader(http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusConflict)
	}
	json.NewEncoder(w).Encode(map[string]any{"reason": reason})
}

// registerReplacement registers worker x, which replaces old on its machine after
// maintenance. The caller holds p.mu.
func (p *Platform) registerReplacement(old, x *model.Worker) {
	if p.ctx.Err() != nil {
		return
	}
	rack := p.racks[old.ID]
	p.racks[x.ID], p.pools[x.ID], p.dataCentres[x.ID] = rack, p.pools[old.ID], p.dataCentres[old.ID]
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.Store.Remove("servers", old.ID)
		if err := p.listenWorker(x.ID); err != nil {
			return
		}
		p.Register(x.ID, rack, "ready")
	}()
}

// RequestWave requests a maintenance wave, as the operator does, and returns the
// key and the value of its row.
func (p *Platform) RequestWave(w model.Wave, within time.Duration) (key string, value []byte) {
	p.Lock(func(c *model.Cluster) { c.Waves[w.N] = w })
	b, err := json.Marshal(map[string]any{"wave": w.N, "machines": w.Machines, "within-s": within.Seconds(), "cap": w.Cap})
	if err != nil {
		panic("wave can't be encoded: " + err.Error())
	}
	key = "wave/" + strconv.FormatInt(w.N, 10)
	p.Store.Put("op", key, b)
	return key, b
}
