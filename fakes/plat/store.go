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

// Row is a row of the store. In transactions, Version of a condition is the
// version that the row must have.
type Row struct {
	Table, Part, Key string
	Value            []byte
	Version          int64
	Deleted          bool
}

// MarshalJSON encodes the row with the platform's field names.
func (r Row) MarshalJSON() ([]byte, error) {
	m := map[string]any{"table": r.Table, "part": r.Part, "key": r.Key, "ver": r.Version}
	if r.Deleted {
		m["tombstone"] = true
	} else {
		m["value"] = r.Value
	}
	return json.Marshal(m)
}

// UnmarshalJSON decodes the row from the platform's field names.
func (r *Row) UnmarshalJSON(b []byte) error {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(b, &m); err != nil {
		return err
	}
	for k, field := range map[string]any{"table": &r.Table, "part": &r.Part, "key": &r.Key, "value": &r.Value, "ver": &r.Version} {
		if v, ok := m[k]; ok {
			if err := json.Unmarshal(v, field); err != nil {
				return err
			}
		}
	}
	return nil
}

// StoreFaults are faults that an endpoint of the store injects into calls.
type StoreFaults struct {
	// Status, if not 0, is the answer to every call. Calls have no effect then.
	Status int
	// Unresponsive leaves calls without an answer, and aborts them once other
	// faults are set.
	Unresponsive bool
	// Delay is added before each call is carried out.
	Delay time.Duration
	// LoseOneIn, if positive, drops the answer to one in LoseOneIn writes, drawn at
	// random. Such writes take effect at once, LateBy later if that is positive, or
	// with HoldBack only by StoreEndpoint.ApplyHeldBack.
	LoseOneIn int
	LateBy    time.Duration
	HoldBack  bool
	// HungFeed, if set, is a table whose feed gets no answer while all other calls do.
	HungFeed string
}

// Store is the platform's metadata store, in memory.
type Store struct {
	mu sync.Mutex
	// rows are the current rows by rowID.
	rows map[string]Row
	// changeLog has the changes after the version compactedTo, oldest first.
	changeLog   []Row
	compactedTo int64
	version     int64
	// changed is closed, and replaced, with each change.
	changed   chan struct{}
	startTime time.Time
	// calls counts the calls by path.
	calls map[string]int
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{rows: map[string]Row{}, changed: make(chan struct{}), startTime: time.Now(), calls: map[string]int{}}
}

// rowID returns the key of a row in Store.rows.
func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// Put writes a row in the empty partition, as the operator and the workers do, and
// returns its version. It may write to readOnlyTables.
func (s *Store) Put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.setRow(Row{Table: table, Key: key, Value: value, Version: s.version})
	s.wakeFeeds()
	return s.version
}

// Remove deletes a row that Put has written.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.setRow(Row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.wakeFeeds()
}

// Value returns a row's value, nil if the row doesn't exist.
func (s *Store) Value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowID(table, part, key)].Value
}

// Values returns the values of a table's rows by key, from all partitions.
func (s *Store) Values(table string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := map[string][]byte{}
	for _, r := range s.rows {
		if r.Table == table {
			m[r.Key] = r.Value
		}
	}
	return m
}

// RowCount returns the number of rows of a table, in all partitions.
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

// CallCount returns the number of calls of a path on all endpoints so far.
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Compact discards the change log: feeds from an older version fail from then on.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changeLog, s.compactedTo = nil, s.version
	s.wakeFeeds()
}

// setRow writes or deletes a row and logs the change. The caller holds s.mu.
func (s *Store) setRow(r Row) {
	n := rowID(r.Table, r.Part, r.Key)
	if r.Deleted {
		delete(s.rows, n)
	} else {
		s.rows[n] = r
	}
	s.changeLog = append(s.changeLog, r)
}

// wakeFeeds wakes the feeds that wait for a change. The caller holds s.mu.
func (s *Store) wakeFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// transaction is a change of rows under conditions. Unless Across is set, all its
// rows must be in one partition.
type transaction struct {
	If, Put, Delete []Row
	Across          bool
}

// decodeTransaction decodes a transaction from the platform's field names.
func decodeTransaction(r *http.Request) (transaction, error) {
	var t transaction
	var m map[string]json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		return t, err
	}
	for k, field := range map[string]any{"expect-rev": &t.If, "writes": &t.Put, "remove": &t.Delete, "across": &t.Across} {
		if v, ok := m[k]; ok {
			if err := json.Unmarshal(v, field); err != nil {
				return t, err
			}
		}
	}
	return t, nil
}

// maxTransactionRows is the platform's limit for the conditions and rows of a
// transaction.
const maxTransactionRows = 100

// maxValueBytes is the platform's limit for a row's value.
const maxValueBytes = 65536

// maxNameBytes is the platform's limit for a row's table, partition and key.
const maxNameBytes = 200

// readOnlyTables are the tables that only the operator and the workers write.
var readOnlyTables = []string{"op", "servers"}

// apply carries out a transaction and returns the HTTP status and the body.
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
		if len(r.Table) > maxNameBytes || len(r.Part) > maxNameBytes || len(r.Key) > maxNameBytes || len(r.Value) > maxValueBytes {
			return http.StatusBadRequest, nil
		}
	}
	for _, r := range slices.Concat(t.Put, t.Delete) {
		if slices.Contains(readOnlyTables, r.Table) {
			return http.StatusForbidden, nil
		}
	}
	current, allHold := []Row{}, true
	for _, c := range t.If {
		r, ok := s.rows[rowID(c.Table, c.Part, c.Key)]
		if ok {
			current = append(current, r)
		}
		allHold = allHold && r.Version == c.Version
	}
	if !allHold {
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

// nowMS returns the store's clock in milliseconds since its creation.
func (s *Store) nowMS() int64 { return time.Since(s.startTime).Milliseconds() }

// list returns the rows of a partition with from <= key < to, at most limit, as
// status and body. An empty to sets no upper bound.
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

// feed returns the changes of a table after a version as status and body. It waits
// up to wait for a change, or until canceled is closed, which gives 503.
func (s *Store) feed(table string, after int64, wait time.Duration, canceled <-chan struct{}) (int, map[string]any) {
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
		case <-canceled:
			return http.StatusServiceUnavailable, nil
		}
	}
}

// StoreEndpoint serves the store at one address, with faults of its own.
type StoreEndpoint struct {
	store *Store

	mu     sync.Mutex
	faults StoreFaults
	// heldBack are the lost transactions that aren't carried out yet.
	heldBack []transaction
	// faultsChanged is closed, and replaced, when faults are set.
	faultsChanged chan struct{}
	rng           *rand.Rand
}

// NewStoreEndpoint returns an endpoint of s without faults. The seed determines
// which answers LoseOneIn drops.
func NewStoreEndpoint(s *Store, seed uint64) *StoreEndpoint {
	return &StoreEndpoint{store: s, faultsChanged: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 1))}
}

// SetFaults replaces the endpoint's faults.
func (d *StoreEndpoint) SetFaults(t StoreFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = t
	close(d.faultsChanged)
	d.faultsChanged = make(chan struct{})
}

// ApplyHeldBack carries out the transactions that HoldBack has kept, and returns their number.
func (d *StoreEndpoint) ApplyHeldBack() int {
	d.mu.Lock()
	l := d.heldBack
	d.heldBack = nil
	d.mu.Unlock()
	for _, t := range l {
		d.store.apply(t)
	}
	return len(l)
}

// ServeHTTP serves the calls of the store: transactions, reads and feeds.
func (d *StoreEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	t, faultsChanged := d.faults, d.faultsChanged
	lose := t.LoseOneIn > 0 && d.rng.IntN(t.LoseOneIn) == 0
	d.mu.Unlock()
	d.store.mu.Lock()
	d.store.calls[r.URL.Path]++
	d.store.mu.Unlock()
	switch {
	case t.Status != 0:
		w.WriteHeader(t.Status)
		return
	case t.Unresponsive, t.HungFeed != "" && r.URL.Path == "/-/rows-feed" && r.URL.Query().Get("table") == t.HungFeed:
		select {
		case <-faultsChanged:
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
		if lose && t.HoldBack {
			d.mu.Lock()
			d.heldBack = append(d.heldBack, b)
			d.mu.Unlock()
			panic(http.ErrAbortHandler)
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
		status, body = d.store.feed(q.Get("table"), after, time.Duration(ms)*time.Millisecond, closedWithEither(faultsChanged, r.Context().Done()))
	default:
		status = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		json.NewEncoder(w).Encode(body)
	}
}

// closedWithEither returns a channel that is closed as soon as a or b is.
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
