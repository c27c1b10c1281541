package relay

import (
	"context"
	"testing"
	"time"

	"citronbridge/fakes/rows"
	"citronbridge/repo"
)

// blockingFeedStore is a store whose feeds wait until their context ends.
type blockingFeedStore struct {
	*faultyStore
	started chan struct{}
}

// Feed implements repo.Store.
func (w blockingFeedStore) Feed(ctx context.Context, _ string, _ int64, _ time.Duration) (repo.Page, error) {
	w.started <- struct{}{}
	<-ctx.Done()
	return repo.Page{}, ctx.Err()
}

// TestClosedConnectionEndsCall closes the connection over which a long feed waits, and
// checks that the call ends at once instead of waiting on.
func TestClosedConnectionEndsCall(t *testing.T) {
	m := rows.New()
	far := blockingFeedStore{&faultyStore{Store: m}, make(chan struct{})}
	_, address := startRelayOn(t, "far", far)
	near := &faultyStore{Store: m}
	near.setFailure(repo.ErrNotDone)
	r, _ := startRelay(t, "near", near, address)
	failOver(t, r)
	ended := make(chan error)
	go func() {
		_, err := r.Feed(t.Context(), "t", 0, time.Hour)
		ended <- err
	}()
	<-far.started
	r.mu.Lock()
	peers := r.peers
	r.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
	if err := <-ended; err == nil {
		t.Error("a call whose connection was closed returned no error")
	}
}
