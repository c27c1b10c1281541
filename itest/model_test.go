package itest

import (
	"testing"

	"github.com/anishathalye/porcupine"

	"citronbridge/jobs"
)

// requestInput is something that happens to a request: a start at a target,
// or a caller that learns its outcome.
type requestInput struct {
	key           string
	start         bool
	attempt       jobs.Attempt
	nonIdempotent bool
}

// requestState is what is known of a request so far.
type requestState struct {
	outcome jobs.Outcome
	attempt jobs.Attempt
	ran     bool
}

// requestModel is a request: a non-idempotent one runs in one attempt at
// most, an outcome never changes, and what did not run doesn't start.
var requestModel = porcupine.Model{
	Partition: partitionBy(func(in any) string { return in.(requestInput).key }),
	Init:      func() any { return requestState{} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(requestState), in.(requestInput), out.(jobs.Outcome)
		if !i.start {
			ok := s.outcome == "" || s.outcome == o
			ok = ok && (o != jobs.NotRun || !s.ran) && (o != jobs.Done || s.ran)
			s.outcome = o
			return ok, s
		}
		ok := s.outcome == "" && (!i.nonIdempotent || !s.ran || s.attempt == i.attempt)
		s.ran, s.attempt = true, i.attempt
		return ok, s
	},
}

// monotonicInput reads or raises a register that only grows.
type monotonicInput struct{ key string }

// monotonicModel is such a register: the revision that a host shows, or the epoch
// under which a target reserves.
var monotonicModel = porcupine.Model{
	Partition: partitionBy(func(in any) string { return in.(monotonicInput).key }),
	Init:      func() any { return int64(0) },
	Step: func(state, _, out any) (bool, any) {
		return out.(int64) >= state.(int64), out
	},
}

// acquireInput takes a cell; its output is the epoch.
type acquireInput struct{ cell string }

// cellEpochModel is a cell: each epoch is one host's, and the next is higher.
var cellEpochModel = porcupine.Model{
	Partition: partitionBy(func(in any) string { return in.(acquireInput).cell }),
	Init:      func() any { return int64(0) },
	Step: func(state, _, out any) (bool, any) {
		return out.(int64) > state.(int64), out
	},
}

// proposeInput proposes on a base; its output is the revision or 0 if it was
// superseded.
type proposeInput struct{ base int64 }

// manifestModel is the manifest: a proposal is accepted on the revision in
// force, and only there.
var manifestModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, in, out any) (bool, any) {
		s, b, n := state.(int64), in.(proposeInput).base, out.(int64)
		if n == 0 {
			return s != b, s
		}
		return s == b && n == b+1, n
	},
}

// partitionBy splits a history by a key of the input.
func partitionBy(key func(any) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(h []porcupine.Operation) [][]porcupine.Operation {
		m := map[string][]porcupine.Operation{}
		for _, o := range h {
			m[key(o.Input)] = append(m[key(o.Input)], o)
		}
		var l [][]porcupine.Operation
		for _, p := range m {
			l = append(l, p)
		}
		return l
	}
}

// TestModels shows that each model takes a good history and rejects a broken
// one.
func TestModels(t *testing.T) {
	start := func(n int64) requestInput {
		return requestInput{key: "r", start: true, attempt: jobs.Attempt{Epoch: 1, Number: n}, nonIdempotent: true}
	}
	learn := requestInput{key: "r"}
	for _, x := range []struct {
		name  string
		model porcupine.Model
		in    []any
		out   []any
		good  bool
	}{
		{"runs once", requestModel, []any{start(1), start(1), learn, learn}, []any{jobs.Outcome(""), jobs.Outcome(""), jobs.Done, jobs.Done}, true},
		{"runs twice", requestModel, []any{start(1), start(2)}, []any{jobs.Outcome(""), jobs.Outcome("")}, false},
		{"changes its outcome", requestModel, []any{start(1), learn, learn}, []any{jobs.Outcome(""), jobs.Failed, jobs.Done}, false},
		{"runs though it did not run", requestModel, []any{learn, start(1)}, []any{jobs.NotRun, jobs.Outcome("")}, false},
		{"did not run though it ran", requestModel, []any{start(1), learn}, []any{jobs.Outcome(""), jobs.NotRun}, false},
		{"grows", monotonicModel, []any{monotonicInput{"h"}, monotonicInput{"h"}}, []any{int64(1), int64(1)}, true},
		{"falls", monotonicModel, []any{monotonicInput{"h"}, monotonicInput{"h"}}, []any{int64(2), int64(1)}, false},
		{"taken in turn", cellEpochModel, []any{acquireInput{"c"}, acquireInput{"c"}}, []any{int64(1), int64(2)}, true},
		{"taken twice", cellEpochModel, []any{acquireInput{"c"}, acquireInput{"c"}}, []any{int64(1), int64(1)}, false},
		{"accepted in turn", manifestModel, []any{proposeInput{0}, proposeInput{0}, proposeInput{1}}, []any{int64(1), int64(0), int64(2)}, true},
		{"accepted twice", manifestModel, []any{proposeInput{0}, proposeInput{0}}, []any{int64(1), int64(1)}, false},
	} {
		var h []porcupine.Operation
		for i := range x.in {
			h = append(h, porcupine.Operation{Input: x.in[i], Output: x.out[i], Call: int64(2 * i), Return: int64(2*i + 1)})
		}
		if porcupine.CheckOperations(x.model, h) != x.good {
			t.Errorf("%s: want %t", x.name, x.good)
		}
	}
}

// history collects operations.
type history struct {
	name  string
	model porcupine.Model
	ops   []porcupine.Operation
}

func (h *history) add(in, out any, call, ret int64) {
	h.ops = append(h.ops, porcupine.Operation{ClientId: len(h.ops), Input: in, Output: out, Call: call, Return: max(ret, call+1)})
}

func (h *history) check(t testing.TB) {
	t.Helper()
	if !porcupine.CheckOperations(h.model, h.ops) {
		t.Errorf("history of %s with %d operations is broken", h.name, len(h.ops))
	}
	t.Logf("history of %s: %d operations", h.name, len(h.ops))
}
