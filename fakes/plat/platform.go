// Package plat is a fake of the users' platform, served over HTTP on loopback: its
// store, its registry and workers, its advice service and its machine service.
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

// Platform is a fake platform: endpoints of one store, workers that register in
// the store, and other services, each a server on loopback.
type Platform struct {
	Store   *Store
	Cluster *model.Cluster

	pool string
	// mu guards Cluster, the maps, advanced and the faults below.
	mu        sync.Mutex
	startTime time.Time
	// advanced is closed, and replaced, each time the cluster's time advances.
	advanced chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	servers  []*http.Server
	// entrySeq counts the registry entries written for each worker.
	entrySeq  map[string]int64
	addresses map[string]string
	racks     map[string]string
	// pools has the workers that serve another pool than pool.
	pools map[string]string
	// dataCentres has the workers that are elsewhere than in DefaultDataCentre.
	dataCentres map[string]string
	// CloudFaults are the faults of the machine service. Tests set them within Lock.
	CloudFaults CloudFaults
	// maintenanceOrders is the number of orders so far.
	maintenanceOrders int
	// serversMu guards servers.
	serversMu sync.Mutex
	wg        sync.WaitGroup
}

// New returns a Platform without workers. Workers added to it serve pool.
func New(pool string, b model.Bounds) *Platform {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Platform{
		Store: NewStore(), Cluster: model.NewCluster(b), pool: pool, startTime: time.Now(), advanced: make(chan struct{}), ctx: ctx, cancel: cancel,
		entrySeq: map[string]int64{}, addresses: map[string]string{}, racks: map[string]string{}, pools: map[string]string{}, dataCentres: map[string]string{},
	}
	p.wg.Add(1)
	go p.advanceLoop()
	return p
}

// Close stops all servers and waits for them to end.
func (p *Platform) Close() {
	p.cancel()
	p.serversMu.Lock()
	for _, s := range p.servers {
		s.Close()
	}
	p.serversMu.Unlock()
	p.wg.Wait()
}

// advanceInterval is how often the workers' time advances without a call.
const advanceInterval = 5 * time.Millisecond

func (p *Platform) now() time.Duration { return time.Since(p.startTime) }

// advanceLoop advances the cluster to the current time until the Platform closes.
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

// Lock runs f with exclusive access to the cluster, advanced to the current time.
func (p *Platform) Lock(f func(c *model.Cluster)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Cluster.Advance(p.now())
	f(p.Cluster)
}

// serve starts a server for h on address and returns the address it listens on.
func (p *Platform) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	return p.serveOn(l, &http.Server{Handler: h, ReadHeaderTimeout: time.Second}), nil
}

// serveOn starts a server on a listener and returns the address it listens on.
func (p *Platform) serveOn(l net.Listener, s *http.Server) string {
	p.serversMu.Lock()
	p.servers = append(p.servers, s)
	p.serversMu.Unlock()
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		s.Serve(l)
	}()
	return l.Addr().String()
}

// anyPort makes a server listen on a free port.
const anyPort = "127.0.0.1:0"

// OpenStoreEndpoint starts another endpoint of the store and returns it and its
// address.
func (p *Platform) OpenStoreEndpoint(seed uint64) (*StoreEndpoint, string, error) {
	d := NewStoreEndpoint(p.Store, seed)
	a, err := p.serve(anyPort, d)
	return d, a, err
}

// Configure stores a configuration with the pool and no queues, and returns the
// value of its row.
func (p *Platform) Configure(version int64) []byte {
	b, err := json.Marshal(map[string]any{"version": version, "services": []any{map[string]any{"name": p.pool}}})
	if err != nil {
		panic("configuration can't be encoded: " + err.Error())
	}
	p.Store.Put("op", "config", b)
	return b
}

// AssignPool makes a worker serve another pool. It must precede AddWorker.
func (p *Platform) AssignPool(id, pool string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pools[id] = pool
}

// DefaultDataCentre is where workers are that AssignDataCentre puts nowhere else.
const DefaultDataCentre = "z"

// AssignDataCentre puts a worker into a data centre. It must precede AddWorker.
func (p *Platform) AssignDataCentre(id, dataCentre string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dataCentres[id] = dataCentre
}

// DataCentreOf returns the data centre of a worker. The caller holds the lock, as within Lock.
func (p *Platform) DataCentreOf(id string) string {
	if d := p.dataCentres[id]; d != "" {
		return d
	}
	return DefaultDataCentre
}

// Evacuate requests that no task starts in a data centre, as the operator does. The request is
// acknowledged when it returns.
func (p *Platform) Evacuate(dataCentre string) {
	p.Store.Put("op", "evacuate/"+dataCentre, []byte("{}"))
}

// WithdrawEvacuation withdraws such a request.
func (p *Platform) WithdrawEvacuation(dataCentre string) {
	p.Store.Remove("op", "evacuate/"+dataCentre)
}

// poolOf returns the pool that a worker serves. The caller holds p.mu.
func (p *Platform) poolOf(id string) string {
	if pool := p.pools[id]; pool != "" {
		return pool
	}
	return p.pool
}

// AddWorker starts a new incarnation of a worker and registers it. A worker whose
// ID was used before keeps its address.
func (p *Platform) AddWorker(w *model.Worker, rack string) error {
	if err := p.StartWorker(w, rack); err != nil {
		return err
	}
	p.Register(w.ID, rack, "ready")
	return nil
}

// StartWorker starts a new incarnation of a worker, whose registry entry stays as it is.
func (p *Platform) StartWorker(w *model.Worker, rack string) error {
	p.mu.Lock()
	if p.Cluster.Workers[w.ID] == nil {
		p.Cluster.AddMachine("m-"+w.ID, p.poolOf(w.ID), w.ID)
	}
	p.Cluster.Add(p.now(), w)
	p.racks[w.ID] = rack
	p.mu.Unlock()
	return p.listenWorker(w.ID)
}

// listenWorker starts a server for a worker, unless the worker has an address.
func (p *Platform) listenWorker(id string) error {
	p.mu.Lock()
	listening := p.addresses[id] != ""
	p.mu.Unlock()
	if listening {
		return nil
	}
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	a := p.serveOn(l, &http.Server{
		Handler: p.workerHandler(id), ReadHeaderTimeout: time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			p.mu.Lock()
			defer p.mu.Unlock()
			return context.WithValue(ctx, incarnationKey{}, p.Cluster.Workers[id])
		},
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses[id] = a
	return nil
}

// incarnationKey is the key of the incarnation of a worker that accepted a connection, in the
// connection's context.
type incarnationKey struct{}

// reset closes the connection of a call as a process does that doesn't know it.
func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// Redirect registers a worker under the address that via returns for the worker's
// current one, such as that of a proxy.
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

// Register writes a worker's registry entry.
func (p *Platform) Register(id, rack, state string) {
	p.mu.Lock()
	p.Cluster.Advance(p.now())
	w := p.Cluster.Workers[id]
	p.entrySeq[id]++
	b, err := json.Marshal(map[string]any{
		"service": p.poolOf(id), "address": p.addresses[id], "zone": p.DataCentreOf(id), "version": "v1", "slots": 8, "state": state, "cold-left-ms": 0, "seq": p.entrySeq[id],
		"capacity": map[string]int64{"cpu": w.CPU, "mem-mb": w.Memory, "gpu": w.Accelerators}, "labels": []string{"k", rack},
		"clock-ms": w.ClockMS(), "born": w.Born,
	})
	p.mu.Unlock()
	if err != nil {
		panic("entry can't be encoded: " + err.Error())
	}
	p.Store.Put("servers", id, b)
}

// orderBody is the body of an order or a hold.
type orderBody struct {
	Task, Spec, Saved, Ticket           string
	Run, Percent                        int
	Fence, DeadlineMS, SeenUpto, WaitMS int64
}

// decodeOrder decodes the body of an order. Missing fields are zero.
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

// adviceValid is how long tickets of the advice service are valid.
const adviceValid = 2 * time.Second

// ServeAdvice starts the advice service and returns its address.
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

// workerHandler serves calls to one worker. Calls to one that is down or
// unreachable get no answer, and an incarnation resets the connections of those before it.
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
		if r.Context().Value(incarnationKey{}) != x {
			p.mu.Unlock()
			reset(w)
			return
		}
		if e := r.Header.Get("X-Expect-Instance"); e != "" && e != id {
			p.mu.Unlock()
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		p.Cluster.Advance(p.now())
		var reason string
		body := map[string]any{}
		switch r.URL.Path {
		case "/-/run-start":
			reason = x.Start(model.Order{Task: b.Task, Run: b.Run, Spec: b.Spec, Saved: b.Saved, Ticket: b.Ticket, Fence: b.Fence, DeadlineMS: b.DeadlineMS})
		case "/-/run-stop":
			reason = x.Stop(b.Task, b.Run, b.Fence)
		case "/-/pace":
			reason = x.Pace(b.Task, b.Run, b.Percent, b.Fence)
		case "/-/hold":
			reason = p.handleHold(x, b, body, r.Context())
			if !x.Up() {
				p.mu.Unlock()
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
		}
		body["clock-ms"], body["born"] = x.ClockMS(), x.Born
		p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		if reason != "" {
			body["reason"] = reason
			w.WriteHeader(http.StatusConflict)
		}
		json.NewEncoder(w).Encode(body)
	})
}

// handleHold renews the lease, waits up to b.WaitMS until a run has ended, and puts
// the running and ended runs into body. It returns the reason of a refusal, or "".
// The caller holds p.mu, which is released while it waits.
func (p *Platform) handleHold(x *model.Worker, b orderBody, body map[string]any, ctx context.Context) string {
	until := p.now() + time.Duration(b.WaitMS)*time.Millisecond
	for {
		running, ended, reason := x.Hold(b.Fence, b.SeenUpto, b.DeadlineMS)
		if reason != "" {
			return reason
		}
		if len(ended) > 0 || p.now() >= until || ctx.Err() != nil || !x.Up() {
			rows, ends := [][]any{}, [][]any{}
			for _, q := range running {
				rows = append(rows, []any{q.Task, q.Run, q.Saved, q.Percent, q.TailMS})
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
