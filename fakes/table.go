package fakes

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/btree"
	"golang.org/x/time/rate"

	"citronbridge/table"
	"citronbridge/units"
)

// TableFaults are the faults that a Table injects until they are replaced.
type TableFaults struct {
	Outage      bool           // 503 on every call
	Delay       units.Duration // added before every call
	LosePercent int            // percentage of commits that take effect but get no answer
	Seed        uint64         // determines which commits LosePercent selects
}

// Table is a table service in memory that enforces the platform's rate limits.
type Table struct {
	mu            sync.Mutex
	rows          btree.Map[string, table.Row]
	faults        TableFaults
	random        *rand.Rand
	counts        TableCounts
	writes, reads *rate.Limiter
}

// TableCounts counts calls served and refused, commits whose answer was lost, and rows held.
type TableCounts struct {
	Reads, Writes, Rows, Refused, Lost int
}

// NewTable returns an empty Table that serves at most these numbers of writes and reads per second.
func NewTable(writes, reads int) *Table {
	return &Table{
		writes: rate.NewLimiter(rate.Limit(writes), writes),
		reads:  rate.NewLimiter(rate.Limit(reads), reads),
		random: rand.New(rand.NewPCG(1, 1)),
	}
}

// Handler serves /get, /scan, /commit, and /faults and /counts for tests.
func (t *Table) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /get", t.withFaults(t.reads, t.get))
	m.HandleFunc("GET /scan", t.withFaults(t.reads, t.scan))
	m.HandleFunc("POST /commit", t.withFaults(t.writes, t.commit))
	m.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f TableFaults
		if decodeRequest(w, r, &f) {
			t.SetFaults(f)
		}
	})
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Counts()) })
	return m
}

// Counts returns the table's current counts.
func (t *Table) Counts() TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts
	c.Rows = t.rows.Len()
	return c
}

// SetFaults replaces the faults and restarts the random sequence of lost answers.
func (t *Table) SetFaults(f TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	t.random = rand.New(rand.NewPCG(f.Seed, 1))
}

// withFaults returns a handler that applies delay, outage and the rate limit l before h.
func (t *Table) withFaults(l *rate.Limiter, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		t.mu.Lock()
		f := t.faults
		t.mu.Unlock()
		time.Sleep(f.Delay.D())
		if f.Outage || !l.Allow() {
			t.mu.Lock()
			t.counts.Refused++
			t.mu.Unlock()
			http.Error(w, "not served", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func (t *Table) get(w http.ResponseWriter, r *http.Request) {
	var keys []string
	if !decodeRequest(w, r, &keys) {
		return
	}
	t.mu.Lock()
	t.counts.Reads++
	rows := []table.Row{}
	for _, k := range keys {
		if v, ok := t.rows.Get(k); ok {
			rows = append(rows, v)
		}
	}
	t.mu.Unlock()
	writeJSON(w, rows)
}

// scan answers with a page of the rows whose keys start with Prefix and follow After.
func (t *Table) scan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	n, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || n < 1 || n > table.MaxPage {
		http.Error(w, "bad Limit", http.StatusBadRequest)
		return
	}
	prefix, after := q.Get("Prefix"), q.Get("After")
	p := table.Page{Rows: []table.Row{}}
	t.mu.Lock()
	t.counts.Reads++
	t.rows.Ascend(max(prefix, after), func(k string, v table.Row) bool {
		if !strings.HasPrefix(k, prefix) {
			return false
		}
		if k == after {
			return true
		}
		if len(p.Rows) == n {
			p.More = true
			return false
		}
		p.Rows = append(p.Rows, v)
		return true
	})
	t.mu.Unlock()
	writeJSON(w, p)
}

func (t *Table) commit(w http.ResponseWriter, r *http.Request) {
	var x table.Transaction
	if !decodeRequest(w, r, &x) {
		return
	}
	if err := x.Check().Err(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	res, lost := t.Apply(x)
	if lost {
		// Abort the connection without an answer, although the writes took effect.
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, res)
}

// Apply commits x unless a condition fails, and reports whether the answer is to be lost.
func (t *Table) Apply(x table.Transaction) (r table.Result, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Writes++
	for _, c := range x.Conditions {
		if v, _ := t.rows.Get(c.Key); v.Version != c.Version {
			r.Conflicts = append(r.Conflicts, c.Key)
		}
	}
	if len(r.Conflicts) == 0 {
		for _, w := range x.Writes {
			r.Versions = append(r.Versions, t.applyWrite(w, x.Writer))
		}
	}
	lost = t.random.IntN(100) < t.faults.LosePercent
	if lost {
		t.counts.Lost++
	}
	return r, lost
}

// applyWrite writes or deletes a row and returns its version, 0 if deleted. The caller holds t.mu.
func (t *Table) applyWrite(w table.Write, writer string) int64 {
	if w.Delete {
		t.rows.Delete(w.Key)
		return 0
	}
	v, _ := t.rows.Get(w.Key)
	n := v.Version + 1
	t.rows.Set(w.Key, table.Row{Key: w.Key, Value: w.Value, Version: n, Writer: writer})
	return n
}
