package itest

import (
	"testing"

	"github.com/anishathalye/porcupine"

	"citronbridge/jobs"
)

// requestInput is an operation on a request: the start of a member at a target, or a
// caller's read of the outcome.
type requestInput struct {
	key           string
	start         bool
	attempt       jobs.Attempt
	nonIdempotent bool
}

// requestState is the state of a request after the operations so far.
type requestState struct {
	outcome jobs.Outcome
	attempt jobs.Attempt
	ran     bool
}

// requestModel models a request: a non-idempotent one runs in at most one attempt, an
// outcome never changes, no start follows an outcome, NotRun excludes any start, and Done
// requires one.
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

// monotonicInput reads or raises a register whose value never decreases.
type monotonicInput struct{ key string }

// monotonicModel models such a register: the manifest revision that a host reports, or the
// epoch under which a target reserves.
var monotonicModel = porcupine.Model{
	Partition: partitionBy(func(in any) string { return in.(monotonicInput).key }),
	Init:      func() any { return int64(0) },
	Step: func(state, _, out any) (bool, any) {
		return out.(int64) >= state.(int64), out
	},
}

// acquireInput acquires a cell. Its output is the epoch.
type acquireInput struct{ cell string }

// cellEpochModel models the acquisitions of a cell: each has a higher epoch than the one
// before, so that no two hosts share an epoch.
var cellEpochModel = porcupine.Model{
	Partition: partitionBy(func(in any) string { return in.(acquireInput).cell }),
	Init:      func() any { return int64(0) },
	Step: func(state, _, out any) (bool, any) {
		return out.(int64) > state.(int64), out
	},
}

// proposeInput proposes a manifest on a base revision. Its output is the new revision, or
// 0 if the proposal was superseded.
type proposeInput struct{ base int64 }

// manifestModel models the manifest: a proposal is accepted exactly if its base is the
// revision in force.
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

// partitionBy returns a function that splits a history by a key of the input.
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

// TestModels checks that each model accepts a valid history and rejects an invalid one.
func TestModels(t *testing.T) {
	start := func(n int64) requestInput {
		return requestInput{key: "r", start: true, attempt: jobs.Attempt{Epoch: 1, Number: n}, nonIdempotent: true}
	}
	readOutcome := requestInput{key: "r"}
	for _, x := range []struct {
		name  string
		model porcupine.Model
		in    []any
		out   []any
		valid bool
	}{
		{"runs once", requestModel, []any{start(1), start(1), readOutcome, readOutcome}, []any{jobs.Outcome(""), jobs.Outcome(""), jobs.Done, jobs.Done}, true},
		{"runs twice", requestModel, []any{start(1), start(2)}, []any{jobs.Outcome(""), jobs.Outcome("")}, false},
		{"changes its outcome", requestModel, []any{start(1), readOutcome, readOutcome}, []any{jobs.Outcome(""), jobs.Failed, jobs.Done}, false},
		{"starts after the outcome NotRun", requestModel, []any{readOutcome, start(1)}, []any{jobs.NotRun, jobs.Outcome("")}, false},
		{"has the outcome NotRun after a start", requestModel, []any{start(1), readOutcome}, []any{jobs.Outcome(""), jobs.NotRun}, false},
		{"grows", monotonicModel, []any{monotonicInput{"h"}, monotonicInput{"h"}}, []any{int64(1), int64(1)}, true},
		{"falls", monotonicModel, []any{monotonicInput{"h"}, monotonicInput{"h"}}, []any{int64(2), int64(1)}, false},
		{"acquired in turn", cellEpochModel, []any{acquireInput{"c"}, acquireInput{"c"}}, []any{int64(1), int64(2)}, true},
		{"one epoch acquired twice", cellEpochModel, []any{acquireInput{"c"}, acquireInput{"c"}}, []any{int64(1), int64(1)}, false},
		{"accepted in turn", manifestModel, []any{proposeInput{0}, proposeInput{0}, proposeInput{1}}, []any{int64(1), int64(0), int64(2)}, true},
		{"accepted twice", manifestModel, []any{proposeInput{0}, proposeInput{0}}, []any{int64(1), int64(1)}, false},
	} {
		var h []porcupine.Operation
		for i := range x.in {
			h = append(h, porcupine.Operation{Input: x.in[i], Output: x.out[i], Call: int64(2 * i), Return: int64(2*i + 1)})
		}
		if porcupine.CheckOperations(x.model, h) != x.valid {
			t.Errorf("history %q: want accepted = %t", x.name, x.valid)
		}
	}
}

// history collects operations to be checked against a model.
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
		t.Errorf("history of %s with %d operations violates its model", h.name, len(h.ops))
	}
	t.Logf("history of %s: %d operations checked", h.name, len(h.ops))
}
