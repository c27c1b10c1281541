package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"citronbridge/fakes/plat"
)

// Limits of the store, as PROTOCOL.md and the settings of kll-summaries set them.
const (
	rowBytes     = 65536
	maxEntries   = 100
	maxCallBytes = 1 << 20
	maxListRows  = 500
	answerTime   = 4 * time.Millisecond
)

// tablePart names the rows of one table in one part.
type tablePart struct{ table, part string }

// partRows holds the rows of a tablePart. keys are sorted unless stale is set.
type partRows struct {
	rows  map[string]plat.Row
	keys  []string
	stale bool
}

// store is the platform's metadata store in memory. Unlike plat.Store it enforces the limits
// above, and its lists and feeds don't scan the whole store.
type store struct {
	mu      sync.Mutex
	parts   map[tablePart]*partRows
	logs    map[string][]plat.Row
	version int64
	changed chan struct{}
	began   time.Time
	// tooLarge counts the refused transactions with a row over rowBytes.
	tooLarge int
	// lose, if set, says of a transaction whether its answer is lost, and how much later it
	// is done.
	lose func() (bool, time.Duration)
	// up is closed while the store is up.
	up chan struct{}
	l  net.Listener
}

// newStore starts a store on a free port.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{parts: map[tablePart]*partRows{}, logs: map[string][]plat.Row{}, changed: make(chan struct{}), began: time.Now(), up: make(chan struct{}), l: l}
	close(s.up)
	srv := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go srv.Serve(l)
	return s, nil
}

func (s *store) address() string { return s.l.Addr().String() }

// set writes or deletes a row. The caller holds s.mu.
func (s *store) set(r plat.Row) {
	p := s.parts[tablePart{r.Table, r.Part}]
	if p == nil {
		p = &partRows{rows: map[string]plat.Row{}}
		s.parts[tablePart{r.Table, r.Part}] = p
	}
	if _, ok := p.rows[r.Key]; ok == r.Deleted {
		p.stale = true
	}
	if r.Deleted {
		delete(p.rows, r.Key)
	} else {
		p.rows[r.Key] = r
	}
	s.logs[r.Table] = append(s.logs[r.Table], r)
}

// put writes a row in the empty part, as the operator and the workers do.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(plat.Row{Table: table, Key: key, Value: value, Version: s.version})
	s.wake()
}

// value returns a row's value, nil if there is none.
func (s *store) value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.parts[tablePart{table, part}]; p != nil {
		return p.rows[key].Value
	}
	return nil
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type transaction struct {
	If     []plat.Row `json:"expect-rev"`
	Put    []plat.Row `json:"writes"`
	Delete []plat.Row `json:"remove"`
	Across bool       `json:"across"`
}

// apply carries out a transaction and returns the status and the body.
func (s *store) apply(t transaction) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Concat(t.If, t.Put, t.Delete)
	if len(all) > maxEntries {
		return http.StatusBadRequest, nil
	}
	for _, r := range all {
		if !t.Across && r.Part != all[0].Part {
			return http.StatusBadRequest, nil
		}
		if len(r.Value) > rowBytes {
			s.tooLarge++
			return http.StatusBadRequest, nil
		}
	}
	for _, r := range slices.Concat(t.Put, t.Delete) {
		if r.Table == "op" || r.Table == "servers" {
			return http.StatusForbidden, nil
		}
	}
	current, hold := []plat.Row{}, true
	for _, c := range t.If {
		var r plat.Row
		if p := s.parts[tablePart{c.Table, c.Part}]; p != nil {
			if x, ok := p.rows[c.Key]; ok {
				r = x
				current = append(current, x)
			}
		}
		hold = hold && r.Version == c.Version
	}
	if !hold {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version, "now-ms": s.nowMS()}
	}
	s.version++
	for _, r := range t.Put {
		r.Version, r.Deleted = s.version, false
		s.set(r)
	}
	for _, r := range t.Delete {
		if p := s.parts[tablePart{r.Table, r.Part}]; p != nil {
			if _, ok := p.rows[r.Key]; ok {
				s.set(plat.Row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
			}
		}
	}
	s.wake()
	return http.StatusOK, map[string]any{"ver": s.version, "now-ms": s.nowMS()}
}

func (s *store) nowMS() int64 { return time.Since(s.began).Milliseconds() + 1 }

// list returns rows of a part in the order of their keys.
func (s *store) list(table, part, from, to string, limit int) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, more := []plat.Row{}, false
	if p := s.parts[tablePart{table, part}]; p != nil {
		if p.stale {
			p.keys = p.keys[:0]
			for k := range p.rows {
				p.keys = append(p.keys, k)
			}
			slices.Sort(p.keys)
			p.stale = false
		}
		size := 0
		for _, k := range p.keys[sort.SearchStrings(p.keys, from):] {
			if to != "" && k >= to {
				break
			}
			if len(l) == limit || size > maxCallBytes/2 {
				more = true
				break
			}
			size += len(p.rows[k].Value)
			l = append(l, p.rows[k])
		}
	}
	return map[string]any{"rows": l, "truncated": more, "ver": s.version, "now-ms": s.nowMS()}
}

// feed returns the changes of a table after a version, and waits for one if there is none.
func (s *store) feed(table string, after int64, wait time.Duration, canceled <-chan struct{}) map[string]any {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		all := s.logs[table]
		l := slices.Clone(all[sort.Search(len(all), func(i int) bool { return all[i].Version > after }):])
		v, changed, now := s.version, s.changed, s.nowMS()
		s.mu.Unlock()
		body := map[string]any{"rows": l, "ver": v, "now-ms": now}
		if l == nil {
			body["rows"] = []plat.Row{}
		}
		if len(l) > 0 {
			return body
		}
		select {
		case <-changed:
		case <-end.C:
			return body
		case <-canceled:
			return body
		}
	}
}

// ServeHTTP serves the calls of the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	select {
	case <-up:
	default:
		// A store that is down doesn't answer.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	status, body := http.StatusOK, map[string]any(nil)
	switch r.URL.Path {
	case "/-/rows-tx":
		var t transaction
		if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes)).Decode(&t) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(answerTime)
		s.mu.Lock()
		lose := s.lose
		s.mu.Unlock()
		if lose != nil {
			if lost, late := lose(); lost {
				time.AfterFunc(late, func() { s.apply(t) })
				// A connection on which a response is lost delivers nothing further.
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
		}
		status, body = s.apply(t)
	case "/-/rows-get":
		limit, err := strconv.Atoi(q.Get("limit"))
		if err != nil || limit <= 0 || limit > maxListRows {
			limit = maxListRows
		}
		time.Sleep(answerTime)
		body = s.list(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"), limit)
	case "/-/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		ms, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
		body = s.feed(q.Get("table"), after, time.Duration(ms)*time.Millisecond, r.Context().Done())
	default:
		status = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		json.NewEncoder(w).Encode(body)
	}
}

// refused returns how many transactions were refused for a row over rowBytes.
func (s *store) refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooLarge
}

// setLoss makes the store lose answers to transactions as f says, none if f is nil.
func (s *store) setLoss(f func() (bool, time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = f
}

// drop deletes a row that put has written.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(plat.Row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.wake()
}

// setDown takes the store down, or up again. While it is down it answers no call, those that
// wait for a change included.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		s.up = make(chan struct{})
	} else {
		select {
		case <-s.up:
		default:
			close(s.up)
		}
	}
}
