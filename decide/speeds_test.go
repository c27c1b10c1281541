package decide

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/event"
	"citronbridge/fakes/rows"
	"citronbridge/rates"
	"citronbridge/repo"
)

// TestSpeedsReachSuccessor guards against a successor that learns the speeds of all workers anew, or
// that can't take over a pool because of a row of speeds that can't be decoded.
func TestSpeedsReachSuccessor(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	m, log := rows.New(), &bytes.Buffer{}
	d := &Decider{c: Config{Pool: "p", Store: m}, log: zerolog.New(log)}
	d.writer = d.newWriter(repo.Condition{Table: repo.TableOwners, Key: "p"})
	want := map[string]rates.Speed{"w0": {Log: -0.5, Variance: 0.01, Incarnation: 7}}
	d.writeSpeeds(event.SaveSpeeds{Shard: 3, Speeds: want})
	written := make(chan struct{})
	d.writer.Put(repo.TableSpeeds, repo.WorkerKey("p", "4"), []byte("damaged"), nil)
	d.writer.Put(repo.TableSpeeds, repo.WorkerKey("q", "3"), []byte("{}"), func() { close(written) })
	go d.writer.Run(ctx)
	<-written
	l, err := d.readWorkers(ctx)
	if err != nil {
		t.Fatal(err)
	}
	var got []event.SpeedsInherited
	for _, e := range l.events {
		if s, ok := e.(event.SpeedsInherited); ok && len(s.Speeds) > 0 {
			got = append(got, s)
		}
	}
	a, _ := json.Marshal(want)
	if len(got) != 1 {
		t.Fatalf("inherited %+v, want one row with speeds", got)
	}
	if b, _ := json.Marshal(got[0].Speeds); !bytes.Equal(a, b) {
		t.Errorf("inherited %s, want %s", b, a)
	}
	if !bytes.Contains(log.Bytes(), []byte("can't be decoded")) {
		t.Error("no line tells of the damaged row")
	}
}
