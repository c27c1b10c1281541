package work

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// roundTrip returns the record as another decider reads it.
func roundTrip(t *testing.T, r *Record) (*Record, int) {
	t.Helper()
	b, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	c, err := DecodeRecord(b)
	if err != nil {
		t.Fatal(err)
	}
	return c, len(b)
}

// TestRecordOfManyOccurrences guards against a record that outgrows the store's rows, as it
// keeps the steps of all occurrences that are done.
func TestRecordOfManyOccurrences(t *testing.T) {
	const steps, tasks = 10, 3
	r := &Record{State: Running, Queue: "q"}
	for k := range MaxTimes {
		for i := range steps {
			for n := range tasks {
				r.SetPlaced(k, i, n, "w")
				r.SetSaved(TaskKey(k, i, n), "checkpoint")
				r.AddFailure(TaskKey(k, i, n), k)
				r.SetDone(k, i, n)
			}
		}
		// Every tenth occurrence has a step without a record until the next one is done.
		if k%10 > 0 {
			r.SetOccurrenceDone(k)
		}
		if k%10 == 1 {
			r.SetOccurrenceDone(k - 1)
		}
	}
	c, size := roundTrip(t, r)
	if size > maxRecordBytes/4 || c.Unsure {
		t.Errorf("the record has %d bytes, want at most %d; unsure %v", size, maxRecordBytes/4, c.Unsure)
	}
	for k := range MaxTimes {
		if !c.IsDone(k, steps-1, tasks-1) {
			t.Fatalf("a task of occurrence %d isn't done", k)
		}
	}
	if c.IsDone(MaxTimes, 0, 0) || len(c.FailedRuns)+len(c.Saved)+len(c.Placed) > 0 {
		t.Errorf("left in the record: %d failures, %d checkpoints, %d placements", len(c.FailedRuns), len(c.Saved), len(c.Placed))
	}
}

// TestRecordOfUnfinishedOccurrences checks that occurrences that aren't done keep their
// steps, whatever others are done.
func TestRecordOfUnfinishedOccurrences(t *testing.T) {
	r := &Record{State: Running, Queue: "q"}
	const occurrences = 10 * maxDoneSteps
	done := func(k int) bool { return k%7 > 0 }
	for k := range occurrences {
		r.SetDone(k, 0, k%3)
		if done(k) {
			r.SetDone(k, 1, 0)
			r.SetOccurrenceDone(k)
		}
	}
	r, _ = roundTrip(t, r)
	for k := range occurrences {
		for _, x := range []struct {
			step, index int
			want        bool
		}{{0, k % 3, true}, {0, 3, done(k)}, {1, 0, done(k)}} {
			if got := r.IsDone(k, x.step, x.index); got != x.want {
				t.Fatalf("task %s is done: %v, want %v", TaskKey(k, x.step, x.index), got, x.want)
			}
		}
	}
}

// TestFewOccurrencesStayReadable checks that the record of a job with few occurrences holds
// their steps also for versions that know nothing of DoneOccurrences.
func TestFewOccurrencesStayReadable(t *testing.T) {
	r := &Record{State: Running, Queue: "q"}
	for k := range maxDoneSteps / 2 {
		r.SetDone(k, 0, 0)
		r.SetDone(k, 1, 0)
		r.SetOccurrenceDone(k)
	}
	if len(r.Done) != maxDoneSteps {
		t.Errorf("%d steps are left, want %d: %s", len(r.Done), maxDoneSteps, fmt.Sprint(r.Done))
	}
}

// TestRecordKeepsAccount guards against a record that loses who may reach its job when it is read
// and written again: while the job runs, with too many placements, at its end, and if it was
// cancelled before it was stored.
func TestRecordKeepsAccount(t *testing.T) {
	large := &Record{State: Running, Queue: "q", HasAccount: true, Account: "a"}
	for i := range 5000 {
		large.SetPlaced(0, 0, i, strings.Repeat("w", 20))
	}
	for _, x := range []struct {
		name   string
		record *Record
		unsure bool
	}{
		{"running", &Record{State: Running, Queue: "q", HasAccount: true, Account: "a"}, false},
		{"without an account", &Record{State: Pending, Queue: "q", HasAccount: true}, false},
		{"too large", large, true},
		{"ended", &Record{State: Failed, Queue: "q", Ended: 7, HasAccount: true, Account: "a"}, false},
		{"ended, without an account", &Record{State: Canceled, Queue: "q", Ended: 7, HasAccount: true}, false},
		{"cancelled in advance", &Record{State: Canceled, Ended: 7, Unsubmitted: true, CanceledFor: []Submitter{{Account: "a"}, {Queue: "q"}}}, false},
	} {
		c, _ := roundTrip(t, x.record)
		c, _ = roundTrip(t, c)
		want, wantKnown := x.record.Submitter()
		if s, known := c.Submitter(); s != want || known != wantKnown || c.Unsure != x.unsure || !reflect.DeepEqual(c.CanceledFor, x.record.CanceledFor) {
			t.Errorf("%s: submitter %+v, known %v, unsure %v, cancelled for %+v", x.name, s, known, c.Unsure, c.CanceledFor)
		}
	}
}

// TestRecordsOfOtherVersions decodes records without the account, as earlier versions write them,
// and lets an earlier version read and write new ones: it loses the account, and nothing else.
func TestRecordsOfOtherVersions(t *testing.T) {
	r, err := DecodeRecord([]byte(`{"State":"Running","Queue":"q","Pool":"p","Placed":{"0.0.0":"w"}}`))
	if err != nil {
		t.Fatal(err)
	}
	if s, known := r.Submitter(); known {
		t.Errorf("a record without an account has the submitter %+v", s)
	}
	r, err = DecodeRecord([]byte(`{"State":"Canceled","Queue":"","Ended":7,"Unsubmitted":true}`))
	if err != nil || !r.Stops(Submitter{Account: "a"}) || !r.Stops(Submitter{Queue: "q"}) {
		t.Errorf("record of a cancelled unknown job: %+v, %v; want one that stops everyone's", r, err)
	}
	r, err = DecodeRecord([]byte(`{"State":"Canceled","Queue":"","Ended":7,"Unsubmitted":true,"CanceledFor":[{"Account":"a"}],"Later":1}`))
	if err != nil || !r.Stops(Submitter{Account: "a"}) || r.Stops(Submitter{Account: "b"}) || r.Stops(Submitter{Queue: "a"}) {
		t.Errorf("record of an unknown job cancelled by one account: %+v, %v", r, err)
	}
	// earlier has the fields of Record before it had the account.
	type earlier struct {
		State           State
		Queue           string
		Ended           int64             `json:",omitempty"`
		Unsubmitted     bool              `json:",omitempty"`
		Pool            string            `json:",omitempty"`
		Placed          map[string]string `json:",omitempty"`
		Unsure          bool              `json:",omitempty"`
		Done            map[string][]byte `json:",omitempty"`
		DoneOccurrences []byte            `json:",omitempty"`
		FailedRuns      map[string][]int  `json:",omitempty"`
		Saved           map[string]string `json:",omitempty"`
	}
	written := &Record{State: Running, Queue: "q", HasAccount: true, Account: "a", Pool: "p", Placed: map[string]string{"0.0.1": "w"}, Done: map[string][]byte{"0.0": {1}}}
	b, err := written.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var e earlier
	if err := json.Unmarshal(b, &e); err != nil {
		t.Fatal(err)
	}
	if b, err = json.Marshal(e); err != nil {
		t.Fatal(err)
	}
	r, err = DecodeRecord(b)
	if err != nil {
		t.Fatal(err)
	}
	written.HasAccount, written.Account = false, ""
	if !reflect.DeepEqual(r, written) {
		t.Errorf("an earlier version has written %+v, want %+v", r, written)
	}
}

// FuzzRecord decodes records. One that is accepted must keep who may reach its job, and whose
// submissions it stops, when it is written and read again.
func FuzzRecord(f *testing.F) {
	for _, s := range []string{
		`{"State":"Running","Queue":"q","HasAccount":true,"Account":"a","Placed":{"0.0.0":"w"}}`, `{"State":"Canceled","Queue":"","Unsubmitted":true,"CanceledFor":[{"Account":"a"},{"Queue":"q"},{}]}`,
		`{"State":"Failed","Queue":"q","Account":"a"}`, `{"State":"Pending","Queue":"q","CanceledFor":null,"HasAccount":null}`, "null", "{", "\xff",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeRecord(b)
		if err != nil {
			return
		}
		b, err = r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		c, err := DecodeRecord(b)
		if err != nil {
			t.Fatalf("%s: %v", b, err)
		}
		want, wantKnown := r.Submitter()
		if s, known := c.Submitter(); s != want || known != wantKnown {
			t.Errorf("submitter %+v, known %v, want %+v, %v", s, known, want, wantKnown)
		}
		for _, s := range append(r.CanceledFor, Submitter{}, Submitter{Account: "a"}, Submitter{Queue: "q"}) {
			if c.Stops(s) != r.Stops(s) {
				t.Errorf("the record stops %+v: %v, want %v", s, c.Stops(s), r.Stops(s))
			}
		}
	})
}
