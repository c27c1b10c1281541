package decide

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/event"
	"citronbridge/fakes/rows"
	"citronbridge/repo"
	"citronbridge/work"
)

// TestFullQueueDoesNotBlockDecider guards against a decider that is blocked for good: a row of
// the feed waits for room in the queue of events while the decider saves the end of a job.
func TestFullQueueDoesNotBlockDecider(t *testing.T) {
	const id = "00000000000000aa"
	d := &Decider{c: Config{Pool: "p", Store: rows.New(), Rules: func() *work.Rules { return &work.Rules{} }}, log: zerolog.Nop(), ctx: t.Context(), events: make(chan event.Event, 1)}
	s := &partition{d: d, name: repo.PartitionOf(repo.TableRecords, id), endedAt: map[string]int64{}, loaded: true}
	s.writer = d.newWriter(repo.Condition{Table: repo.TableFences, Partition: s.name, Key: "p"})
	b, err := work.EncodeJob(&work.Job{ID: id, Queue: "q", Terms: work.Terms{Pool: "p"}, Steps: []work.Step{{Count: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	d.enqueue(event.Tick{})
	go s.jobChanged(repo.Row{Table: repo.TableJobs, Partition: s.name, Key: id, Value: b, Version: 1})
	for s.mu.TryLock() {
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	saved := make(chan struct{})
	go func() {
		s.saveRecord(event.SaveRecord{ID: "00000000000000ab", Final: true, Record: []byte("{}")})
		close(saved)
	}()
	select {
	case <-saved:
	case <-time.After(10 * time.Second):
		t.Fatal("the decider waits for the feed, which waits for the decider")
	}
	for range 2 {
		<-d.events
	}
}
