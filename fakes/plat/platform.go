// Package plat is a stand-in of the users' platform over HTTP on loopback: its
// store, its registry and its workers.
package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"citronbridge/fakes/model"
)

// Platform is the stand-in as servers on loopback: doors of the store, and
// workers that register there.
type Platform struct {
	Store   *Store
	Cluster *model.Cluster

	pool string
	// mu guards the cluster.
	mu        sync.Mutex
	startTime time.Time
	advanced  chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	servers   []*http.Server
	entrySeq  map[string]int64
	addresses map[string]string
	racks     map[string]string
	// pools are those of workers that don't serve pool.
	pools map[string]string
	// CloudFaults is under the lock, as is the number of orders so far.
	CloudFaults       CloudFaults
	maintenanceOrders int
	// serversMu guards servers.
	serversMu sync.Mutex
	wg        sync.WaitGroup
}

// New returns a Platform whose workers serve a pool.
func New(pool string, b model.Bounds) *Platform {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Platform{
		Store: NewStore(), Cluster: model.NewCluster(b), pool: pool, startTime: time.Now(), advanced: make(chan struct{}), ctx: ctx, cancel: cancel,
		entrySeq: map[string]int64{}, addresses: map[string]string{}, racks: map[string]string{}, pools: map[string]string{},
	}
	p.wg.Add(1)
	go p.advanceLoop()
	return p
}

// Close ends all servers.
func (p *Platform) Close() {
	p.cancel()
	p.serversMu.Lock()
	for _, s := range p.servers {
		s.Close()
	}
	p.serversMu.Unlock()
	p.wg.Wait()
}

// advanceInterval is how often the workers' time advances by itself.
const advanceInterval = 5 * time.Millisecond

func (p *Platform) now() time.Duration { return time.Since(p.startTime) }

// advanceLoop lets the workers' time pass.
func (p *Platform) advanceLoop() {
	defer p.wg.Done()
	t := time.NewTicker(advanceInterval)
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
			p.mu.Lock()
			p.Cluster.Advance(p.now())
			close(p.advanced)
			p.advanced = make(chan struct{})
			p.mu.Unlock()
		}
	}
}

// Lock runs f while no worker does anything.
func (p *Platform) Lock(f func(c *model.Cluster)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Cluster.Advance(p.now())
	f(p.Cluster)
}

// serve serves a handler on a free port, or on an address.
func (p *Platform) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	p.serversMu.Lock()
	p.servers = append(p.servers, s)
	p.serversMu.Unlock()
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		s.Serve(l)
	}()
	return l.Addr().String(), nil
}

const anyPort = "127.0.0.1:0"

// OpenStoreEndpoint returns another door of the store and its address.
func (p *Platform) OpenStoreEndpoint(seed uint64) (*StoreEndpoint, string, error) {
	d := NewStoreEndpoint(p.Store, seed)
	a, err := p.serve(anyPort, d)
	return d, a, err
}

// Configure puts a configuration in force that has the pool and no queue, and
// returns its row's value.
func (p *Platform) Configure(version int64) []byte {
	b, err := json.Marshal(map[string]any{"version": version, "services": []any{map[string]any{"name": p.pool}}})
	if err != nil {
		panic("configuration can't be encoded: " + err.Error())
	}
	p.Store.Put("op", "config", b)
	return b
}

// AssignPool makes a worker that is added later serve another pool.
func (p *Platform) AssignPool(id, pool string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pools[id] = pool
}

// poolOf returns the pool that a worker serves. The lock is held.
func (p *Platform) poolOf(id string) string {
	if pool := p.pools[id]; pool != "" {
		return pool
	}
	return p.pool
}

// AddWorker begins a life of a worker. A name that was used before comes back
// at the address that it had.
func (p *Platform) AddWorker(w *model.Worker, rack string) error {
	p.mu.Lock()
	if p.Cluster.Workers[w.ID] == nil {
		p.Cluster.AddMachine("m-"+w.ID, p.poolOf(w.ID), w.ID)
	}
	p.Cluster.Add(p.now(), w)
	p.racks[w.ID] = rack
	p.mu.Unlock()
	if err := p.listenWorker(w.ID); err != nil {
		return err
	}
	p.Register(w.ID, rack, "ready")
	return nil
}

// listenWorker serves a worker at an address of its own, unless it is served.
func (p *Platform) listenWorker(id string) error {
	p.mu.Lock()
	known := p.addresses[id] != ""
	p.mu.Unlock()
	if known {
		return nil
	}
	a, err := p.serve(anyPort, p.workerHandler(id))
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses[id] = a
	return nil
}

// Redirect makes a worker's entries name another address, which via returns for
// the worker's own.
func (p *Platform) Redirect(id string, via func(address string) string) {
	p.mu.Lock()
	own := p.addresses[id]
	p.mu.Unlock()
	a := via(own)
	p.mu.Lock()
	p.addresses[id] = a
	rack := p.racks[id]
	p.mu.Unlock()
	p.Register(id, rack, "ready")
}

// Register writes a worker's entry.
func (p *Platform) Register(id, rack, state string) {
	p.mu.Lock()
	p.Cluster.Advance(p.now())
	w := p.Cluster.Workers[id]
	p.entrySeq[id]++
	b, err := json.Marshal(map[string]any{
		"service": p.poolOf(id), "address": p.addresses[id], "zone": "z", "version": "v1", "slots": 8, "state": state, "cold-left-ms": 0, "seq": p.entrySeq[id],
		"capacity": map[string]int64{"cpu": w.CPU, "mem-mb": w.Memory, "gpu": w.Accelerators}, "labels": []string{"k", rack},
		"clock-ms": w.ClockMS(), "born": w.Born,
	})
	p.mu.Unlock()
	if err != nil {
		panic("entry can't be encoded: " + err.Error())
	}
	p.Store.Put("servers", id, b)
}

// orderBody is what an order or a hold carries.
type orderBody struct {
	Task, Spec, Saved, Ticket           string
	Run, Percent                        int
	Fence, DeadlineMS, SeenUpto, WaitMS int64
}

// decodeOrder reads a body by the names on the wire.
func decodeOrder(r *http.Request) (orderBody, error) {
	var m map[string]any
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		return orderBody{}, fmt.Errorf("read order: %w", err)
	}
	text := func(k string) string { v, _ := m[k].(string); return v }
	number := func(k string) int64 { v, _ := m[k].(float64); return int64(v) }
	return orderBody{
		Task: text("task"), Spec: text("spec"), Saved: text("last-checkpoint"), Ticket: text("ticket"), Run: int(number("run")), Percent: int(number("percent")), Fence: number("fence"),
		DeadlineMS: number("deadline-ms"), SeenUpto: number("seen-upto"), WaitMS: number("wait-ms"),
	}, nil
}

// adviceValid is how long tickets of the advice service hold.
const adviceValid = 2 * time.Second

// ServeAdvice serves the advice service and returns its address.
func (p *Platform) ServeAdvice() (string, error) {
	return p.serve(anyPort, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var b struct {
			Step    string
			Workers []string
		}
		if r.URL.Path != "/-/advise" || json.NewDecoder(r.Body).Decode(&b) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		p.Cluster.Advance(p.now())
		good := [][]string{}
		for id, t := range p.Cluster.Advise(b.Step, b.Workers, adviceValid) {
			good = append(good, []string{id, t})
		}
		p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]any{"good": good, "valid-ms": adviceValid.Milliseconds()})
	}))
}

// workerHandler serves the calls of one worker.
func (p *Platform) workerHandler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := decodeOrder(r)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		x := p.Cluster.Workers[id]
		if !x.Up() || x.Unreachable {
			p.mu.Unlock()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if e := r.Header.Get("X-Expect-Instance"); e != "" && e != id {
			p.mu.Unlock()
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		p.Cluster.Advance(p.now())
		var why string
		body := map[string]any{}
		switch r.URL.Path {
		case "/-/run-start":
			why = x.Start(model.Order{Task: b.Task, Run: b.Run, Spec: b.Spec, Saved: b.Saved, Ticket: b.Ticket, Fence: b.Fence, DeadlineMS: b.DeadlineMS})
		case "/-/run-stop":
			why = x.Stop(b.Task, b.Run, b.Fence)
		case "/-/pace":
			why = x.Pace(b.Task, b.Run, b.Percent, b.Fence)
		case "/-/hold":
			why = p.handleHold(x, b, body, r.Context())
		}
		body["clock-ms"], body["born"] = x.ClockMS(), x.Born
		p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		if why != "" {
			body["reason"] = why
			w.WriteHeader(http.StatusConflict)
		}
		json.NewEncoder(w).Encode(body)
	})
}

// handleHold answers at once if there is an end, and waits for one otherwise. It is
// called, and returns, with the lock held.
func (p *Platform) handleHold(x *model.Worker, b orderBody, body map[string]any, ctx context.Context) string {
	until := p.now() + time.Duration(b.WaitMS)*time.Millisecond
	for {
		running, ended, why := x.Hold(b.Fence, b.SeenUpto, b.DeadlineMS)
		if why != "" {
			return why
		}
		if len(ended) > 0 || p.now() >= until || ctx.Err() != nil || !x.Up() {
			rows, ends := [][]any{}, [][]any{}
			for _, q := range running {
				rows = append(rows, []any{q.Task, q.Run, q.Saved, q.Percent, q.Figure})
			}
			for _, q := range ended {
				ends = append(ends, []any{q.N, q.Task, q.Run, q.How, q.Saved})
			}
			body["running"], body["ended"] = rows, ends
			return ""
		}
		b.DeadlineMS = 0
		changed := p.advanced
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		case <-p.ctx.Done():
		}
		p.mu.Lock()
		if p.ctx.Err() != nil {
			until = 0
		}
	}
}
