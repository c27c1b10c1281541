package relay

import (
	"context"
	"testing"
	"time"

	"citronbridge/fakes/rows"
	"citronbridge/repo"
)

// waiting is a store whose feeds wait until they are given up.
type waiting struct {
	*door
	entered chan struct{}
}

// Feed implements repo.Store.
func (w waiting) Feed(ctx context.Context, _ string, _ int64, _ time.Duration) (repo.Page, error) {
	w.entered <- struct{}{}
	<-ctx.Done()
	return repo.Page{}, ctx.Err()
}

// TestClosedConnection closes the connection of a call that waits for long: the
// call ends.
func TestClosedConnection(t *testing.T) {
	m := rows.New()
	far := waiting{&door{Store: m}, make(chan struct{})}
	_, address := startStore(t, "far", far)
	near := &door{Store: m}
	near.set(repo.ErrNotDone)
	r, _ := start(t, "near", near, address)
	lose(t, r)
	ended := make(chan error)
	go func() {
		_, err := r.Feed(t.Context(), "t", 0, time.Hour)
		ended <- err
	}()
	<-far.entered
	r.mu.Lock()
	peers := r.peers
	r.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
	if err := <-ended; err == nil {
		t.Error("a call whose connection was closed has an answer")
	}
}
