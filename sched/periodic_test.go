package sched

import (
	"fmt"
	"testing"
	"time"

	"citronbridge/fakes/model"
	"citronbridge/work"
)

// TestPeriodicJobAcrossTakeovers guards against a job of many occurrences whose record
// outgrows the store's rows, and against occurrences that run again under a successor, which
// knows them only from the record.
func TestPeriodicJobAcrossTakeovers(t *testing.T) {
	const occurrences, steps, maxRecord = 120, 10, 4 << 10
	w := newWorld(1, faults{})
	w.faultsUntil = 0
	for i := range 4 {
		id := fmt.Sprintf("w%d%d", i%2, i)
		w.cluster.Add(0, &model.Worker{ID: id, Born: 1, CPU: 16000, Memory: 64000})
		w.listed[id] = true
	}
	w.startDecider(nil)
	w.run(time.Second)
	j := &work.Job{ID: "00000000000000aa", Queue: "long", Times: occurrences, Start: wallStart + 1000, Interval: 200 * time.Millisecond}
	var profiles []model.TaskProfile
	for range steps {
		j.Steps = append(j.Steps, work.Step{Count: 1, Demand: work.Amounts{MilliCPU: 100, MemoryMiB: 100}})
		profiles = append(profiles, model.TaskProfile{Work: 20 * time.Millisecond, CPU: 100, Memory: 100})
	}
	j.Spec = model.Spec(profiles...)
	w.accept(j)
	largest := 0
	for range 10 {
		w.run(w.now + 3*time.Second)
		largest = max(largest, len(w.records[j.ID]))
		w.owner().dead = true
		w.startDecider(nil)
	}
	w.run(w.now + 10*time.Second)
	for _, v := range w.violations {
		t.Error(v)
	}
	if w.starts != occurrences*steps || w.stateOf(j.ID) != work.Succeeded {
		t.Errorf("%d starts, want %d; the job is %s", w.starts, occurrences*steps, w.stateOf(j.ID))
	}
	if largest > maxRecord {
		t.Errorf("the record grew to %d bytes, want at most %d", largest, maxRecord)
	}
}
