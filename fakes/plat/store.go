package plat

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row of the store.
type Row struct {
	Table, Part, Key string
	Value            []byte
	Version          int64
	Deleted          bool
}

// MarshalJSON writes the row by the names on the wire.
func (r Row) MarshalJSON() ([]byte, error) {
	m := map[string]any{"table": r.Table, "part": r.Part, "key": r.Key, "ver": r.Version}
	if r.Deleted {
		m["tombstone"] = true
	} else {
		m["value"] = r.Value
	}
	return json.Marshal(m)
}

// UnmarshalJSON reads the row by the names on the wire.
func (r *Row) UnmarshalJSON(b []byte) error {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(b, &m); err != nil {
		return err
	}
	for k, to := range map[string]any{"table": &r.Table, "part": &r.Part, "key": &r.Key, "value": &r.Value, "ver": &r.Version} {
		if v, ok := m[k]; ok {
			if err := json.Unmarshal(v, to); err != nil {
				return err
			}
		}
	}
	return nil
}

// StoreFaults is what a door of the store does to calls.
type StoreFaults struct {
	// Status, if not 0, is answered without doing anything.
	Status int
	// Unresponsive calls get no answer until the trouble is over.
	Unresponsive bool
	// Delay comes before each answer.
	Delay time.Duration
	// LoseOneIn, if positive, makes one write in so many get no answer. Late
	// ones of these are done only after LateBy.
	LoseOneIn int
	LateBy    time.Duration
}

// Store is the platform's metadata store.
type Store struct {
	mu          sync.Mutex
	rows        map[string]Row
	changeLog   []Row
	compactedTo int64
	version     int64
	changed     chan struct{}
	startTime   time.Time
	calls       map[string]int
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{rows: map[string]Row{}, changed: make(chan struct{}), startTime: time.Now(), calls: map[string]int{}}
}

func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// Put writes a row, as the operator and the workers do.
func (s *Store) Put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.setRow(Row{Table: table, Key: key, Value: value, Version: s.version})
	s.wakeFeeds()
	return s.version
}

// Remove drops a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.setRow(Row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.wakeFeeds()
}

// Value returns a row's value, or nil.
func (s *Store) Value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowID(table, part, key)].Value
}

// RowCount returns how many rows a table has.
func (s *Store) RowCount(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.rows {
		if r.Table == table {
			n++
		}
	}
	return n
}

// CallCount returns how often a call came.
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changeLog, s.compactedTo = nil, s.version
	s.wakeFeeds()
}

func (s *Store) setRow(r Row) {
	n := rowID(r.Table, r.Part, r.Key)
	if r.Deleted {
		delete(s.rows, n)
	} else {
		s.rows[n] = r
	}
	s.changeLog = append(s.changeLog, r)
}

func (s *Store) wakeFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// transaction is a transaction.
type transaction struct {
	If, Put, Delete []Row
	Across          bool
}

// decodeTransaction reads a transaction by the names on the wire.
func decodeTransaction(r *http.Request) (transaction, error) {
	var t transaction
	var m map[string]json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		return t, err
	}
	for k, to := range map[string]any{"expect-rev": &t.If, "writes": &t.Put, "remove": &t.Delete, "across": &t.Across} {
		if v, ok := m[k]; ok {
			if err := json.Unmarshal(v, to); err != nil {
				return t, err
			}
		}
	}
	return t, nil
}

// maxTransactionRows bounds the entries of a transaction.
const maxTransactionRows = 100

// maxNameBytes bounds the names of a row.
const maxNameBytes = 200

// readOnlyTables tables can't be written by the system.
var readOnlyTables = []string{"op", "servers"}

// apply carries out a transaction and returns the status and the body.
func (s *Store) apply(t transaction) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(t.If)+len(t.Put)+len(t.Delete) > maxTransactionRows {
		return http.StatusBadRequest, nil
	}
	for _, r := range slices.Concat(t.If, t.Put, t.Delete) {
		if !t.Across && r.Part != slices.Concat(t.If, t.Put, t.Delete)[0].Part {
			return http.StatusBadRequest, nil
		}
	}
	for _, r := range slices.Concat(t.If, t.Put, t.Delete) {
		if len(r.Table) > maxNameBytes || len(r.Part) > maxNameBytes || len(r.Key) > maxNameBytes {
			return http.StatusBadRequest, nil
		}
	}
	for _, r := range slices.Concat(t.Put, t.Delete) {
		if slices.Contains(readOnlyTables, r.Table) {
			return http.StatusForbidden, nil
		}
	}
	current, holds := []Row{}, true
	for _, c := range t.If {
		r, ok := s.rows[rowID(c.Table, c.Part, c.Key)]
		if ok {
			current = append(current, r)
		}
		holds = holds && r.Version == c.Version
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version, "now-ms": s.nowMS()}
	}
	s.version++
	for _, r := range t.Put {
		r.Version = s.version
		s.setRow(r)
	}
	for _, r := range t.Delete {
		if _, ok := s.rows[rowID(r.Table, r.Part, r.Key)]; ok {
			s.setRow(Row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
		}
	}
	s.wakeFeeds()
	return http.StatusOK, map[string]any{"ver": s.version, "now-ms": s.nowMS()}
}

func (s *Store) nowMS() int64 { return time.Since(s.startTime).Milliseconds() }

// list lists rows of a table.
func (s *Store) list(table, part, from, to string, limit int) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := []Row{}
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && r.Key >= from && (to == "" || r.Key < to) {
			l = append(l, r)
		}
	}
	slices.SortFunc(l, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	more := len(l) > limit
	if more {
		l = l[:limit]
	}
	return http.StatusOK, map[string]any{"rows": l, "truncated": more, "ver": s.version, "now-ms": s.nowMS()}
}

// feed returns what changed, waiting for it.
func (s *Store) feed(table string, after int64, wait time.Duration, gone <-chan struct{}) (int, map[string]any) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		if after < s.compactedTo {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		l := []Row{}
		for _, r := range s.changeLog {
			if r.Table == table && r.Version > after {
				l = append(l, r)
			}
		}
		version, changed := s.version, s.changed
		now := s.nowMS()
		s.mu.Unlock()
		if len(l) > 0 {
			return http.StatusOK, map[string]any{"rows": l, "ver": version, "now-ms": now}
		}
		select {
		case <-changed:
		case <-end.C:
			return http.StatusOK, map[string]any{"rows": l, "ver": version, "now-ms": now}
		case <-gone:
			return http.StatusServiceUnavailable, nil
		}
	}
}

// StoreEndpoint is one address of the store, with troubles of its own.
type StoreEndpoint struct {
	store *Store

	mu            sync.Mutex
	faults        StoreFaults
	faultsChanged chan struct{}
	rng           *rand.Rand
}

// NewStoreEndpoint returns a Door. The seed decides which answers are lost.
func NewStoreEndpoint(s *Store, seed uint64) *StoreEndpoint {
	return &StoreEndpoint{store: s, faultsChanged: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 1))}
}

// SetFaults replaces the door's trouble.
func (d *StoreEndpoint) SetFaults(t StoreFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = t
	close(d.faultsChanged)
	d.faultsChanged = make(chan struct{})
}

// ServeHTTP serves the store's calls.
func (d *StoreEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	t, over := d.faults, d.faultsChanged
	lose := t.LoseOneIn > 0 && d.rng.IntN(t.LoseOneIn) == 0
	d.mu.Unlock()
	d.store.mu.Lock()
	d.store.calls[r.URL.Path]++
	d.store.mu.Unlock()
	switch {
	case t.Status != 0:
		w.WriteHeader(t.Status)
		return
	case t.Unresponsive:
		select {
		case <-over:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	time.Sleep(t.Delay)
	q := r.URL.Query()
	var status int
	var body map[string]any
	switch r.URL.Path {
	case "/-/rows-tx":
		b, err := decodeTransaction(r)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if lose && t.LateBy > 0 {
			time.AfterFunc(t.LateBy, func() { d.store.apply(b) })
			panic(http.ErrAbortHandler)
		}
		status, body = d.store.apply(b)
		if lose {
			panic(http.ErrAbortHandler)
		}
	case "/-/rows-get":
		limit, err := strconv.Atoi(q.Get("limit"))
		if err != nil || limit > 500 {
			limit = 500
		}
		status, body = d.store.list(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"), limit)
	case "/-/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		ms, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
		status, body = d.store.feed(q.Get("table"), after, time.Duration(ms)*time.Millisecond, closedWithEither(over, r.Context().Done()))
	default:
		status = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		json.NewEncoder(w).Encode(body)
	}
}

// closedWithEither returns a channel that is closed when either is.
func closedWithEither(a, b <-chan struct{}) <-chan struct{} {
	c := make(chan struct{})
	go func() {
		select {
		case <-a:
		case <-b:
		}
		close(c)
	}()
	return c
}
