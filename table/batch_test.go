package table

import (
	"context"
	"runtime"
	"sync"
	"testing"
)

// fakeTable holds the versions of rows, and blocks commits until gate is closed.
type fakeTable struct {
	mu       sync.Mutex
	versions map[string]int64
	commits  int
	gate     chan struct{}
}

func (m *fakeTable) Commit(_ context.Context, t Transaction) (Result, error) {
	<-m.gate
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commits++
	var r Result
	for _, c := range t.Conditions {
		if m.versions[c.Key] != c.Version {
			r.Conflicts = append(r.Conflicts, c.Key)
		}
	}
	if len(r.Conflicts) > 0 {
		return r, nil
	}
	for _, w := range t.Writes {
		m.versions[w.Key]++
		r.Versions = append(r.Versions, m.versions[w.Key])
	}
	return r, nil
}

// TestBatcherConflict commits many transactions at once, every third of which conflicts. All others
// must take effect, with fewer commits than transactions.
func TestBatcherConflict(t *testing.T) {
	m := &fakeTable{versions: map[string]int64{}, gate: make(chan struct{})}
	b := NewBatcher(m)
	const n = 90
	var wg sync.WaitGroup
	results := make([]Result, n)
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k := string(rune('a'+i%26)) + string(rune('0'+i/26))
			r, err := b.Commit(context.Background(), Transaction{
				Conditions: []Condition{{k, int64(i % 3 / 2)}},
				Writes:     []Write{{Key: k}},
			})
			if err != nil {
				t.Error(err)
			}
			results[i] = r
		}()
	}
	for queued := 0; queued < n; runtime.Gosched() {
		b.mu.Lock()
		queued = len(b.queue) + len(b.busyKeys)
		b.mu.Unlock()
	}
	close(m.gate)
	wg.Wait()
	for i, r := range results {
		if conflict := i%3 == 2; conflict != (len(r.Conflicts) > 0) || !conflict && len(r.Versions) != 1 {
			t.Errorf("transaction %d: %+v", i, r)
		}
	}
	t.Logf("%d transactions in %d commits", n, m.commits)
	if m.commits >= n {
		t.Errorf("%d commits for %d transactions, want fewer", m.commits, n)
	}
}
