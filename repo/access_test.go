package repo

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"citronbridge/work"
)

var (
	accountA = Caller{Account: "a"}
	accountB = Caller{Account: "b"}
)

// jobOf returns testJob as submitted by an account, which may be empty.
func jobOf(account string) *work.Job {
	j := testJob()
	j.Tenant = account
	return j
}

// countingStore counts the calls of a store.
type countingStore struct {
	*memoryStore
	reads int
}

func (s *countingStore) List(ctx context.Context, table, partition, from string, limit int) (Page, error) {
	s.reads++
	return s.memoryStore.List(ctx, table, partition, from, limit)
}

// TestReach guards against callers that reach jobs of others, and against accounts that lose
// their own, for jobs of an account and without one. It counts the store calls: the account of a
// job costs none.
func TestReach(t *testing.T) {
	onPublic := func(c Caller, queue string) Caller {
		c.PublicQueue = queue
		return c
	}
	for _, x := range []struct {
		name    string
		account string
		caller  Caller
		reached bool
	}{
		{"its account", "a", accountA, true},
		{"its account through a public queue", "a", onPublic(accountA, "q"), true},
		{"another account", "a", accountB, false},
		{"another account through its public queue", "a", onPublic(accountB, "q"), false},
		{"no account", "a", anyone, false},
		{"no account on either side", "", anyone, true},
		{"an account, through the public queue", "", onPublic(accountA, "q"), true},
		{"an account, not through the public queue", "", accountA, false},
		{"another public queue", "", onPublic(accountA, "other"), false},
		{"an account with the name of the queue", "", Caller{Account: "q"}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := &countingStore{memoryStore: newMemoryStore()}
			r := New(s, fixedHealth(false))
			submitter := Caller{Account: x.account, PublicQueue: "q"}
			if v, err := r.Submit(t.Context(), submitter, jobOf(x.account)); v != Done {
				t.Fatal(v, err)
			}
			before := maps.Clone(s.rows)
			count := func(call string, writes, reads int) {
				t.Helper()
				if s.calls != writes || s.reads != reads {
					t.Errorf("%s: %d writes and %d reads, want %d and %d", call, s.calls, s.reads, writes, reads)
				}
				s.calls, s.reads = 0, 0
			}
			count("submission", 1, 0)
			want := map[bool][3]Verdict{true: {Done, Done, Done}, false: {Taken, Absent, Absent}}[x.reached]
			if v, err := r.Submit(t.Context(), x.caller, jobOf(x.caller.Account)); v != want[0] {
				t.Errorf("repeated submission: %s, %v, want %s", v, err, want[0])
			}
			count("repeated submission", 1, 0)
			if rec, v, err := r.Record(t.Context(), x.caller, jobID); v != want[1] || (rec != nil) != x.reached {
				t.Errorf("state: %+v, %s, %v, want %s", rec, v, err, want[1])
			}
			count("state", 0, 1)
			if v, err := r.Cancel(t.Context(), x.caller, jobID); v != want[2] {
				t.Errorf("cancel: %s, %v, want %s", v, err, want[2])
			}
			count("cancel", 1, 1)
			if !x.reached && !maps.EqualFunc(before, s.rows, func(a, b Row) bool { return a.Version == b.Version }) {
				t.Error("calls of others have changed stored rows")
			}
			unknown := Caller{UnknownKey: true, PublicQueue: x.caller.PublicQueue}
			if v, _ := r.Submit(t.Context(), unknown, jobOf("")); x.account != "" && v != Ambiguous {
				t.Errorf("submission with a key that may have been of the account: %s, want %s", v, Ambiguous)
			}
		})
	}
}

// TestReachOfEarlierRecords checks records without an account, as earlier versions write them: the
// job's row decides, and without it everyone is shown the state.
func TestReachOfEarlierRecords(t *testing.T) {
	for _, x := range []struct {
		name    string
		state   work.State
		row     bool
		caller  Caller
		reached bool
	}{
		{"running, own", work.Running, true, accountA, true}, {"running, foreign", work.Running, true, accountB, false},
		{"ended, own", work.Succeeded, false, accountA, true}, {"ended, foreign", work.Succeeded, false, accountB, true},
		{"without a row, foreign", work.Running, false, accountB, true},
	} {
		m := newMemoryStore()
		rec, err := (&work.Record{State: x.state, Queue: "q"}).Encode()
		if err != nil {
			t.Fatal(err)
		}
		c := Change{Put: []Row{newRow(TableRecords, jobID, rec)}}
		if x.row {
			b, err := work.EncodeJob(jobOf("a"))
			if err != nil {
				t.Fatal(err)
			}
			c.Put = append(c.Put, newRow(TableJobs, jobID, b))
		}
		m.apply(c)
		r := New(m, fixedHealth(false))
		if _, v, err := r.Record(t.Context(), x.caller, jobID); (v == Done) != x.reached || v == NotRun {
			t.Errorf("%s: state %s, %v", x.name, v, err)
		}
		if v, err := r.Submit(t.Context(), x.caller, jobOf(x.caller.Account)); (v == Done) != x.reached || v == NotRun {
			t.Errorf("%s: submission %s, %v", x.name, v, err)
		}
		if v, err := r.Cancel(t.Context(), x.caller, jobID); (v == Done) != x.reached || v == NotRun {
			t.Errorf("%s: cancel %s, %v", x.name, v, err)
		}
	}
}

// endingStore ends the job, as a decider does, when its row is read.
type endingStore struct{ *memoryStore }

func (s endingStore) List(ctx context.Context, table, partition, from string, limit int) (Page, error) {
	if table == TableJobs {
		b, err := (&work.Record{State: work.Succeeded, Queue: "q", HasAccount: true, Account: "a"}).Encode()
		if err != nil {
			return Page{}, err
		}
		s.apply(Change{Put: []Row{newRow(TableRecords, jobID, b)}, Delete: []Row{newRow(TableJobs, jobID, nil)}})
	}
	return s.memoryStore.List(ctx, table, partition, from, limit)
}

// TestEarlierRecordOfJobThatEnds guards against a job that others are shown, as it ends between
// the reads of its record, of an earlier version, and of its row.
func TestEarlierRecordOfJobThatEnds(t *testing.T) {
	for _, x := range []struct {
		caller Caller
		want   Verdict
	}{{accountA, Done}, {accountB, Absent}} {
		m := newMemoryStore()
		m.apply(Change{Put: []Row{newRow(TableRecords, jobID, []byte(`{"State":"Running","Queue":"q"}`)), newRow(TableJobs, jobID, []byte(`{}`))}})
		if rec, v, err := New(endingStore{m}, fixedHealth(false)).Record(t.Context(), x.caller, jobID); v != x.want {
			t.Errorf("state for %+v: %+v, %s, %v, want %s", x.caller, rec, v, err, x.want)
		}
	}
}

// TestCancelStopsOnlyItsCaller checks what becomes of submissions after cancels of an unknown ID,
// by their accounts. A job that runs must be cancellable: the row of the earlier cancel is gone.
func TestCancelStopsOnlyItsCaller(t *testing.T) {
	for _, x := range []struct {
		name    string
		cancels []Caller
		submit  string
		stopped bool
	}{
		{"own", []Caller{accountA}, "a", true}, {"another's", []Caller{accountB}, "a", false},
		{"own, then another's", []Caller{accountA, accountB}, "a", true}, {"another's, then own", []Caller{accountB, accountA}, "a", true},
		{"two others'", []Caller{accountB, anyone}, "a", false}, {"without an account", []Caller{anyone}, "", true},
		{"without an account, another queue's", []Caller{{PublicQueue: "other"}}, "", false},
		{"an account's through the public queue", []Caller{{Account: "a", PublicQueue: "q"}}, "", true}, {"an account's", []Caller{accountA}, "", false},
	} {
		m := newMemoryStore()
		r := New(m, fixedHealth(false))
		for range 2 {
			for _, c := range x.cancels {
				if v, err := r.Cancel(t.Context(), c, jobID); v != Absent {
					t.Fatalf("%s: %s, %v", x.name, v, err)
				}
			}
		}
		c := Caller{Account: x.submit, PublicQueue: "q"}
		for range 2 {
			if v, err := r.Submit(t.Context(), c, jobOf(x.submit)); v != Done {
				t.Errorf("%s: submission %s, %v", x.name, v, err)
			}
		}
		rec, v, err := r.Record(t.Context(), c, jobID)
		if v != Done || (rec.State == work.Canceled) != x.stopped || m.hasJob() == x.stopped {
			t.Errorf("%s: %+v, %s, %v; job stored: %v", x.name, rec, v, err, m.hasJob())
		}
		if s, ok := rec.Submitter(); !ok || s != work.SubmitterOf(x.submit, "q") {
			t.Errorf("%s: submitter %+v, known: %v", x.name, s, ok)
		}
		for _, o := range x.cancels {
			if v, err := r.Cancel(t.Context(), o, jobID); !o.mayReach(work.SubmitterOf(x.submit, "q")) && v != Absent {
				t.Errorf("%s: cancel by another after the submission: %s, %v", x.name, v, err)
			}
		}
		if v, err := r.Cancel(t.Context(), c, jobID); v != Done {
			t.Errorf("%s: cancel after the submission: %s, %v", x.name, v, err)
		}
		// A decider stops the job only for a row of a cancel that came after the submission.
		row, err := DecodeCancelRow(m.rows[rowID(TableCancels, PartitionOf(TableCancels, jobID), jobID)].Value)
		if err != nil || (row.Ended > 0) != x.stopped {
			t.Errorf("%s: the row of the cancellation is %+v, %v", x.name, row, err)
		}
	}
}

// TestCancelRecordOfEarlierVersion checks that a record that doesn't say who cancelled stops all
// submissions, as it did.
func TestCancelRecordOfEarlierVersion(t *testing.T) {
	m := newMemoryStore()
	m.apply(canceledJob(jobID, 0, &work.Record{Unsubmitted: true}))
	r := New(m, fixedHealth(false))
	if v, err := r.Cancel(t.Context(), accountB, jobID); v != Absent {
		t.Error(v, err)
	}
	if v, err := r.Submit(t.Context(), accountA, jobOf("a")); v != Done || m.hasJob() || m.record(t).State != work.Canceled {
		t.Errorf("%s, %v: record %+v, job stored: %v", v, err, m.record(t), m.hasJob())
	}
}

// TestCancelsWithoutTokens checks which cancels need a token, that those without one write
// nothing, and that a foreign job can't be told from an unknown one by it.
func TestCancelsWithoutTokens(t *testing.T) {
	m := newMemoryStore()
	r := New(m, fixedHealth(false))
	if v, err := r.Submit(t.Context(), accountA, jobOf("a")); v != Done {
		t.Fatal(v, err)
	}
	taken := 0
	r.AllowUnknownCancel = func(Caller) bool { taken++; return false }
	m.calls = 0
	for _, x := range []struct {
		caller Caller
		id     string
	}{{accountB, jobID}, {accountB, "00000000000000bb"}, {anyone, jobID}} {
		if v, err := r.Cancel(t.Context(), x.caller, x.id); v != Limited || err == nil {
			t.Errorf("cancel by %+v: %s, %v, want %s", x.caller, v, err, Limited)
		}
	}
	if taken != 3 || m.calls != 0 {
		t.Errorf("%d tokens were taken, want 3; %d writes, want 0", taken, m.calls)
	}
	for range 2 {
		if v, err := r.Cancel(t.Context(), accountA, jobID); v != Done {
			t.Errorf("cancel of a known job: %s, %v", v, err)
		}
	}
	if taken != 3 {
		t.Error("cancels of a known job took tokens")
	}
}

// TestCancelersAreBounded guards against a record that outgrows its row, as many accounts cancel
// the same unknown ID.
func TestCancelersAreBounded(t *testing.T) {
	m := newMemoryStore()
	r := New(m, fixedHealth(false))
	for i := range maxCancelers + 1 {
		want := Absent
		if i == maxCancelers {
			want = NotRun
		}
		if v, err := r.Cancel(t.Context(), Caller{Account: fmt.Sprint(i)}, jobID); v != want {
			t.Fatalf("cancel by account %d: %s, %v, want %s", i, v, err, want)
		}
	}
}

// slowStore delays changes, loses answers, and carries out some changes only long after the
// caller has given up.
type slowStore struct {
	*memoryStore
	mu   sync.Mutex
	rand *rand.Rand
	late sync.WaitGroup
	// submitted holds the specs of all jobs whose row was ever stored.
	submitted map[string]bool
}

func (s *slowStore) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

func (s *slowStore) pause() { time.Sleep(time.Duration(s.intN(30)) * time.Millisecond) }

func (s *slowStore) Apply(_ context.Context, c Change) (Result, error) {
	s.pause()
	defer s.pause()
	do := func() Result {
		s.mu.Lock()
		defer s.mu.Unlock()
		r := s.apply(c)
		for _, row := range c.Put {
			if row.Table == TableJobs && r.Applied {
				j, err := work.DecodeJob(row.Value)
				if err != nil {
					panic(err)
				}
				s.submitted[j.Spec] = true
			}
		}
		return r
	}
	switch n := s.intN(10); {
	case n < 1:
		return Result{}, ErrNotDone
	case n < 3:
		do()
		return Result{}, errAnswerLost
	case n < 5:
		s.late.Go(func() {
			time.Sleep(time.Duration(s.intN(3000)) * time.Millisecond)
			do()
		})
		return Result{}, errAnswerLost
	}
	return do(), nil
}

func (s *slowStore) List(ctx context.Context, table, partition, from string, limit int) (Page, error) {
	s.pause()
	defer s.pause()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memoryStore.List(ctx, table, partition, from, limit)
}

// play is what is known of the calls of TestAccessInterleavings.
type play struct {
	mu sync.Mutex
	// submitters holds who submitted, by the spec of the submission. refused holds the specs that
	// must never be stored from now on.
	submitters map[string]work.Submitter
	refused    map[string]bool
	// stopped holds the submitters with a cancel answered with Absent, canceled those with any
	// cancel that was sent.
	stopped, canceled map[work.Submitter]bool
	// accepted are the callers of accepted submissions.
	accepted []Caller
}

func (p *play) submit(ctx context.Context, r *Repo, c Caller) Verdict {
	j := jobOf(c.Account)
	p.mu.Lock()
	j.Spec = fmt.Sprint(len(p.submitters))
	p.submitters[j.Spec] = j.Submitter()
	p.refused[j.Spec] = p.stopped[j.Submitter()]
	p.mu.Unlock()
	v, _ := r.Submit(ctx, c, j)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch v {
	case NotRun, Taken:
		p.refused[j.Spec] = true
	case Done:
		p.accepted = append(p.accepted, c)
	}
	return v
}

func (p *play) cancel(ctx context.Context, r *Repo, c Caller, s *slowStore) Verdict {
	p.mu.Lock()
	for _, x := range c.submitters() {
		p.canceled[x] = true
	}
	p.mu.Unlock()
	v, _ := r.Cancel(ctx, c, jobID)
	p.mu.Lock()
	defer p.mu.Unlock()
	if v != Absent {
		return v
	}
	for _, x := range c.submitters() {
		p.stopped[x] = true
		for spec, submitter := range p.submitters {
			p.refused[spec] = p.refused[spec] || submitter == x && !s.hasSpec(spec)
		}
	}
	return v
}

// check returns what is wrong once all calls and late writes are over.
func (p *play) check(s *slowStore, rec *work.Record) []string {
	var l []string
	for spec := range s.submitted {
		if p.refused[spec] {
			l = append(l, fmt.Sprintf("submission %s of %+v is stored, though it was refused or cancelled", spec, p.submitters[spec]))
		}
	}
	for _, c := range p.accepted {
		if rec == nil || !slices.Contains(c.submitters(), work.SubmitterOf(rec.Account, rec.Queue)) {
			l = append(l, fmt.Sprintf("a job of %+v was accepted, the record is %+v", c, rec))
		}
	}
	if rec != nil && !rec.Unsubmitted && rec.State == work.Canceled && !p.canceled[work.SubmitterOf(rec.Account, rec.Queue)] {
		l = append(l, fmt.Sprintf("the job was cancelled only by others: %+v", rec))
	}
	return l
}

// TestAccessInterleavings lets clients of two accounts and of a public queue submit, cancel and
// read under one ID at the same time, while the store loses answers and carries out writes late.
// It guards against jobs that run after a cancel of their account was answered with Absent, or
// after a submission was answered as one that never runs, and against callers that affect jobs
// that they may not reach.
func TestAccessInterleavings(t *testing.T) {
	const seeds, calls = 1000, 4
	callers := []Caller{accountA, accountA, accountB, accountB, {Account: "a", PublicQueue: "q"}, anyone}
	seen := map[string]int{}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			s := &slowStore{memoryStore: newMemoryStore(), rand: rand.New(rand.NewPCG(seed, 1)), submitted: map[string]bool{}}
			r := New(s, fixedHealth(false))
			p := &play{submitters: map[string]work.Submitter{}, refused: map[string]bool{}, stopped: map[work.Submitter]bool{}, canceled: map[work.Submitter]bool{}}
			var wg sync.WaitGroup
			// A third of the plays have the accounts alone.
			for _, c := range callers[:4+2*min(seed%3, 1)] {
				wg.Go(func() {
					for range calls {
						s.pause()
						ctx, cancel := context.WithTimeout(context.Background(), time.Duration(50+s.intN(400))*time.Millisecond)
						var call string
						var v Verdict
						switch s.intN(3) {
						case 0:
							call, v = "submit", p.submit(ctx, r, c)
						case 1:
							call, v = "cancel", p.cancel(ctx, r, c, s)
						default:
							var rec *work.Record
							call = "state"
							if rec, v, _ = r.Record(ctx, c, jobID); rec != nil && !slices.Contains(c.submitters(), work.SubmitterOf(rec.Account, rec.Queue)) {
								t.Errorf("seed %d: %+v is shown %+v", seed, c, rec)
							}
						}
						cancel()
						p.mu.Lock()
						seen[call+" "+string(v)]++
						p.mu.Unlock()
					}
				})
			}
			wg.Wait()
			s.late.Wait()
			for _, fault := range p.check(s, s.record(t)) {
				t.Errorf("seed %d: %s", seed, fault)
			}
		})
	}
	for _, k := range []string{"submit Done", "submit Taken", "submit NotRun", "submit Open", "cancel Done", "cancel Absent", "cancel Open", "state Done", "state Absent"} {
		if seen[k] == 0 {
			t.Errorf("no call ended as %q: %v", k, seen)
		}
	}
}

// hasSpec reports whether the row of the job with the given spec was ever stored.
func (s *slowStore) hasSpec(spec string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.submitted[spec]
}
